#!/usr/bin/env bash
# Guards against a cordon that does not keep tasks out of its zone, is lost with
# a restart, ends running tasks, or has a result that differs from the order of
# the log when two operators act at once.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash

spawn log "$STANDIN" log
until_true 20 logged log listening || fail "the log did not start"
LOG=$(sed -n 's/listening //p' "$WORK/log.log")
PROCESS_EXTRA="log = \"$LOG\""
export CHIVELANDING_LOG=$LOG
ADMIN1=127.0.0.1:$(free_port)
ADMIN2=127.0.0.1:$(free_port)
seeds 2
start_entry e1 0 "admin_listen = \"$ADMIN1\""
start_entry e2 1 "admin_listen = \"$ADMIN2\""
# a1 is in z1, a2 in z2.
start_agent a1
sed 's/zone = "z1"/zone = "z2"/' <<<"$(process_table a2)" >"$WORK/a2.toml"
printf '[agent]\nlisten = "127.0.0.1:0"\nentries = [%s]\n' "$(seed_list)" \
  >>"$WORK/a2.toml"
spawn a2 "$BIN" agent --settings "$WORK/a2.toml"
until_true 20 logged a2 process_started || fail "a2 did not start"
PORT[a2]=$(sed -n 's/.* listen=127.0.0.1:\([0-9]*\).*/\1/p' "$WORK/a2.log")
for I in 1 2; do
  start_endpoint "p$I" "a$I"
  for E in e1 e2; do
    until_true 20 logged "$E" "endpoint_announced agent=a$I@" || fail "$E: a$I"
  done
done

digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
cat >"$WORK/set.toml" <<X
[[operator]]
name = "ada"
role = "publisher"
token_sha256 = "$(digest ada-token)"
[[operator]]
name = "eve"
role = "publisher"
token_sha256 = "$(digest eve-token)"
[[operator]]
name = "bob"
role = "reader"
token_sha256 = "$(digest bob-token)"
[[service]]
name = "service"
home_region = "r1"
[[priority]]
name = "normal"
class = 1
[[kind]]
name = "echo"
service = "service"
priority = "normal"
X
"$BIN" publish --author ada --reason first --yes "$WORK/set.toml" >/dev/null ||
  fail "publish"
for P in e1 e2 a1 a2; do
  until_true 20 logged "$P" 'config_accepted version=1' || fail "version 1: $P"
done

# cordon TOKEN ADMIN ARGS...: runs the command as an operator.
cordon() {
  CHIVELANDING_TOKEN=$1 CHIVELANDING_ADMIN=$2 "$BIN" cordon "${@:3}" 2>&1
}
ada() { cordon ada-token "$ADMIN1" "$@"; }
eve() { cordon eve-token "$ADMIN2" "$@"; }
starts() {
  curl -sf "http://127.0.0.1:${PORT[$1]}/counters" | python3 -c \
    'import json,sys; print(sum(json.load(sys.stdin)["starts"].values()))'
}
# in_force VERSION: waits until every process has the version.
in_force() {
  local P
  for P in e1 e2 a1 a2; do
    until_true 20 eval "logged $P 'config_accepted version=$1 '" ||
      fail "version $1 is not in force at $P"
  done
}
version_of() { grep -o 'version [0-9]*' <<<"$1" | tail -1 | cut -d' ' -f2; }
run_job() {
  job "$(token "$1")" "$2" "$3" "$4" >"$WORK/$2.job"
  resubmit "$1" "$WORK/$2.job"
}

# A running task survives the cordon of its zone.
run_job e1 long 1 3000000 >"$WORK/long.answer" &
LONG=$!
until_true 20 logged e1 'task_placed' || fail "the long task is not placed"
RUNS_AT=$(grep -o 'agent=a[12]' "$WORK/e1.log" | tail -1 | tail -c 2)
OTHER=$((3 - RUNS_AT))
until_true 20 eval "[ \"\$(starts p$RUNS_AT)\" = 1 ]" || fail "not started"
A=$(ada set "z$RUNS_AT" --note "power work") || fail "set: $A"
in_force "$(version_of "$A")"
until_true 20 logged "a$RUNS_AT" 'zone_cordoned' || fail "no event at the agent"
curl -sf "http://127.0.0.1:${PORT[a$RUNS_AT]}/metrics" |
  grep -q 'chivelanding_cordoned{.*} 1' || fail "no metric at the agent"
