#!/usr/bin/env bash
# Installs, builds and runs two entries and three agents with endpoint stand-ins
# on loopback. Submits one job through one entry and again through the other,
# and prints both answers and the decision log. Exits 0 only if the answers are
# identical and no task was started twice.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
scripts/build.sh || exit 1
BUILD=${BUILD_DIR:-build}
. tests/process/lib.bash
fleet 2 3
job "$(token e1)" demo 5 100000 >"$WORK/job"
FIRST=$(submit e1 "$WORK/job")
SECOND=$(submit e2 "$WORK/job")
echo "through e1: $FIRST"
echo "through e2: $SECOND"
echo "decisions:"
grep -hE ' (3|4)[0-9][0-9] [a-z_]+ ' "$WORK"/e1.log "$WORK"/e2.log | sort
case $FIRST in 200*) ;; *) fail "the job did not complete" ;; esac
[ "$FIRST" = "$SECOND" ] || fail "the answers differ"
check_once p1 p2 p3
echo "identical answers, no task started twice"
