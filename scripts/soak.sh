#!/usr/bin/env bash
# Plays the fault soak: real processes, faults from outside them, checks from
# what callers and workers see. Usage: scripts/soak.sh SEED SECONDS [OPTION...],
# with --entries N, --agents N and --keep FOLDER as options. Wants a build.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tests/soak/soak.py "${BUILD_DIR:-build}/chivelanding" "$@"
