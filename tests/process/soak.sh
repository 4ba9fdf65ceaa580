#!/usr/bin/env bash
# Runs the fault soak with fixed seeds, three at a time, with 10 s of faults each.
# The seed determines the faults; which jobs they affect also depends on timing.
# Without cordons, as in settings without the table [cordons]: seeds 2, 14, 31 and
# 608. Seeds 14 and 608 were kept for the failures below; since then the soak has
# got more proxies and kinds of faults, so that they draw other faults.
# Seed 14: the worker stand-in accepted starts on open connections after its
# crash, so that its runs were counted twice.
# Seed 608: an entry that had been paused read a submission whose caller had
# closed the connection and submitted the job elsewhere, and dispatched it.
# With cordons: seeds 701 and 803.
set -euo pipefail
BUILD=$1
STATUS=0
run() {
  local PIDS=() ARGS PID
  for ARGS in "$@"; do
    # shellcheck disable=SC2086 # the arguments are separated by blanks
    python3 tests/soak/soak.py "$BUILD/chivelanding" $ARGS &
    PIDS+=($!)
  done
  for PID in "${PIDS[@]}"; do
    wait "$PID" || STATUS=1
  done
}
run "2 10 --no-cordons" "14 10 --no-cordons" "701 10"
run "31 10 --no-cordons" "608 10 --no-cordons" "803 10"
exit "$STATUS"
