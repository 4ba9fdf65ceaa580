#!/usr/bin/env bash
# Installs the packages that the build needs, builds, and starts a stand-in of the
# configuration log, two entries and three agents with endpoint stand-ins on
# loopback. Publishes a configuration, submits one job through one entry and again
# through the other, and prints both answers and the decisions: the entries' log
# lines with event codes from 300 to 499. Exits 0 only if the job completes, the
# answers are identical and no task was started twice.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
scripts/build.sh || exit 1
BUILD=${BUILD_DIR:-build}
. tests/process/lib.bash
spawn log "$STANDIN" log
until_true 20 logged log listening || fail "the log did not start"
CHIVELANDING_LOG=$(sed -n 's/listening //p' "$WORK/log.log")
export CHIVELANDING_LOG
PROCESS_EXTRA="log = \"$CHIVELANDING_LOG\""
fleet 2 3
"$BIN" publish --author demo --reason "first configuration" --yes \
  examples/demo.toml || fail "the configuration was not accepted"
for NAME in e1 e2 a1 a2 a3; do
  until_true 20 logged "$NAME" 'config_accepted version=1' ||
    fail "version 1 is not in force at $NAME"
done
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
