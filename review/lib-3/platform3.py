"""Stand-ins of the users' platform for the cases of this review: the store, the
workers, and the processes of the system, started with the commands and the
settings templates of the deploy file. Everything listens on loopback."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

from http11 import call, response, serve

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ZONES = ["z1", "z2", "z3"]
HOST = "queues.example"
SERVICE = "svc"
# Bounds of a small deployment (those of the site that claim.txt names).
BOUNDS = {"graceS": 6, "maxHoldMs": 1000, "stopMs": 50, "retryDelayMs": 1300,
          "drainMs": 2000, "cancel_ms": 3000, "stableWindowMs": 3000}
PORTS = ["front", "readiness", "control", "app", "store", "peers", "metrics"]


def now():
    return time.monotonic()


def free_ports():
    """Ports that are free at all addresses now, by their use."""
    sockets = [socket.socket() for _ in PORTS]
    for each in sockets:
        each.bind(("", 0))
    ports = {use: each.getsockname()[1] for use, each in zip(PORTS, sockets)}
    for each in sockets:
        each.close()
    return ports


# --- The settings templates of the deploy file.

def look_up(stack, path):
    if path == ".":
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and \
                    int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, stack):
    def section(match):
        kind, path, inner = match.groups()
        value = look_up(stack, path)
        if kind == "^":
            return render(inner, stack) if not value else ""
        if value is None or value is False:
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(render(inner, stack + [item]) for item in items)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)

    def value_of(match):
        path, _, form = match.group(1).partition("|")
        value = look_up(stack, path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", value_of, text)


def roles():
    """Command and template of each role of deploy/system.toml."""
    text = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
    found = {}
    for name, body in re.findall(r"\[roles\.(\w+)\](.*?)(?=\n\[|\Z)", text, re.S):
        field = dict(re.findall(r'^(\w+) = "([^"]*)"', body, re.M))
        found[name] = (field["run"].split(" "), field["template"])
    return found


# --- The record of a run.

class Record:
    """What was sent, answered and run, with seconds since the begin."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = now()

    def write(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: topics with keyed records, one partition each."""

    ANSWER_S = 0.004

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.on_read = lambda request, start, end, size: None

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        await asyncio.sleep(self.ANSWER_S)
        topic = request.query.get("topic", "")
        if request.path == "/log-newest":
            records = self.topics.get(topic, [])
            newest = {key: (offset, value)
                      for offset, (key, value) in enumerate(records)}
            items = [{"key": key, "value": base64.b64encode(value).decode(),
                      "offset": offset}
                     for key, (offset, value) in newest.items() if value]
            return response(200, {"items": items, "morePages": False,
                                  "end": len(records)})
        if request.path == "/log-read":
            start = int(request.query["from"])
            if start >= len(self.topics.get(topic, [])):
                try:
                    await asyncio.wait_for(
                        self.changed.wait(),
                        int(request.query.get("waitMs", "0")) / 1000)
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            room = int(request.query.get("maxKb", "1024")) * 1024
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                record = struct.pack(">I", len(content)) + content
                if len(body) + len(record) > room and len(body) > 16:
                    break
                body += record
            self.on_read(request, start, len(records), len(body))
            return response(200, body, "application/octet-stream")
        if request.path == "/log-append":
            length = request.body[4]
            self.put(topic, request.body[5:5 + length].decode(),
                     request.body[5 + length:])
            end = len(self.topics[topic])
            return response(200, {"offset": end - 1, "end": end})
        return response(404, {})


class Worker:
    """A sound worker. The spec of a task is its run time in milliseconds."""

    HEARTBEAT_S = 1.5

    def __init__(self, number, host, ports, record, cpu):
        self.name, self.record, self.cpu = f"worker-{number}", record, cpu
        self.ports = ports
        self.host, self.zone = host, ZONES[(number - 1) % 3]
        self.id = f"i-{number:08x}"
        self.started, self.born = now(), int(time.time() * 1000)
        self.running, self.ended, self.barred = {}, [], {}
        self.lease_end, self.token, self.ends = 0.0, 0, 0
        self.end_listed = asyncio.Event()
        self.seq = 0
        self.starts = []  # (time, task, run)

    def clock_ms(self):
        return int((now() - self.started) * 1000)

    async def start(self):
        await serve((self.host, self.ports["app"]), self.handle)
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.work())

    async def beat(self):
        while True:
            self.seq += 1
            await call((self.host, self.ports["control"]), "POST",
                       f"/Instances.Heartbeat/{self.id}",
                       {"service": SERVICE, "address":
                        f"{self.host}:{self.ports['app']}",
                        "zone": self.zone, "version": "v1", "slots": 8,
                        "state": "ready", "coldRemainingMs": 0,
                        "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                        "labels": ["a", "r1-1"], "clockMs": self.clock_ms(),
                        "born": self.born, "seq": self.seq},
                       headers=[("Host", self.host)], timeout=1.0)
            await asyncio.sleep(self.HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            for task, run in list(self.running.items()):
                if now() >= self.lease_end:
                    self.end(task, "lapsed")
                elif now() >= run["until"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.record.write(f"{self.name} run of {task} run {run['run']} ends: "
                          f"{how}")
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def renew(self, deadline_ms):
        end = self.started + deadline_ms / 1000
        longest = now() + BOUNDS["maxHoldMs"] / 1000
        self.lease_end = max(self.lease_end, min(end, longest))

    def reply(self, status, body):
        return response(status, {"clockMs": self.clock_ms(), "born": self.born,
                                 **body})

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self.reply(421, {})
        body = request.json()
        if body.get("fencingToken", 0) < self.token:
            return self.reply(409, {"reason": "fence"})
        self.token = body.get("fencingToken", 0)
        if request.path == "/run-start":
            return self.on_start(body)
        if request.path == "/run-stop":
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task]["run"] <= run:
                self.end(task, "stopped")
            self.barred[task] = max(self.barred.get(task, 0), run)
            return self.reply(200, {})
        if request.path == "/hold":
            return await self.on_hold(body)
        return response(404, {})

    def on_start(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms():
            return self.reply(409, {"reason": "late"})
        self.renew(body["deadlineMs"])
        if task in self.running and self.running[task]["run"] == run:
            return self.reply(200, {})
        if task in self.running or run <= self.barred.get(task, 0):
            return self.reply(409, {"reason": "old"})
        if 1000 * (len(self.running) + 1) > self.cpu:
            return self.reply(409, {"reason": "room"})
        self.running[task] = {"run": run, "from": now(),
                              "until": now() + int(body["spec"]) / 1000}
        self.starts.append((now(), task, run))
        self.record.write(f"{self.name} starts {task} run {run}")
        return self.reply(200, {})

    async def on_hold(self, body):
        if "deadlineMs" in body:
            self.renew(body["deadlineMs"])
        self.ended = [e for e in self.ended if e[0] > body.get("ackIndex", 0)]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = []
        for task, run in self.running.items():
            share = (now() - run["from"]) / max(0.001, run["until"] - run["from"])
            rows.append([task, run["run"], "", min(99, int(100 * share)), 1000])
        return self.reply(200, {"running": rows, "endedRuns": self.ended[:500]})


class Process:
    """A process of the system, started as the deploy file says."""

    def __init__(self, fleet, role, name, fields):
        command, template = fleet.roles[role]
        self.command = [os.path.join(ROOT, command[0])] + command[1:]
        self.fleet, self.name = fleet, name
        self.path = os.path.join(fleet.folder, name + ".toml")
        self.log = open(os.path.join(fleet.folder, name + ".log"), "ab")
        text = render(open(os.path.join(ROOT, template),
                           encoding="utf-8").read(), [fields])
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        self.child = None

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            *self.command, stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"PATH": os.environ["PATH"], "CHIVELANDING_SETTINGS": self.path})

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()


class Fleet:
    """A small deployment: entries and agents in three zones, and the platform."""

    def __init__(self, case_folder, entries=3, agents=3, cpu=2000, bounds=None):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="chivelanding-review-")
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.roles = roles()
        self.net, self.ports = random.randrange(20, 250), free_ports()
        self.store = Store()
        self.version = 0
        self.entries = [Process(self, "entry", f"frontend-{ZONES[i % 3]}-1",
                                self.fields("entry", i + 1))
                        for i in range(entries)]
        self.agents = [Process(self, "agent", f"side-{ZONES[i % 3]}-{i + 1}",
                               self.fields("agent", i + 1))
                       for i in range(agents)]
        self.workers = [Worker(i + 1, self.side(i + 1), self.ports, self.record,
                               cpu)
                        for i in range(agents)]

    def front(self, number):
        return f"127.{self.net}.1.{number}"

    def side(self, number):
        return f"127.{self.net}.2.{number}"

    def store_address(self):
        return f"127.{self.net}.3.1", self.ports["store"]

    def fields(self, role, number):
        """Fields of a settings file, as DEPLOY.md names them."""
        ports = self.ports
        entry = role == "entry"
        host = self.front(number) if entry else self.side(number)
        listen = {"control": f"{host}:{ports['control']}"}
        if entry:
            listen["front"] = f"{host}:{ports['front']}"
            listen["readiness"] = f"{host}:{ports['readiness']}"
        zone = ZONES[(number - 1) % 3]
        store = "%s:%d" % self.store_address()
        return {"node": f"frontend-{zone}-1" if entry else
                f"side-{zone}-{number}", "zone": zone, "region": "r1",
                "ip": host, "listenAddrs": listen,
                "portRange": [ports["peers"], ports["metrics"]],
                "seeds": [f"{self.front(i)}:{ports['control']}"
                          for i in (1, 2, 3)],
                "limits": {"memoryMb": 260 if entry else 128, "maxFds": 4096},
                "bounds": self.bounds, "app": f"{host}:{ports['app']}",
                "service": SERVICE, "platform": {"address": store}}

    def publish(self, routes=0):
        """Writes the next version of the configuration, with this many routes
        beside that of the jobs. Returns the size of the record."""
        self.version += 1
        config = {"version": self.version, "limits": {},
                  "services": [{"name": SERVICE, "admissionControl": True}],
                  "routes": [{"name": "r-queue", "host": HOST,
                              "pathPrefix": "/queue/", "service": SERVICE,
                              "priority": 0, "attempts": 4, "stretch": 1.6,
                              "targetLatencyMs": 60}]}
        for i in range(routes):
            config["routes"].append(
                {"name": f"r-idle{i:05}", "host": f"idle{i:05}.example",
                 "pathPrefix": f"/idle{i:05}/", "kind": "non_idempotent",
                 "timeoutMs": 1500, "targetLatencyMs": 60, "priority": 0,
                 "service": SERVICE, "attempts": 4, "stretch": 1.6})
        text = json.dumps(config, separators=(",", ":")).encode()
        self.store.put("keyed.op", "config", text)
        return len(text)

    def evacuate(self, zone, wanted=True):
        self.store.put("keyed.op", "evacuate/" + zone,
                       json.dumps({"zone": zone}).encode() if wanted else b"")
        self.record.write(f"{zone} is {'evacuated' if wanted else 'taken back'}")

    async def start(self):
        self.publish()
        await serve(self.store_address(), self.store.handle)
        for process in self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            await worker.start()
        until = now() + 20
        while now() < until:
            if all([await self.serves(i + 1) for i in range(len(self.entries))]):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the deployment does not serve")

    async def serves(self, number):
        """True if a job of one task per worker runs through this entry."""
        status, _ = await self.post(number, self.new_id(), "10",
                                    len(self.workers), 2000)
        return status == 200

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    def headers(self, deadline_ms=None):
        pairs = [("Host", HOST)]
        if deadline_ms:
            pairs.append(("X-Deadline-Ms", str(deadline_ms)))
        return pairs

    async def post(self, number, job, spec, tasks, deadline_ms, cpu=1000):
        """Submits a job that need not be stored; waits for its answer."""
        self.record.write(f"POST {job} to entry {number}")
        body = {"spec": spec, "bestEffort": True,
                "steps": [{"count": tasks, "cpu": cpu, "memMb": 64,
                           "estRuntimeMs": int(spec)}]}
        answer = await call((self.front(number), self.ports["front"]), "POST",
                            "/queue/" + job, body, self.headers(deadline_ms),
                            timeout=deadline_ms / 1000)
        self.record.write(f"POST {job} at entry {number} answered: {answer}")
        return answer

    async def end(self, keep=False):
        for process in self.entries + self.agents:
            await process.end()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


BROKEN, HELD, COULD_NOT_RUN = 3, 0, 2  # run.sh makes the first one 1
TIME_LIMIT_S = 100


def run_case(folder, case, **options):
    """Runs case(fleet, trouble), which returns the text of a broken rule or ''.
    Ends this process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play(fleet):
        await fleet.start()
        return await case(fleet, trouble)

    async def whole():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        fleet = Fleet(folder, **options)
        try:
            broken = await asyncio.wait_for(play(fleet), TIME_LIMIT_S)
            fleet.record.write(f"BROKEN: {broken}" if broken else "held")
            print(broken or "held")
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as failure:
            fleet.record.write(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            await fleet.end(keep="KEEP" in os.environ)
            if "KEEP" in os.environ:
                print(fleet.folder)

    code = asyncio.new_event_loop().run_until_complete(whole())
    sys.stdout.flush()
    os._exit(code)
