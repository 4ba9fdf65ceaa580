"""Stand-ins of the platform for the soak: store, workers, and an oracle that
sees every run."""
import asyncio
import base64
import json
import random
import struct
import time

from http11 import call, response, serve


def now():
    return time.monotonic()


class Oracle:
    """Checks the promises from what callers and workers see."""

    def __init__(self):
        self.active = {}      # task name -> set of (worker, run)
        self.done = set()     # task names with a run that ended well
        self.started = set()  # ids of jobs with a run
        self.violations = []

    def fail(self, text):
        self.violations.append(text)

    def start(self, worker, task, run):
        self.started.add(task.split(".")[0])
        others = self.active.setdefault(task, set())
        if others:
            self.fail(f"{task} runs twice: run {run} on {worker} beside "
                      f"{sorted(others)}")
        others.add((worker, run))

    def end(self, worker, task, run, how):
        self.active.get(task, set()).discard((worker, run))
        if how == "done":
            self.done.add(task)

    def answered(self, job, width, status, state, attempts_refused):
        if status == 200 and state == "completed":
            missing = [i for i in range(width)
                       if f"{job}.0.0.{i}" not in self.done]
            if missing:
                self.fail(f"{job} completed without tasks {missing}")
        if attempts_refused and job in self.started:
            self.fail(f"{job} was refused every time and has run")


class Store:
    """The platform's store: topics with records by key, and faults."""

    def __init__(self, rng):
        self.rng = rng
        self.topics = {}
        self.mode = "up"
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        if self.mode == "refusing":
            return response(503)
        if self.mode == "silent":
            return None
        topic = request.query.get("topic", "")
        records = self.topics.get(topic, [])
        if request.path == "/log-newest":
            newest = dict(records)
            items = [{"key": k, "value": base64.b64encode(v).decode(),
                      "offset": 0} for k, v in newest.items()]
            return response(200, json.dumps(
                {"items": items, "morePages": False,
                 "end": len(records)}).encode())
        if request.path == "/log-read":
            start = int(request.query["from"])
            if start >= len(records):
                wait = int(request.query.get("waitMs", "0")) / 1000
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
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
            if self.mode == "losing" and self.rng.random() < 0.5:
                return None
            return response(200, b'{"offset":0,"end":1}')
        return response(404)


