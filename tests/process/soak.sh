#!/usr/bin/env bash
# Runs the fault soak with fixed seeds, a few seconds each, beside each other.
# The seed decides the faults; which jobs are hit also depends on timing.
# 14: a worker that had crashed still took starts on its open connections (a
# fault of the stand-in); its runs were counted twice.
set -euo pipefail
BUILD=$1
PIDS=()
for SEED in 2 14 31; do
  python3 tests/soak/soak.py "$BUILD/chivelanding" "$SEED" 10 &
  PIDS+=($!)
done
STATUS=0
for PID in "${PIDS[@]}"; do
  wait "$PID" || STATUS=1
done
exit "$STATUS"
