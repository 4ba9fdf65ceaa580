# Functions for the process tests, the demo and the benchmarks. `spawn` starts
# every process; each listens on a free loopback port and is killed by its process
# id when the script exits.
BUILD=${BUILD:?build directory}
BIN=$BUILD/chivelanding
STANDIN=$BUILD/chivelanding-standin
WORK=$(mktemp -d)
declare -A PID
declare -A PORT
PEERS=()

cleanup() {
  local P
  for P in "${PID[@]}"; do kill -CONT "$P" 2>/dev/null; done
  for P in "${PID[@]}"; do kill -9 "$P" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*" >&2
  local F
  for F in "$WORK"/*.log; do
    echo "--- $(basename "$F")" >&2
    tail -n 40 "$F" >&2
  done
  exit 1
}

# spawn NAME COMMAND...: runs a process in the background with its output in
# NAME.log.
spawn() {
  local NAME=$1
  shift
  "$@" >>"$WORK/$NAME.log" 2>&1 &
  PID[$NAME]=$!
}

# until_true SECONDS COMMAND...: waits until the command succeeds. The timeout is
# long, so that it expires only in a test that can no longer pass.
until_true() {
  local LIMIT=$(($1 * 20)) I
  shift
  for ((I = 0; I < LIMIT; I++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}

# logged NAME REGEX [COUNT]: true if the log of NAME has at least COUNT matches.
logged() {
  [ "$(grep -cE "$2" "$WORK/$1.log")" -ge "${3:-1}" ]
}

# free_port: prints a port that is free now. The peer port of an entry must be
# known before it starts, because the settings of its peers list it.
free_port() {
  python3 - <<'PY'
import socket
s = socket.socket()
s.bind(("127.0.0.1", 0))
print(s.getsockname()[1])
PY
}

# process_table NAME: prints the settings common to both roles, with short
# timeouts.
process_table() {
  cat <<X
[process]
name = "$1"
zone = "z1"
region = "r1"
heartbeat_ms = ${HEARTBEAT_MS:-50}
suspect_after_ms = ${SUSPECT_MS:-400}
lost_after_ms = ${LOST_MS:-1500}
drain_limit_ms = 30000
log_level = "${LOG_LEVEL:-info}"
log_format = "text"
${PROCESS_EXTRA:-}
X
}

# seeds COUNT: chooses the peer ports of COUNT entries.
seeds() {
  local I
  for ((I = 0; I < $1; I++)); do PEERS+=("$(free_port)"); done
}

seed_list() {
  printf '"127.0.0.1:%s", ' "${PEERS[@]}"
}

# start_entry NAME INDEX [EXTRA]: starts an entry and waits for its ports.
start_entry() {
  local NAME=$1
  {
    process_table "$NAME"
    cat <<X
[entry]
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:${PEERS[$2]}"
seeds = [$(seed_list)]
${3:-}
X
  } >"$WORK/$NAME.toml"
  : >"$WORK/$NAME.log"
  spawn "$NAME" "$BIN" entry --settings "$WORK/$NAME.toml"
  until_true 20 logged "$NAME" 'process_started' || fail "$NAME did not start"
  PORT[$NAME]=$(sed -n 's/.* listen=127.0.0.1:\([0-9]*\).*/\1/p' \
    "$WORK/$NAME.log" | head -1)
}

# start_agent NAME [EXTRA]: starts an agent.
start_agent() {
  local NAME=$1
  {
    process_table "$NAME"
    cat <<X
[agent]
listen = "127.0.0.1:0"
entries = [$(seed_list)]
${2:-}
X
  } >"$WORK/$NAME.toml"
  : >"$WORK/$NAME.log"
  spawn "$NAME" "$BIN" agent --settings "$WORK/$NAME.toml"
  until_true 20 logged "$NAME" 'process_started' || fail "$NAME did not start"
  PORT[$NAME]=$(sed -n 's/.* listen=127.0.0.1:\([0-9]*\).*/\1/p' \
    "$WORK/$NAME.log" | head -1)
}

# start_endpoint NAME AGENT [OPTIONS...]: starts an endpoint stand-in beside an
# agent.
start_endpoint() {
  local NAME=$1 AGENT=$2
  shift 2
  spawn "$NAME" "$STANDIN" endpoint --name "$NAME" \
    --agent "127.0.0.1:${PORT[$AGENT]}" "$@"
  until_true 20 logged "$NAME" 'listening on' || fail "$NAME did not start"
  PORT[$NAME]=$(sed -n 's/listening on 127.0.0.1:\([0-9]*\)/\1/p' \
    "$WORK/$NAME.log" | head -1)
}

