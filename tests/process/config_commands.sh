#!/usr/bin/env bash
# Guards against configuration commands that print a wrong result or exit with a
# wrong code, with and without faults of the log.
set -uo pipefail
BIN=$1/chivelanding
WORK=$(mktemp -d)
FAILED=0
"$1/chivelanding-standin" log >"$WORK/log.out" &
LOG_PID=$!
trap 'kill $LOG_PID; wait $LOG_PID 2>/dev/null; rm -rf "$WORK"' EXIT
for _ in $(seq 100); do
  grep -q listening "$WORK/log.out" && break
  sleep 0.05
done
CHIVELANDING_LOG=$(sed -n 's/listening //p' "$WORK/log.out")
export CHIVELANDING_LOG

# expect NAME EXIT PATTERN COMMAND...: checks the exit code of the command and
# that its output matches PATTERN.
expect() {
  local NAME=$1 EXIT=$2 PATTERN=$3 GOT OUT
  shift 3
  OUT=$("$@" 2>&1 </dev/null)
  GOT=$?
  if [ "$GOT" != "$EXIT" ] || ! grep -q -- "$PATTERN" <<<"$OUT"; then
    echo "FAILED: $NAME: exit $GOT, expected $EXIT and '$PATTERN':"
    echo "$OUT"
    FAILED=1
  fi
}
faults() {
  curl -sf -X PUT -d "$1" "http://$CHIVELANDING_LOG/faults" >/dev/null
}
appends() {
  curl -sf "http://$CHIVELANDING_LOG/faults" | sed 's/.*"appends":\([0-9]*\).*/\1/'
}
publish() { "$BIN" publish --author ada --reason "$1" --yes "${@:2}"; }

cp examples/config.toml "$WORK/one.toml"
sed 's/running = 60/running = 50/' "$WORK/one.toml" >"$WORK/two.toml"
sed 's/running = 60/running = 40/' "$WORK/one.toml" >"$WORK/three.toml"
sed 's/running = 60/running = 600/' "$WORK/one.toml" >"$WORK/bad.toml"

expect "valid set" 0 '^valid' "$BIN" check "$WORK/one.toml"
expect "invalid set" 1 'bad.toml:.*quota search.*is above' "$BIN" check "$WORK/bad.toml"
expect "problems as JSON" 1 '"valid":false' "$BIN" check --json "$WORK/bad.toml"
expect "missing file" 2 'unreadable' "$BIN" check "$WORK/none.toml"
expect "unknown option" 2 'see chivelanding check --help' "$BIN" check --wrong
expect "help" 0 'usage: chivelanding publish' "$BIN" publish --help
expect "standard input" 0 '^valid' bash -c "$BIN check - <examples/config.toml"
expect "unconfirmed" 2 'add --yes' "$BIN" publish --author a --reason r "$WORK/one.toml"
expect "no reason" 2 'give --author and --reason' "$BIN" publish "$WORK/one.toml"
expect "invalid set is not published" 1 'is above' publish first "$WORK/bad.toml"
expect "first" 0 'accepted as version 1' publish first "$WORK/one.toml"
expect "preview" 0 'running: 60 -> 50  TIGHTENS' "$BIN" diff "$WORK/two.toml"
expect "second" 0 'accepted as version 2' publish second "$WORK/two.toml"
expect "stale base" 1 'version 2 by ada: second' publish late --base 1 "$WORK/three.toml"
expect "revert" 0 'accepted as version 3' publish revert --revert-to 1
expect "reverted" 0 'running = 60' "$BIN" show
expect "earlier version" 0 'running = 50' "$BIN" show --version 2
expect "no change" 0 'no_change' publish same "$WORK/one.toml"

# The log loses its answer after the write: the change must be accepted and
# written once.
BEFORE=$(appends)
faults '{"lose_percent":100}'
expect "lost answer" 0 'accepted as version 4' publish lost "$WORK/two.toml"
faults '{}'
[ "$(appends)" = $((BEFORE + 1)) ] || { echo "FAILED: written twice"; FAILED=1; }

faults '{"outage":true}'
expect "outage" 1 'log_unavailable' publish outage "$WORK/three.toml"
faults '{"slow_ms":300}'
expect "slow log" 0 'accepted as version 5' publish slow "$WORK/three.toml"
faults '{"rate":1,"lose_percent":100}'
expect "rate limit and lost answer" 0 'accepted as version 6' publish both "$WORK/two.toml"
faults '{}'

# Of two changes that are published at once on the same base, one is accepted.
publish race1 --base 6 "$WORK/one.toml" >"$WORK/race1" 2>&1 &
RACE=$!
publish race2 --base 6 "$WORK/three.toml" >"$WORK/race2" 2>&1
wait $RACE
COUNT=$(cat "$WORK/race1" "$WORK/race2" | grep -c 'accepted as version 7')
[ "$COUNT" = 1 ] || { echo "FAILED: $COUNT of two racing changes accepted"; FAILED=1; }

curl -sf -d 'not ours' "http://$CHIVELANDING_LOG/streams/config" >/dev/null
expect "foreign record" 0 'in force: version 7; skipped records: 0 corrupt, 1 foreign' "$BIN" history
expect "history as JSON" 0 '"in_force":7' "$BIN" history --json --limit 2
faults '{"retain":2}'
curl -sf -d 'not ours' "http://$CHIVELANDING_LOG/streams/config" >/dev/null
expect "expired without a snapshot" 1 'no_state' "$BIN" show
exit $FAILED
