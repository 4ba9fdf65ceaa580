#!/usr/bin/env bash
# Guards against second starts when an agent is killed while it runs tasks, and
# against answers that report these tasks as completed or as not run.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 2 3
T=$(token e1)
job "$T" killed 40 300000 >"$WORK/job"
submit e1 "$WORK/job" >"$WORK/first" &
FIRST=$!
until_true 20 logged e1 'task_placed.*agent=a1@' || fail "nothing runs on a1"
kill -9 "${PID[a1]}"
wait "$FIRST"
A=$(cat "$WORK/first")
check_answer "$A" 40
case $A in 504*agent_lost*) ;; *) fail "expected an unknown outcome: $A" ;; esac
B=$(submit e2 "$WORK/job")
[ "$A" = "$B" ] || fail "the answers differ: $A and $B"
job "$T" after 40 10000 >"$WORK/job"
C=$(submit e1 "$WORK/job")
check_answer "$C" 40
case $C in 200*) ;; *) fail "the rest does not work: $C" ;; esac
check_once p1 p2 p3