# fleet ENTRIES AGENTS [ENTRY_EXTRA]: starts entries e1.., agents a1.. and
# endpoints p1.., and waits until every entry knows every endpoint.
fleet() {
  local I J
  seeds "$1"
  for ((I = 1; I <= $1; I++)); do start_entry "e$I" $((I - 1)) "${3:-}"; done
  for ((I = 1; I <= $2; I++)); do
    start_agent "a$I"
    start_endpoint "p$I" "a$I" ${ENDPOINT_OPTIONS:-}
  done
  for ((I = 1; I <= $1; I++)); do
    for ((J = 1; J <= $2; J++)); do
      until_true 20 logged "e$I" "endpoint_announced agent=a$J@" ||
        fail "e$I does not use a$J"
    done
  done
}

# token ENTRY: prints a new owner token of the entry.
token() {
  curl -sf "http://127.0.0.1:${PORT[$1]}/v1/token" |
    sed 's/.*"token":"\([^"]*\)".*/\1/'
}

# job TOKEN KEY TASKS RUN_US: prints a job whose tasks run for RUN_US microseconds
# and return their payload.
job() {
  python3 - "$@" <<'PY'
import json, sys
token, key, tasks, run = sys.argv[1:5]
print(json.dumps({"token": token, "key": key, "service": "service",
  "kind": "echo", "tasks": [{"id": "t%d" % i,
  "payload": json.dumps({"run_us": int(run), "n": i})}
  for i in range(int(tasks))]}))
PY
}

# submit ENTRY FILE: submits a job and prints the HTTP status and the answer.
# Status 000 means that the connection broke.
submit() {
  curl -s -m 60 -H 'Chivelanding-Team: team' -H 'Content-Type: application/json' \
    --data-binary @"$2" -o "$WORK/answer.$BASHPID" -w '%{http_code} ' \
    "http://127.0.0.1:${PORT[$1]}/v1/jobs"
  cat "$WORK/answer.$BASHPID" 2>/dev/null
  rm -f "$WORK/answer.$BASHPID"
}

# resubmit ENTRY FILE: submits again while the connection breaks or the answer is
# owner_unreachable, as the API requires of callers.
resubmit() {
  local A I
  for ((I = 0; I < 200; I++)); do
    A=$(submit "$1" "$2")
    case $A in
    000* | 503*owner_unreachable*) sleep 0.1 ;;
    *)
      echo "$A"
      return 0
      ;;
    esac
  done
  echo "$A"
  return 1
}

# check_once ENDPOINT...: fails if a task was started more than once at these
# endpoints together.
check_once() {
  local P
  for P in "$@"; do
    curl -sf "http://127.0.0.1:${PORT[$P]}/counters" >"$WORK/$P.counters" ||
      fail "no counters of $P"
  done
  python3 - "${@/#/$WORK/}" <<'PY' || fail "a task was started twice"
import json, sys
seen = {}
for name in sys.argv[1:]:
    for task, starts in json.load(open(name + ".counters"))["starts"].items():
        seen[task] = seen.get(task, 0) + starts
twice = {t: n for t, n in seen.items() if n > 1}
print("%d tasks started, %d more than once" % (len(seen), len(twice)))
sys.exit(1 if twice else 0)
PY
}

# check_answer TEXT TASKS: fails unless TEXT is the answer of a completed job with
# the results of all TASKS tasks, each its own payload, or of a failed job with a
# cause and a code.
check_answer() {
  python3 - "$1" "$2" <<'PY' || fail "wrong answer: $1"
import json, sys
status, body = sys.argv[1].split(" ", 1)
tasks = int(sys.argv[2])
answer = json.loads(body)
if answer["outcome"] == "completed":
    assert status == "200", status
    results = answer["results"]
    assert [r["id"] for r in results] == ["t%d" % i for i in range(tasks)]
    for i, r in enumerate(results):
        assert json.loads(r["result"])["n"] == i
else:
    assert answer["outcome"] == "failed" and status != "200", status
    assert answer["cause"] in ("not_run", "partly_run", "unknown")
    assert answer["code"]
PY
}
