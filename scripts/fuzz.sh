#!/usr/bin/env bash
# Runs the stateful fuzzer with a seed for a number of steps:
# scripts/fuzz.sh SEED STEPS. Prints the shrunk commands of a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
FUZZ_SEED=${1:?seed} FUZZ_STEPS=${2:?steps} \
  "$BUILD_DIR/chivelanding-tests" '[.fuzz-more]'
