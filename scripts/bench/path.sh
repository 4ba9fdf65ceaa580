#!/usr/bin/env bash
# Measures the task path through one entry process on loopback in one run: starts
# per second and per core of the entry, latency added to direct calls of the
# endpoint, and memory for the jobs that the entry keeps.
set -uo pipefail
BUILD=${BUILD_DIR:-build}
SECONDS_EACH=${BENCH_SECONDS:-3}
. tests/process/lib.bash
HEARTBEAT_MS=200 SUSPECT_MS=1000 LOST_MS=5000
ENDPOINT_OPTIONS='--slots 64'
fleet 1 2 'token_epoch_ms = 600000'
ENTRY=127.0.0.1:${PORT[e1]}
ENDPOINT=127.0.0.1:${PORT[p1]}

# cpu NAME: prints the processor time used so far, in ticks of 10 ms.
cpu() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
rss() { awk '/^VmRSS/{print $2}' "/proc/${PID[$1]}/status"; }
load() { "$STANDIN" load --seconds "$SECONDS_EACH" "$@" || fail "load $*"; }
field() { python3 -c 'import json,sys
print(json.loads(sys.argv[1])[sys.argv[2]])' "$1" "$2"; }
# figure NAME VALUE UNIT TARGET [OPERATOR]: prints one result; TARGET is - if there
# is none.
figure() {
  python3 - "$@" <<'PY'
import sys
name, value, unit, target = sys.argv[1:5]
verdict = "-"
if target != "-":
    met = (float(value) >= float(target)) if sys.argv[5] == ">=" else (
        float(value) <= float(target))
    verdict = "ok" if met else "red"
print(name, "%.6g" % float(value), unit, target, verdict)
PY
}
calc() { python3 -c "print($1)"; }

load --to "$ENTRY" --key warm --concurrency 64 >/dev/null
for SIZE in 1 20; do
  R0=$(rss e1) C0=$(cpu e1)
  L=$(load --to "$ENTRY" --key "c$SIZE-" --tasks "$SIZE" \
    --concurrency $((SIZE == 1 ? 96 : 32)))
  C1=$(cpu e1) R1=$(rss e1)
  STARTS=$(field "$L" tasks_per_s)
  TICKS=$(calc "max(1, $C1 - $C0)")
  figure "path.starts_per_s.tasks_$SIZE" "$STARTS" 1/s 15000 '>='
  figure "path.starts_per_core_s.tasks_$SIZE" \
    "$(calc "$(field "$L" tasks) / ($TICKS / 100)")" 1/s 15000 '>='
  figure "path.memory_per_1000_jobs.tasks_$SIZE" \
    "$(calc "($R1 - $R0) * 1000 / $(field "$L" calls)")" KiB -
  [ "$SIZE" = 1 ] && HALF=$(calc "$STARTS / 2")
done
D=$(load --to "$ENDPOINT" --direct --rate "$HALF")
E=$(load --to "$ENTRY" --key open --rate "$HALF")
figure path.rate "$(field "$E" tasks_per_s)" 1/s -
figure path.added_p50 "$(calc "($(field "$E" p50_us) - $(field "$D" p50_us)) / 1000")" ms 1 '<='
figure path.added_p99 "$(calc "($(field "$E" p99_us) - $(field "$D" p99_us)) / 1000")" ms 5 '<='
figure path.direct_p50 "$(calc "$(field "$D" p50_us) / 1000")" ms -
figure path.direct_p99 "$(calc "$(field "$D" p99_us) / 1000")" ms -
