#!/usr/bin/env bash
# Installs the packages, builds, lints and runs every test. Tests listed in
# KNOWN-RED.txt are run and their results printed, but do not affect the exit
# code.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/lint.sh
BUILD_DIR=${BUILD_DIR:-build}
RED=()
if [ -s KNOWN-RED.txt ]; then
  mapfile -t RED < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
PATTERN=''
for NAME in ${RED[@]+"${RED[@]}"}; do
  ESCAPED=$(printf '%s' "$NAME" | sed 's/[][\.*^$()+?{}|]/\\&/g')
  PATTERN+="${PATTERN:+|}^${ESCAPED}\$"
done
if [ -n "$PATTERN" ]; then
  echo "KNOWN-RED cases (shown, not counted):"
  for NAME in "${RED[@]}"; do
    ESCAPED=$(printf '%s' "$NAME" | sed 's/[][\.*^$()+?{}|]/\\&/g')
    if ctest --test-dir "$BUILD_DIR" -R "^${ESCAPED}\$" --no-tests=error \
      >/tmp/chivelanding-red.$$.log 2>&1; then
      echo "  GREEN now, remove its entry: $NAME"
    else
      echo "  red: $NAME"
    fi
    rm -f /tmp/chivelanding-red.$$.log
  done
  ctest --test-dir "$BUILD_DIR" --output-on-failure --no-tests=error \
    -j "${JOBS:-$(nproc)}" -E "$PATTERN"
else
  ctest --test-dir "$BUILD_DIR" --output-on-failure --no-tests=error \
    -j "${JOBS:-$(nproc)}"
fi
