#!/usr/bin/env bash
# Builds with address and undefined-behaviour sanitizers in build-sanitize/ and
# runs the tests there. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=build-sanitize
scripts/build.sh -DCHIVELANDING_SANITIZE=ON
ctest --test-dir "$BUILD_DIR" --output-on-failure --no-tests=error \
  -j "${JOBS:-$(nproc)}" "$@"
