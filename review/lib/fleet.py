"""A small deployment on loopback addresses: the programs of the deploy file as
processes, and stand-ins for the platform's store, the workers and the clients,
which do what PROTOCOL.md says."""
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
import tomllib

from http11 import call, response, serve

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READINESS, CONTROL, APP = 8161, 8167, 8166, 8165
PORT_RANGE = [7720, 7735]
STORE_PORT = 8169
SERVICE = "huvo11a"
HOST = "nony24.example"
# Bounds of the site matu-tilts that the programs and the stand-ins use.
BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 6,
          "configApplyMs": 2000, "maxHoldMs": 1000, "stopMs": 50,
          "cancel_ms": 3000, "retryDelayMs": 1300}
RETRY_DELAY_S = 1.3
SHOWN = 20  # breaks of a rule that are listed


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")

    def close(self):
        self.file.close()


class Runs:
    """Every run of every task, from the workers' side."""

    def __init__(self, record):
        self.record = record
        self.open = {}      # task -> {(worker, run): start}
        self.all = []       # (task, worker, run, start, end, how)
        self.twice = []     # (task, seconds of overlap, runs)
        self.on_start = lambda task, worker, run: None

    def started(self, worker, task, run):
        others = self.open.setdefault(task, {})
        note = ""
        if others:
            note = f"   while {sorted(others)} runs"
        others[(worker, run)] = now()
        self.record.write(f"start {task} run {run} at {worker}{note}")
        self.on_start(task, worker, run)

    def ended(self, worker, task, run, how):
        others = self.open[task]
        begin = others.pop((worker, run))
        end = now()
        self.all.append((task, worker, run, begin, end, how))
        self.record.write(f"end   {task} run {run} at {worker} {how} after "
                          f"{end - begin:.3f} s")
        # An overlap is reported once, by the run that ends first.
        for other, other_begin in others.items():
            overlap = end - max(begin, other_begin)
            self.twice.append((task, overlap, [(worker, run), other]))


