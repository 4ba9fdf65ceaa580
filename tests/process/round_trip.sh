#!/usr/bin/env bash
# Guards against missing, swapped or repeated results without faults, and against
# a second start when the same job is submitted through another entry.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 2 3
T=$(token e1)
for N in 1 7 200; do
  job "$T" "k$N" "$N" 2000 >"$WORK/job"
  A=$(submit e1 "$WORK/job")
  check_answer "$A" "$N"
  case $A in 200*) ;; *) fail "not completed: $A" ;; esac
  B=$(submit e2 "$WORK/job")
  [ "$A" = "$B" ] || fail "the answers differ: $A and $B"
done
S=$(curl -s -H 'Chivelanding-Team: team' -H "Chivelanding-Token: $T" \
  -H 'Chivelanding-Key: single' --data-binary 'raw body' \
  "http://127.0.0.1:${PORT[e1]}/v1/requests/service/echo")
[ "$S" = 'raw body' ] || fail "single request answered '$S'"
check_once p1 p2 p3