grep -q 'unchanged' <<<"$(eve set "z$RUNS_AT" --note "power work")" ||
  fail "a set cordon must be unchanged"
grep -q "z$RUNS_AT .*ada .*power work" <<<"$(eve list)" || fail "list: $(eve list)"
CHANGES=$("$BIN" history)
grep -qE "ada +20[0-9-]*T[0-9:]*Z +set cordon z$RUNS_AT " <<<"$CHANGES" ||
  fail "history: $CHANGES"
grep -q forbidden <<<"$(cordon bob-token "$ADMIN1" set z9)" || fail "bob may set"
for E in e1 e2; do
  check_answer "$(run_job $E "away$E" 12 1000)" 12
done
[ "$(starts "p$RUNS_AT")" = 1 ] || fail "tasks started in the cordoned zone"
[ "$(starts "p$OTHER")" = 24 ] || fail "tasks did not go to the other zone"

# A restarted entry knows the cordon, also without the log.
curl -sf -X PUT -d '{"outage":true}' "http://$LOG/faults" >/dev/null
kill -9 "${PID[e2]}"
wait "${PID[e2]}" 2>/dev/null
start_entry e2 1 "admin_listen = \"$ADMIN2\""
for I in 1 2; do
  until_true 20 logged e2 "endpoint_announced agent=a$I@" || fail "e2: a$I"
done
until_true 20 logged e2 'zone_cordoned' || fail "e2 does not know the cordon"
check_answer "$(run_job e2 restarted 12 1000)" 12
[ "$(starts "p$RUNS_AT")" = 1 ] || fail "a restarted entry ignores the cordon"
curl -sf -X PUT -d '{}' "http://$LOG/faults" >/dev/null
wait $LONG
check_answer "$(cat "$WORK/long.answer")" 1

# With every zone cordoned, a job is refused at once.
A=$(eve set "z$OTHER" --name repair) || fail "second: $A"
in_force "$(version_of "$A")"
job "$(token e1)" none 2 1000 >"$WORK/none.job"
A=$(submit e1 "$WORK/none.job")
grep -q '^503 .*"cause":"not_run".*"code":"zones_cordoned"' <<<"$A" ||
  fail "all zones cordoned: $A"

# Lifting by the zone, and by a name that another operator gave.
A=$(ada lift "z$RUNS_AT") || fail "lift: $A"
A=$(ada lift repair) || fail "lift: $A"
in_force "$(version_of "$A")"
check_answer "$(run_job e1 back 40 20000)" 40
[ "$(starts "p$RUNS_AT")" -gt 1 ] || fail "no task returned to the zone"
grep -q 'nothing to lift' <<<"$(ada lift repair)" || fail "lift of nothing"

# Two operators at once: every change is made, whichever comes first.
for ((I = 1; I <= 5; I++)); do
  ada set za --name "a$I" >"$WORK/ada.$I" &
  FIRST=$!
  eve set zb --name "b$I" >"$WORK/eve.$I" || fail "eve: $(cat "$WORK/eve.$I")"
  wait $FIRST || fail "ada: $(cat "$WORK/ada.$I")"
done
[ "$(ada list | grep -cE '^[ab][1-5] ')" = 10 ] || fail "lost: $(ada list)"
# A lift through one entry right after a set through the other takes effect.
for ((I = 1; I <= 5; I++)); do
  ada set zc --name quick >/dev/null || fail "quick set"
  A=$(eve lift quick) || fail "quick lift: $A"
  grep -q lifted <<<"$A" || fail "quick lift: $A"
done
! ada list | grep -q quick || fail "a lifted cordon is back"
eve lift za >/dev/null && ada lift zb >/dev/null || fail "lift by zone"
ada list --json | grep -q '"cordons":\[\]' || fail "left: $(ada list)"
# A publication of files without the cordons in force does not lift them unseen.
ada set z9 >/dev/null || fail "set z9"
lift_by_files() {
  "$BIN" publish --author ada --reason files --yes "$@" "$WORK/set.toml" 2>&1
}
A=$(lift_by_files) && fail "the files lift a cordon: $A"
grep -q 'z9 of zone z9.*--lift-cordons' <<<"$A" || fail "refusal: $A"
A=$(lift_by_files --lift-cordons) || fail "publish --lift-cordons: $A"
"$BIN" cordon --help | grep -q 'usage: chivelanding cordon' || fail "help"
"$BIN" cordon set >/dev/null 2>&1
[ $? -eq 2 ] || fail "a missing zone must exit with 2"
check_once p1 p2
echo ok
