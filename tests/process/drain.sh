#!/usr/bin/env bash
# Drains an agent and then an entry while a job runs. Guards against a drain that
# interrupts running tasks, loses results, starts tasks on a leaving endpoint, or
# exits with an error.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 2 3
T=$(token e1)
job "$T" drained 60 200000 >"$WORK/job"
submit e1 "$WORK/job" >"$WORK/first" &
FIRST=$!
until_true 20 logged e1 'task_placed.*agent=a1@' || fail "nothing runs on a1"
kill -TERM "${PID[a1]}"
until_true 20 logged e1 'endpoint_leaving agent=a1@' || fail "a1 still placed"
wait "${PID[a1]}"
[ $? -eq 0 ] || fail "the agent did not exit with 0"
wait "$FIRST"
A=$(cat "$WORK/first")
check_answer "$A" 60
case $A in 200*) ;; *) fail "the agent's drain broke the job: $A" ;; esac
sed '1,/endpoint_leaving agent=a1@/d' "$WORK/e1.log" |
  grep 'task_placed.*agent=a1@' && fail "work was placed on a leaving agent"

job "$T" drained2 30 200000 >"$WORK/job"
submit e1 "$WORK/job" >"$WORK/first" &
FIRST=$!
until_true 20 logged e1 'task_placed job=team/[^ ]*/drained2 ' ||
  fail "the second job did not start"
kill -TERM "${PID[e1]}"
wait "$FIRST"
A=$(cat "$WORK/first")
check_answer "$A" 30
case $A in 200*) ;; *) fail "the entry's drain broke the job: $A" ;; esac
wait "${PID[e1]}"
[ $? -eq 0 ] || fail "the entry did not exit with 0"
check_once p1 p2 p3
