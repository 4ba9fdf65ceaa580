#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/chivelanding ] || exit 2
python3 -B case.py &
CASE=$!
trap 'kill -TERM "$CASE" 2>/dev/null; wait "$CASE"; exit 2' TERM INT
wait "$CASE"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
