#!/usr/bin/env bash
# Runs one benchmark, or all: scripts/bench.sh NAME [--seed N]. Each result is
# one line "NAME VALUE UNIT TARGET ok|red". A name with a script in
# scripts/bench/ runs real processes; the others are built into the binary.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=${BUILD_DIR:-build}
NAME=${1:?usage: scripts/bench.sh NAME|all [--seed N]}
shift
[ -x "$BUILD_DIR/chivelanding" ] || scripts/build.sh >/dev/null
run() {
  if [ -e "scripts/bench/$1.sh" ]; then
    bash "scripts/bench/$1.sh" "${@:2}"
  else
    "$BUILD_DIR/chivelanding" bench "$@"
  fi
}
if [ "$NAME" = all ]; then
  mapfile -t NAMES < <({
    "$BUILD_DIR/chivelanding" bench --help | awk '/^  /{print $1}'
    ls scripts/bench 2>/dev/null | sed 's/\.sh$//'
  } | sort -u)
  for BENCH in "${NAMES[@]}"; do
    echo "# $BENCH"
    run "$BENCH" "$@"
  done
else
  run "$NAME" "$@"
fi
