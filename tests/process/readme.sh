#!/usr/bin/env bash
# Guards against commands in the README that no longer work. Runs every line of
# its shell blocks except scripts/test.sh, which would run this test again.
set -uo pipefail
export BUILD_DIR=$1
mapfile -t COMMANDS < <(awk '/^```sh$/{on=1;next} /^```$/{on=0} on' README.md |
  grep -v '^scripts/test.sh$')
[ "${#COMMANDS[@]}" -ge 4 ] || { echo "too few commands found"; exit 1; }
for COMMAND in "${COMMANDS[@]}"; do
  echo "\$ $COMMAND"
  bash -c "${COMMAND/#build\//$BUILD_DIR/}" || exit 1
done