class Worker:
    """A worker with leases. It ends its runs when the lease is over."""

    MAX_HOLD = 1.0

    def __init__(self, name, address, agent, oracle, rng, cpu):
        self.name, self.address, self.agent = name, address, agent
        self.oracle, self.rng, self.cpu = oracle, rng, cpu
        self.told = "%s:%d" % address  # where its agent reaches it
        self.mode = "up"
        self.server = None
        self.lives = 0

    def clock(self):
        return int((now() - self.birth) * 1000 * self.rate) + 1

    async def begin(self):
        self.lives += 1
        # A worker may start again under the id that it had.
        if self.lives == 1 or self.rng.random() < 0.5:
            self.id = f"{self.name}-{self.lives}"
        self.rate = self.rng.uniform(0.98, 1.0)  # of its clock
        self.birth, self.born = now(), int(time.time() * 1000)
        self.running, self.ended, self.highest = {}, [], {}
        self.lease, self.token, self.seq, self.ends = 0.0, 0, 0, 0
        self.ended_now = asyncio.Event()
        self.alive = True
        self.server = await serve(*self.address, self.handle)
        asyncio.ensure_future(self.beat(self.lives))
        asyncio.ensure_future(self.work(self.lives))

    async def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        for task, run in list(self.running.items()):
            self.oracle.end(self.id, task, run["run"], "lost")
        self.running = {}

    async def beat(self, life):
        while self.alive and self.lives == life:
            self.seq += 1
            body = {"service": "svc", "address": self.told,
                    "zone": "z1", "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 10000, "gpu": 0},
                    "labels": ["a", "r1"], "clockMs": self.clock(),
                    "born": self.born, "seq": self.seq}
            await call(self.agent, "POST", f"/Instances.Heartbeat/{self.id}",
                       json.dumps(body).encode(), timeout=1.0)
            await asyncio.sleep(0.5)

    def finish(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.oracle.end(self.id, task, run["run"], how)
        self.ended_now.set()
        self.ended_now = asyncio.Event()

    async def work(self, life):
        last = now()
        while self.alive and self.lives == life:
            await asyncio.sleep(0.01)
            passed, last = now() - last, now()
            for task, run in list(self.running.items()):
                if now() > self.lease:
                    self.finish(task, "lapsed")
                    continue
                rate = {"slow": 0.15, "stalled": 0.0}.get(self.mode, 1.0)
                run["left"] -= passed * rate
                if run["left"] <= 0:
                    failed = self.mode == "failing" or self.rng.random() < 0.01
                    self.finish(task, "failed" if failed else "done")

    def hold_until(self, deadline_ms):
        until = self.birth + deadline_ms / 1000 / self.rate
        self.lease = max(self.lease,
                         min(until, now() + self.MAX_HOLD / self.rate))

    def start(self, body):
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.token:
            return 409, "fence"
        self.token = body.get("fencingToken", 0)
        if body["deadlineMs"] <= self.clock():
            return 409, "late"
        self.hold_until(body["deadlineMs"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, ""
        if task in self.running or run <= self.highest.get(task, 0):
            return 409, "old"
        if 1000 * (len(self.running) + 1) > self.cpu:
            return 409, "room"
        length = float(body["spec"].split()[0]) / 1000
        self.running[task] = {"run": run, "left": length, "all": length}
        self.oracle.start(self.id, task, run)
        return 200, ""

    async def start_late(self, body, life):
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        if self.alive and self.lives == life:
            self.start(body)

    async def handle(self, request):
        if not self.alive:
            return None
        life = self.lives
        if self.mode == "mute":
            return None
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return response(421)
        body = json.loads(request.body or b"{}")
        if self.mode == "late" and self.rng.random() < 0.4:
            if request.path == "/run-start":
                asyncio.ensure_future(self.start_late(body, life))
            return None
        if request.path == "/run-start":
            status, reason = self.start(body)
            return self.reply(status, {"reason": reason} if reason else {})
        if request.path == "/run-stop":
            if body.get("fencingToken", 0) < self.token:
                return self.reply(409, {"reason": "fence"})
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task]["run"] <= run:
                self.finish(task, "stopped")
            self.highest[task] = max(self.highest.get(task, 0), run)
            return self.reply(200, {})
        if request.path == "/hold":
            return await self.hold(body)
        return response(404)

    async def hold(self, body):
        if body.get("fencingToken", 0) < self.token:
            return self.reply(409, {"reason": "fence"})
        self.token = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.hold_until(body["deadlineMs"])
        seen = body.get("ackIndex", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended_now.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[t, r["run"], "", int(100 * (1 - r["left"] / r["all"]))]
                for t, r in self.running.items()]
        return self.reply(200, {"running": [
            [t, n, s, min(99, max(0, p))] for t, n, s, p in rows],
            "endedRuns": self.ended[:500]})

    def reply(self, status, body):
        return response(status, json.dumps(
            {"clockMs": self.clock(), "born": self.born, **body}).encode())


class Proxy:
    """A TCP proxy between two loopback addresses, with faults."""

    def __init__(self, listen, target, rng):
        self.listen, self.target, self.rng = listen, target, rng
        self.mode = "open"
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self.connected, *self.listen)

    async def connected(self, reader, writer):
        if self.mode in ("cut", "silent"):
            await asyncio.sleep(3)
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        state = {"silent": False}
        pair_state = [state]
        self.states = getattr(self, "states", []) + pair_state
        await asyncio.gather(self.pump(reader, far_writer, "out", state),
                             self.pump(far_reader, writer, "back", state))
        self.writers -= pair

    async def pump(self, reader, writer, direction, state):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                while self.mode == "cut" or (
                        self.mode == "one_way" and direction == "back"):
                    await asyncio.sleep(0.05)
                if state["silent"]:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.rng.uniform(0, 0.2))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """Open connections carry nothing any more; new ones work."""
        for state in getattr(self, "states", []):
            state["silent"] = True
