#!/usr/bin/env bash
# Runs the fault soak with fixed seeds in parallel, with 10 s of faults each. The
# seed determines the faults; which jobs they affect also depends on timing.
# Seed 14: the worker stand-in accepted starts on open connections after its
# crash, so that its runs were counted twice.
# Seed 608: an entry that had been paused read a submission whose caller had
# closed the connection and submitted the job elsewhere, and dispatched it.
set -euo pipefail
BUILD=$1
PIDS=()
for SEED in 2 14 31 608; do
  python3 tests/soak/soak.py "$BUILD/chivelanding" "$SEED" 10 \
    --no-cordons &
  PIDS+=($!)
done
STATUS=0
for PID in "${PIDS[@]}"; do
  wait "$PID" || STATUS=1
done
exit "$STATUS"
