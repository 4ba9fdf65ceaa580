#!/usr/bin/env bash
# Runs the fault soak: it starts real processes, injects faults from outside them
# and checks what callers and workers observe. Usage: scripts/soak.sh SEED SECONDS
# [OPTION...], with the options --entries N, --agents N, --no-cordons and --keep
# FOLDER. Needs a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tests/soak/soak.py "${BUILD_DIR:-build}/chivelanding" "$@"
