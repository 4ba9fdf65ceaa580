#!/usr/bin/env bash
# Measures the time from publishing a version until it is in force on every
# process, with 2 entries, 4 agents and the stand-in log on one machine. The end is
# detected by polling the status.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${BUILD_DIR:-build}
. tests/process/lib.bash
spawn log "$STANDIN" log
until_true 20 logged log listening || fail "the log did not start"
LOG=$(sed -n 's/listening //p' "$WORK/log.log")
PROCESS_EXTRA="log = \"$LOG\""
ADMIN=127.0.0.1:$(free_port)
seeds 2
start_entry e1 0 "admin_listen = \"$ADMIN\""
start_entry e2 1
for A in a1 a2 a3 a4; do start_agent $A; done
CHIVELANDING_LOG=$LOG "$BIN" publish --author ada --reason bench --yes \
  examples/config.toml >/dev/null
until_true 20 logged a4 'config_accepted version=1' || fail "no first version"
python3 - "$ADMIN" "${PID[e2]}" <<'PY'
import http.client, json, os, signal, sys, threading, time
conn = http.client.HTTPConnection(sys.argv[1], timeout=30)
def call(method, path, body=None):
    conn.request(method, path, body, {"Authorization": "Bearer ada-token"})
    return json.loads(conn.getresponse().read())
toml = open("examples/config.toml").read()
times = []
for i in range(50):
    base = call("GET", "/v1/config/status")["version"]
    text = toml.replace("running = 60", "running = %d" % (10 + i))
    begin = time.monotonic()
    end = call("POST", "/v1/config/changes",
               json.dumps({"base": base, "reason": "bench", "toml": text}))
    assert end["outcome"] == "accepted", end
    while True:
        s = call("GET", "/v1/config/status")
        if s["version"] > base and s["in_force"] == s["of"] == 6:
            break
        assert time.monotonic() - begin < 30, s
    times.append((time.monotonic() - begin) * 1000)
times.sort()
print("config_processes_in_force_median %.1f ms - -" % times[24])
worst = times[49]
print("config_processes_in_force_p99 %.1f ms <=1000 %s"
      % (worst, "ok" if worst <= 1000 else "red"))
# The other entry is killed while the change is being distributed.
base = call("GET", "/v1/config/status")["version"]
text = toml.replace("running = 60", "running = 9")
begin = time.monotonic()
threading.Timer(0.001, os.kill, (int(sys.argv[2]), signal.SIGKILL)).start()
call("POST", "/v1/config/changes",
     json.dumps({"base": base, "reason": "bench", "toml": text}))
while True:
    s = call("GET", "/v1/config/status")
    left = [p for p in s["processes"] if not p["process"].startswith("e2")]
    if len(left) == 5 and all(p["version"] > base for p in left):
        break
    assert time.monotonic() - begin < 30, s
lost = (time.monotonic() - begin) * 1000
print("config_processes_entry_lost_in_force %.1f ms <=5000 %s"
      % (lost, "ok" if lost <= 5000 else "red"))
PY
