#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR) with ccache and Ninja.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
cmake -S . -B "$BUILD_DIR" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" \
  >"/tmp/chivelanding-cmake.$$.log" || {
  cat "/tmp/chivelanding-cmake.$$.log"
  exit 1
}
rm -f "/tmp/chivelanding-cmake.$$.log"
cmake --build "$BUILD_DIR" -- -j "${JOBS:-$(nproc)}"
