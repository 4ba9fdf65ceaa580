#!/usr/bin/env bash
# Guards against lost jobs, partial answers and second starts when an entry is
# killed while it owns a running job and the caller resubmits to another entry.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 3 3
T=$(token e1)
job "$T" killed 40 300000 >"$WORK/job"
submit e1 "$WORK/job" >"$WORK/first" &
FIRST=$!
until_true 20 logged e1 'task_placed' 8 || fail "the job did not start"
kill -9 "${PID[e1]}"
wait "$FIRST"
A=$(resubmit e2 "$WORK/job") || fail "no answer: $A"
check_answer "$A" 40
# All agents keep running, so the outcome of every task is known.
case $A in 200*) ;; *) fail "not completed: $A" ;; esac
B=$(resubmit e3 "$WORK/job") || fail "no answer: $B"
check_answer "$B" 40
check_once p1 p2 p3