class Store:
    """Keyed topics of the platform's store, one partition each."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.down = False

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def publish(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"configuration {config['version']} acknowledged")

    async def handle(self, request):
        if self.down:
            return response(503)
        await asyncio.sleep(0.004)
        topic = request.query.get("topic", "")
        records = self.topics.get(topic, [])
        if request.path == "/log-newest":
            items = [{"key": k, "value": base64.b64encode(v).decode(),
                      "offset": 0} for k, v in dict(records).items() if v]
            return response(200, json.dumps(
                {"items": items, "morePages": False,
                 "end": len(records)}).encode())
        if request.path == "/log-read":
            start = int(request.query["from"])
            if start >= len(records):
                try:
                    await asyncio.wait_for(
                        self.changed.wait(),
                        int(request.query.get("waitMs", "0")) / 1000)
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return response(200, body, "application/octet-stream")
        if request.path == "/log-append":
            length = request.body[4]
            key = request.body[5:5 + length].decode()
            self.put(topic, key, request.body[5 + length:])
            end = len(self.topics[topic])
            return response(200, json.dumps(
                {"offset": end - 1, "end": end}).encode())
        return response(404)


class Worker:
    """A worker that guards its capacity and runs tasks under a lease."""

    STOP_S = 0.02           # a stop takes at most stopMs
    LATE_S = (2.0, 12.0)    # when an order without an answer is carried out

    def __init__(self, name, ip, zone, runs, rng, record):
        self.name, self.ip, self.zone = name, ip, zone
        self.runs, self.rng, self.record = runs, rng, record
        self.capacity = {"cpu": 64000, "memMb": 262144, "gpu": 0}
        self.unanswered_share = 0.0  # applied_late
        self.incarnation = 0
        self.state = "ready"
        self.rate = 1.0
        self.alive = False
        self.server = None

    async def start(self, same_id=False):
        self.incarnation += 1
        if not same_id or self.incarnation == 1:
            self.id = f"i-{self.name}-{self.incarnation}"
        self.clock_rate = self.rng.uniform(0.98, 1.0)
        self.started_at = now()
        self.born = int(time.time() * 1000)
        self.running, self.ended, self.highest = {}, [], {}
        self.lease_end, self.token = 0.0, 0
        self.seq, self.last_end = 0, 0
        self.run_ended = asyncio.Event()
        self.alive = True
        self.state = "ready"
        self.server = await serve(self.ip, APP, self.handle)
        self.beat_task = asyncio.ensure_future(
            self.send_heartbeats(self.incarnation))
        asyncio.ensure_future(self.watch(self.incarnation))
        self.record.write(f"worker {self.id} begins")

    async def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        for task in list(self.running):
            self.end(task, "crashed")
        self.record.write(f"worker {self.id} has crashed")

    def clock_ms(self):
        return int((now() - self.started_at) * 1000 * self.clock_rate) + 5000

    async def send_heartbeats(self, incarnation):
        while self.alive and self.incarnation == incarnation:
            await self.heartbeat()
            await asyncio.sleep(1.5)

    async def heartbeat(self):
        self.seq += 1
        body = {"service": SERVICE, "address": f"{self.ip}:{APP}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": ["a", f"r-{self.zone}"],
                "clockMs": self.clock_ms(), "born": self.born, "seq": self.seq}
        return await call((self.ip, CONTROL), "POST",
                          f"/Instances.Heartbeat/{self.id}",
                          json.dumps(body).encode(), timeout=1.0)

    async def watch(self, incarnation):
        """Works on the tasks and ends them when they are done, stopped or
        without a lease."""
        last = now()
        while self.alive and self.incarnation == incarnation:
            await asyncio.sleep(0.005)
            if not (self.alive and self.incarnation == incarnation):
                return
            passed, last = now() - last, now()
            for task, run in list(self.running.items()):
                run["left"] -= passed * self.rate
                if last >= self.lease_end:
                    self.end(task, "lapsed")
                elif run["stop_at"] and last >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["left"] <= 0:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.runs.ended(self.id, task, run["run"], how)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def renew(self, deadline_ms):
        end = self.started_at + (deadline_ms - 5000) / 1000 / self.clock_rate
        longest = now() + BOUNDS["maxHoldMs"] / 1000 / self.clock_rate
        self.lease_end = max(self.lease_end, min(end, longest))

    def start_run(self, body):
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencingToken", 0)
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        known = self.running.get(task)
        self.renew(body["deadlineMs"])
        if known and known["run"] == run:
            return 200, ""
        if known or run <= self.highest.get(task, 0):
            return 409, "old"
        spec = json.loads(body["spec"])
        used_cpu = sum(r["cpu"] for r in self.running.values())
        used_mb = sum(r["mb"] for r in self.running.values())
        if (used_cpu + spec["cpu"] > self.capacity["cpu"]
                or used_mb + spec["mb"] > self.capacity["memMb"]):
            return 409, "room"
        length = spec["ms"] / 1000
        self.running[task] = {"run": run, "left": length, "all": length,
                              "stop_at": None, "cpu": spec["cpu"],
                              "mb": spec["mb"]}
        self.runs.started(self.id, task, run)
        return 200, ""

    def stop_run(self, body):
        if body.get("fencingToken", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencingToken", 0)
        task, run = body["task"], body["run"]
        known = self.running.get(task)
        if known and known["run"] <= run and not known["stop_at"]:
            known["stop_at"] = now() + self.STOP_S
        self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, ""

    async def carry_out_late(self, order, body, incarnation):
        await asyncio.sleep(self.rng.uniform(*self.LATE_S))
        if self.alive and self.incarnation == incarnation:
            order(body)

    async def handle(self, request):
        if not self.alive:
            return None
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return response(421)
        body = json.loads(request.body or b"{}")
        orders = {"/run-start": self.start_run, "/run-stop": self.stop_run}
        order = orders.get(request.path)
        if order:
            if self.rng.random() < self.unanswered_share:
                self.record.write(f"order {request.path} {body['task']} run "
                                  f"{body['run']} at {self.id} without answer")
                asyncio.ensure_future(
                    self.carry_out_late(order, body, self.incarnation))
                return None
            status, reason = order(body)
            return self.reply(status, {"reason": reason} if reason else {})
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/health":
            return response(200)
        return response(404)

    async def hold(self, body):
        if body.get("fencingToken", 0) < self.token:
            return self.reply(409, {"reason": "fence"})
        self.token = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.renew(body["deadlineMs"])
        acknowledged = body.get("ackIndex", 0)
        self.ended = [e for e in self.ended if e[0] > acknowledged]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.run_ended.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.alive:
            return None
        rows = [[t, r["run"], "",
                 min(99, max(0, int(100 * (1 - r["left"] / r["all"]))))]
                for t, r in self.running.items()]
        return self.reply(200, {"running": rows, "endedRuns": self.ended[:500]})

    def reply(self, status, body):
        return response(status, json.dumps(
            {"clockMs": self.clock_ms(), "born": self.born, **body}).encode())


def fill(template, fields):
    """The template language of DEPLOY.md, as far as the templates use it."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = look_up(match.group(1))
        if value is None or value is False:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    def place(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Process:
    """One program of the deploy file."""

    def __init__(self, role, fields, folder, record):
        self.name, self.record = fields["node"], record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            deploy = tomllib.load(f)["roles"][role]
        self.command = deploy["run"].split(" ")
        with open(os.path.join(ROOT, deploy["template"]), encoding="utf-8") as f:
            text = fill(f.read(), fields)
        self.path = os.path.join(folder, f"{self.name}.toml")
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(text)
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.child = None

    async def start(self):
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["CHIVELANDING_SETTINGS"] = self.path
        self.child = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log)
        self.record.write(f"{self.name} started")

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()


