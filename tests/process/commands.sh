#!/usr/bin/env bash
# Guards against commands that report a wrong outcome or exit code, and against
# metrics and health checks that do not answer.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 2 1 'admin_listen = "127.0.0.1:0"'
ADMIN=$(sed -n 's/.* admin=\(127.0.0.1:[0-9]*\).*/\1/p' "$WORK/e1.log" | head -1)
job "" cli 3 1000 | sed 's/"token": "", //' >"$WORK/job"
# The first address refuses connections, so the command must try the next one.
A=$("$BIN" submit --team team --entry 127.0.0.1:1 \
  --entry "127.0.0.1:${PORT[e1]}" --file "$WORK/job") || fail "submit: $A"
check_answer "200 $A" 3
echo '{"key":"x","service":"service","kind":"k","tasks":[]}' |
  "$BIN" submit --team team --entry "127.0.0.1:${PORT[e1]}" >/dev/null
[ $? -eq 1 ] || fail "a refused job must exit with 1"
echo 'no json' | "$BIN" submit --entry "127.0.0.1:${PORT[e1]}" 2>/dev/null
[ $? -eq 2 ] || fail "a malformed file must exit with 2"
for COMMAND in submit status drain entry agent; do
  "$BIN" "$COMMAND" --help | grep -q usage || fail "$COMMAND --help"
done
"$BIN" status --to "$ADMIN" | grep -q '"role":"entry"' || fail "status"
curl -sf "http://127.0.0.1:${PORT[e1]}/metrics" >"$WORK/metrics" ||
  fail "no metrics"
grep -q 'chivelanding_events_total{.*event="task_placed".*} 3' "$WORK/metrics" ||
  fail "placements are not counted"
curl -sf "http://127.0.0.1:${PORT[a1]}/metrics" |
  grep -q 'chivelanding_run_seconds_count{.*} 3' || fail "agent's metrics"
for P in e1 a1; do
  for CHECK in healthz readyz; do
    curl -sf "http://127.0.0.1:${PORT[$P]}/$CHECK" >/dev/null ||
      fail "$CHECK of $P"
  done
done
"$BIN" drain --to "$ADMIN" | grep -q '"draining":true' || fail "drain of e1"
wait "${PID[e1]}" || fail "e1 did not exit with 0"
"$BIN" drain --to "127.0.0.1:${PORT[a1]}" >/dev/null || fail "drain of a1"
wait "${PID[a1]}" || fail "a1 did not exit with 0"
"$BIN" status --to "$ADMIN" 2>/dev/null
[ $? -eq 1 ] || fail "status of a process that is gone must exit with 1"
check_once p1
