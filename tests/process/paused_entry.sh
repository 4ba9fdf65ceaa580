#!/usr/bin/env bash
# Guards against an owner that starts tasks a second time when it continues after
# a pause longer than the lost time, in which another entry resumed its jobs.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 3 3
T=$(token e1)
job "$T" paused 60 200000 >"$WORK/job"
submit e1 "$WORK/job" >"$WORK/first" &
FIRST=$!
until_true 20 logged e1 'task_placed' 8 || fail "the job did not start"
kill -STOP "${PID[e1]}"
A=$(resubmit e2 "$WORK/job") || fail "no answer: $A"
check_answer "$A" 60
case $A in 200*) ;; *) fail "not completed: $A" ;; esac
kill -CONT "${PID[e1]}"
wait "$FIRST"
B=$(cat "$WORK/first")
check_answer "$B" 60
until_true 20 logged e1 'process_started' 2 || fail "e1 did not rejoin"
C=$(resubmit e1 "$WORK/job") || fail "no answer: $C"
check_answer "$C" 60
job "$(token e1)" after 20 10000 >"$WORK/job"
D=$(resubmit e1 "$WORK/job") || fail "no answer: $D"
case $D in 200*) ;; *) fail "the rejoined entry does not work: $D" ;; esac
check_once p1 p2 p3