class Fleet:
    """Entries, agents, workers and the store, and a client."""

    ZONES = ["riga-a", "riga-b", "riga-c"]

    def __init__(self, folder, seed, entries=3, agents=8, bounds=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.rng = random.Random(seed)
        self.runs = Runs(self.record)
        self.temp = tempfile.mkdtemp(prefix="chivelanding-review-")
        self.net, self.claim = self.claim_net()
        self.store_ip = f"127.{self.net}.3.1"
        self.entry_ips = [f"127.{self.net}.1.{i + 1}" for i in range(entries)]
        self.agent_ips = [f"127.{self.net}.2.{i + 1}" for i in range(agents)]
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.entries = [self.process("entry", ip, i)
                        for i, ip in enumerate(self.entry_ips)]
        self.agents = [self.process("agent", ip, i)
                       for i, ip in enumerate(self.agent_ips)]
        self.workers = [
            Worker(f"w{i + 1}", ip, self.ZONES[i % 3], self.runs, self.rng,
                   self.record) for i, ip in enumerate(self.agent_ips)]
        self.store = Store(self.record)
        self.version = 7
        self.max_lag = 0.0
        self.answers = {}

    def claim_net(self):
        """A part of the loopback range that no other run uses."""
        start = self.rng.randrange(10, 240)
        for step in range(230):
            net = 10 + (start + step) % 230
            claim = socket.socket()
            try:
                claim.bind((f"127.{net}.9.1", 16998))
                for ip, port in ((f"127.{net}.1.1", FRONT),
                                 (f"127.{net}.2.1", APP),
                                 (f"127.{net}.3.1", STORE_PORT)):
                    probe = socket.socket()
                    probe.bind((ip, port))
                    probe.close()
                return net, claim
            except OSError:
                claim.close()
        raise RuntimeError("no free part of the loopback range")

    def process(self, role, ip, i):
        fields = {"node": f"{role}-{i + 1}", "zone": self.ZONES[i % 3],
                  "region": "riga", "ip": ip, "portRange": PORT_RANGE,
                  "bounds": self.bounds,
                  "platform": {"address": f"{self.store_ip}:{STORE_PORT}"},
                  "seeds": [f"{e}:{CONTROL}" for e in self.entry_ips[:3]],
                  "listenAddrs": {"front": f"{ip}:{FRONT}",
                                  "readiness": f"{ip}:{READINESS}",
                                  "control": f"{ip}:{CONTROL}"},
                  "app": f"{ip}:{APP}", "service": SERVICE}
        return Process(role, fields, self.temp, self.record)

    def config(self, **changes):
        route = {"name": "r-1", "host": HOST, "pathPrefix": "/lohu930/",
                 "kind": "non_idempotent", "timeoutMs": 15000,
                 "targetLatencyMs": 60, "priority": 0, "service": SERVICE,
                 "attempts": 4, "stretch": 1.6}
        return {"version": self.version, "routes": [route],
                "services": [{"name": SERVICE, "healthPath": "/health",
                              "maxConns": 64, "protocol": "h1", "tls": False,
                              "admissionControl": True, "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                **changes}

    async def start(self):
        await serve(self.store_ip, STORE_PORT, self.store.handle)
        self.store.publish(self.config())
        asyncio.ensure_future(self.watch_lag())
        for process in self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            await worker.start()
        await self.wait_ready()

    async def watch_lag(self):
        """The longest time for which this process did not run."""
        while True:
            before = now()
            await asyncio.sleep(0.01)
            self.max_lag = max(self.max_lag, now() - before - 0.01)

    async def is_ready(self, i):
        answer = await call((self.entry_ips[i], READINESS), "GET", "/ready",
                            timeout=1)
        return bool(answer) and answer[0] == 200

    async def wait_ready(self, timeout=20):
        until = now() + timeout
        while now() < until:
            ready = [await self.is_ready(i) for i in range(len(self.entries))]
            if all(ready):
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the entries do not become ready")

    def new_id(self):
        return f"{self.rng.getrandbits(64):016x}"

    def job_body(self, count, ms, estimate=None, cpu=1000, mb=64):
        spec = json.dumps({"ms": ms, "cpu": cpu, "mb": mb})
        return json.dumps({"spec": spec, "bestEffort": True, "steps": [
            {"count": count, "cpu": cpu, "memMb": mb,
             "estRuntimeMs": estimate or ms}]}).encode()

    async def post(self, i, job, body, deadline_s, prefix="/lohu930/",
                   note=""):
        self.record.write(f"POST {job} to entry-{i + 1}{note}")
        answer = await call((self.entry_ips[i], FRONT), "POST", prefix + job,
                            body, [("Host", HOST),
                                   ("X-Deadline-Ms", int(deadline_s * 1000))],
                            deadline_s)
        text = "no answer"
        if answer:
            text = f"{answer[0]} {answer[2].decode('latin-1')[:80]}"
        self.record.write(f"POST {job} to entry-{i + 1}: {text}")
        return answer[0] if answer else 0

    async def delete(self, i, job, prefix="/lohu930/"):
        self.record.write(f"DELETE {job} to entry-{i + 1}")
        answer = await call((self.entry_ips[i], FRONT), "DELETE", prefix + job,
                            headers=[("Host", HOST)], timeout=3)
        status = answer[0] if answer else 0
        self.record.write(f"DELETE {job} to entry-{i + 1}: {status}")
        return status

    async def submit(self, job, body, deadline_s, first, tries=3):
        """A client: after no answer, 502 or 504 it sends the job again after
        retryDelayMs, to another node. Returns the last status."""
        status, i = 0, first
        for attempt in range(tries):
            status = await self.post(i, job, body, deadline_s,
                                     note=f" try {attempt + 1}")
            self.answers.setdefault(job, []).append(status)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RETRY_DELAY_S)
            others = [k for k in range(len(self.entries)) if k != i]
            i = self.rng.choice(others)
        return status

    async def stop(self):
        for process in self.entries + self.agents:
            if process.child and process.child.returncode is None:
                process.child.kill()
                await process.child.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def run_case(folder, play, seconds=115, kind=Fleet, **options):
    """Plays a case; returns its exit code: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "0")) or random.randrange(1, 10**6)

    async def main():
        fleet = None
        broken = None
        try:
            fleet = kind(folder, seed, **options)
            fleet.record.write(
                f"seed {seed}, disruption {'on' if trouble else 'off'}")
            async with asyncio.timeout(seconds):
                await fleet.start()
                broken = await play(fleet, trouble)
        # Whatever goes wrong in the stand-ins says nothing about the rule.
        except (Exception, asyncio.CancelledError) as problem:
            print(f"the case could not run: {problem!r}")
            if fleet:
                fleet.record.write(f"the case could not run: {problem!r}")
        code = 2 if broken is None else 1 if broken else 0
        if not fleet:
            return code
        stall = f"longest stall of the stand-ins {fleet.max_lag * 1000:.0f} ms"
        fleet.record.write(stall)
        for text in (broken or [])[:SHOWN]:
            fleet.record.write("BROKEN " + text)
            print("BROKEN", text)
        if broken and len(broken) > SHOWN:
            print(f"and {len(broken) - SHOWN} more")
            fleet.record.write(f"and {len(broken) - SHOWN} more")
        fleet.record.write(f"exit {code}")
        print(f"seed {seed}: exit {code}, {stall}")
        await fleet.stop()
        return code

    async def guarded():
        """Ends the processes also if this one gets a signal to end."""
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    sys.stdout.reconfigure(line_buffering=True)
    os._exit(asyncio.new_event_loop().run_until_complete(guarded()))
