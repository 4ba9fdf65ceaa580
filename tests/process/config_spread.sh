#!/usr/bin/env bash
# Guards against a published version that does not reach every process, against
# an entry that starts during an outage of the log and does not get the
# configuration from its peers, and against an API that accepts calls without a
# token.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash

spawn log "$STANDIN" log
until_true 20 logged log listening || fail "the log did not start"
LOG=$(sed -n 's/listening //p' "$WORK/log.log")
PROCESS_EXTRA="log = \"$LOG\""
export CHIVELANDING_LOG=$LOG CHIVELANDING_TOKEN=ada-token
ADMIN=127.0.0.1:$(free_port)
seeds 3
start_entry e1 0 "admin_listen = \"$ADMIN\""
start_entry e2 1
start_agent a1
start_agent a2

publish() { "$BIN" publish --author ada --reason test --yes "$@" 2>&1; }
publish examples/config.toml | grep -q 'accepted as version 1' || fail "first"
until_true 20 logged a1 'config_accepted version=1' || fail "not at the agent"
sed 's/running = 60/running = 50/' examples/config.toml >"$WORK/two.toml"
OUT=$(publish --admin "$ADMIN" --wait 30 "$WORK/two.toml") ||
  fail "not in force everywhere: $OUT"
grep -q 'in force on 4 of 4' <<<"$OUT" || fail "progress: $OUT"
"$BIN" versions --admin "$ADMIN" | grep -q 'in force on 4 of 4' || fail "versions"

STATUS=$(curl -s -o /dev/null -w '%{http_code}' "http://$ADMIN/v1/config/status")
[ "$STATUS" = 401 ] || fail "status without a token: $STATUS"
STATUS=$(curl -s -o /dev/null -w '%{http_code}' -d '{}' \
  -H 'Chivelanding-Team: search' "http://127.0.0.1:${PORT[e1]}/v1/jobs")
[ "$STATUS" = 401 ] || fail "a job without the team's token: $STATUS"

STATUS=$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://$ADMIN/v1/drain")
[ "$STATUS" = 401 ] || fail "drain without a token: $STATUS"
"$BIN" status --to "$ADMIN" | grep -q '"config_version":2' || fail "status"

curl -sf -X PUT -d '{"outage":true}' "http://$LOG/faults" >/dev/null
start_entry e3 2
until_true 20 logged e3 'config_accepted version=2' || fail "no state from peers"
echo ok
