"""Stand-ins of the platform for the soak: store, workers, and an oracle that
sees every run."""
import asyncio
import base64
import json
import random
import struct
import time
from urllib.parse import unquote

from http11 import call, response, serve


def now():
    return time.monotonic()


class Oracle:
    """Checks the promises from what callers and workers see."""

    def __init__(self):
        self.running = {}         # task name -> set of (worker, run)
        self.succeeded = set()    # names of tasks with a successful run
        self.started_jobs = set()  # ids of jobs with a run
        self.violations = []

    def report(self, text):
        self.violations.append(text)

    def on_run_start(self, worker, task, run):
        self.started_jobs.add(task.split(".")[0])
        other_runs = self.running.setdefault(task, set())
        if other_runs:
            self.report(f"{task} runs twice: run {run} on {worker} beside "
                        f"{sorted(other_runs)}")
        other_runs.add((worker, run))

    def on_run_end(self, worker, task, run, outcome):
        self.running.get(task, set()).discard((worker, run))
        if outcome == "done":
            self.succeeded.add(task)

    def on_answer(self, job, task_count, status, state, all_refused):
        if status == 200 and state == "completed":
            missing = [i for i in range(task_count)
                       if f"{job}.0.0.{i}" not in self.succeeded]
            if missing:
                self.report(f"{job} completed without tasks {missing}")
        if all_refused and job in self.started_jobs:
            self.report(f"{job} was refused every time and has run")


class CordonOracle:
    """Checks that no run starts in a zone from 4 s after its cordon to its lift.

    A start is a violation if, after the cordon and the start of the agent's
    process, neither the agent nor one entry nor any connection between store,
    entry and agent was disturbed for 4 s. It is one at any time if all entries
    knew the cordon when the agent's process started.
    """

    BOUND_S = 4.0
    # Time for which something counts as disturbed after its fault: a process has
    # started and is linked, and a call to the store has timed out after 1.6 s.
    SETTLE_S = 2.0
    LINK_SETTLE_S = 3.0  # a peer is lost after 2.5 s of silence

    def __init__(self, oracle, zones, entries):
        self.oracle, self.zones, self.entries = oracle, zones, entries
        self.cordoned_at = {}    # zone -> time; zones that are not lifted
        self.disturbances = []   # [subject, from, to]; subject: (kind, number)
        self.started = {}        # process subject -> time of its last start
        self.known_at_start = {}  # agent number -> zones that all entries knew
        self.reported = set()     # (zone, time of the cordon) with a violation

    def begin(self, subject):
        """Records the begin of a disturbance, to be passed to end()."""
        self.disturbances.append([subject, now(), float("inf")])
        return self.disturbances[-1]

    def end(self, disturbance):
        is_link = disturbance[0][0] == "link"
        disturbance[2] = now() + (self.LINK_SETTLE_S if is_link
                                  else self.SETTLE_S)

    def set(self, zone):
        self.cordoned_at.setdefault(zone, now())

    def lift(self, zone):
        self.cordoned_at.pop(zone, None)
        for zones in self.known_at_start.values():
            zones.discard(zone)

    def on_process_start(self, subject):
        self.started[subject] = now()
        if subject[0] == "agent":
            self.known_at_start[subject[1]] = {
                zone for zone in self.cordoned_at
                if all(self.was_quiet(zone, [], e, now())
                       for e in self.entries)}

    def was_quiet(self, zone, subjects, entry, until):
        """True if there were BOUND_S without disturbance since the cordon."""
        subjects = subjects + [("entry", entry), ("store", 0),
                               ("store link", entry)]
        time = max([self.cordoned_at[zone]] +
                   [self.started.get(s, 0) for s in subjects])
        for subject, begin, end in sorted(self.disturbances,
                                          key=lambda d: d[1]):
            if subject in subjects and end > time and begin < until:
                if begin - time >= self.BOUND_S:
                    return True
                time = max(time, end)
        return until - time >= self.BOUND_S

    def forbids_start(self, agent, at):
        zone = self.zones[agent]
        if zone not in self.cordoned_at:
            return False
        # A call that the connection to the worker held back was made earlier.
        if any(d[0] == ("worker link", agent) and d[1] <= at < d[2]
               for d in self.disturbances):
            return False
        return zone in self.known_at_start.get(agent, ()) or any(
            self.was_quiet(zone, [("agent", agent), ("link", e)], e, at)
            for e in self.entries)

    def on_run_start(self, agent, task, called_at):
        zone = self.zones[agent]
        cordon = (zone, self.cordoned_at.get(zone))
        if cordon not in self.reported and self.forbids_start(agent, called_at):
            self.reported.add(cordon)
            self.oracle.report(
                f"{task} starts at worker {agent} in zone {zone}, which has "
                f"been cordoned for {called_at - self.cordoned_at[zone]:.2f} s")


class Store:
    """The platform's store: topics with records by key, and faults."""

    SLOW_S = 0.2  # 50 times the usual 4 ms of an answer
    READ_BYTES = 1024 * 1024  # largest answer to a read
    PAGE_ITEMS = 500

    def __init__(self, rng):
        self.rng = rng
        self.bounds = random.Random(0)  # of the answers, which may be shorter
        self.topics = {}
        self.mode = "up"
        self.rejected = set()  # numbers of entries whose calls are refused
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, caller=0):
        if self.mode == "refusing" or caller in self.rejected:
            return response(503)
        if self.mode == "silent":
            return None
        if self.mode == "slow":
            await asyncio.sleep(self.SLOW_S)
        topic = request.query.get("topic", "")
        records = self.topics.get(topic, [])
        if request.path == "/log-newest":
            after = unquote(request.query.get("after", ""))
            newest = sorted((k, v) for k, v in dict(records).items()
                            if v and k > after)
            count = self.bounds.choice([1, 2, self.PAGE_ITEMS])
            items = [{"key": k, "value": base64.b64encode(v).decode(),
                      "offset": 0} for k, v in newest[:count]]
            return response(200, json.dumps(
                {"items": items, "morePages": count < len(newest),
                 "end": len(records)}).encode())
        if request.path == "/log-read":
            if self.mode == "forgetting":
                return response(410)
            start = int(request.query["from"])
            if start >= len(records):
                wait = int(request.query.get("waitMs", "0")) / 1000
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(records), 0)
            room = self.bounds.choice([1, 2000, self.READ_BYTES])
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                record = struct.pack(">I", len(content)) + content
                if len(body) + len(record) > room and len(body) > 16:
                    break
                body += record
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

    MAX_LEASE_S = 1.0
    COLD_S = 3.0  # time after the lift of a cordon for which it stays slower
    COLD_RATE = 0.5

    def __init__(self, name, address, agent, oracle, rng, cpu):
        self.name, self.address, self.agent = name, address, agent
        self.oracle, self.rng, self.cpu = oracle, rng, cpu
        self.advertised = "%s:%d" % address  # address at which its agent reaches it
        self.mode = "up"
        self.server = None
        self.incarnation = 0
        self.zone = "z1"
        self.cold_until = 0.0
        self.on_start = lambda task, called_at: None

    def clock_ms(self):
        return int((now() - self.started_at) * 1000 * self.clock_rate) + 1

    async def start_incarnation(self):
        self.incarnation += 1
        # A restarted worker may keep the id of its previous incarnation.
        if self.incarnation == 1 or self.rng.random() < 0.5:
            self.id = f"{self.name}-{self.incarnation}"
        self.clock_rate = self.rng.uniform(0.98, 1.0)  # relative to real time
        self.started_at, self.started_unix_ms = now(), int(time.time() * 1000)
        self.running, self.ended, self.highest_run = {}, [], {}
        self.lease_end, self.fencing_token = 0.0, 0
        self.heartbeat_seq, self.last_end_index = 0, 0
        self.run_ended = asyncio.Event()
        self.alive = True
        self.server = await serve(*self.address, self.handle)
        asyncio.ensure_future(self.send_heartbeats(self.incarnation))
        asyncio.ensure_future(self.run_tasks(self.incarnation))

    async def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        for task, run in list(self.running.items()):
            self.oracle.on_run_end(self.id, task, run["run"], "lost")
        self.running = {}

    async def send_heartbeats(self, incarnation):
        while self.alive and self.incarnation == incarnation:
            self.heartbeat_seq += 1
            body = {"service": "svc", "address": self.advertised,
                    "zone": self.zone, "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs":
                        max(0, int((self.cold_until - now()) * 1000)),
                    "capacity": {"cpu": self.cpu, "memMb": 10000, "gpu": 0},
                    "labels": ["a", "r1"], "clockMs": self.clock_ms(),
                    "born": self.started_unix_ms, "seq": self.heartbeat_seq}
            await call(self.agent, "POST", f"/Instances.Heartbeat/{self.id}",
                       json.dumps(body).encode(), timeout=1.0)
            await asyncio.sleep(0.5)

    def end_run(self, task, outcome):
        run = self.running.pop(task)
        self.last_end_index += 1
        self.ended.append([self.last_end_index, task, run["run"], outcome, ""])
        self.highest_run[task] = max(self.highest_run.get(task, 0), run["run"])
        self.oracle.on_run_end(self.id, task, run["run"], outcome)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    async def run_tasks(self, incarnation):
        last = now()
        while self.alive and self.incarnation == incarnation:
            await asyncio.sleep(0.01)
            elapsed_s, last = now() - last, now()
            for task, run in list(self.running.items()):
                if now() > self.lease_end:
                    self.end_run(task, "lapsed")
                    continue
                rate = {"slow": 0.15, "stalled": 0.0}.get(self.mode, 1.0)
                rate *= self.COLD_RATE if now() < self.cold_until else 1.0
                run["left"] -= elapsed_s * rate
                if run["left"] <= 0:
                    failed = self.mode == "failing" or self.rng.random() < 0.01
                    self.end_run(task, "failed" if failed else "done")

    def renew_lease(self, deadline_ms):
        lease_end = self.started_at + deadline_ms / 1000 / self.clock_rate
        longest = now() + self.MAX_LEASE_S / self.clock_rate
        self.lease_end = max(self.lease_end, min(lease_end, longest))

    def start_run(self, body, called_at):
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.fencing_token:
            return 409, "fence"
        self.fencing_token = body.get("fencingToken", 0)
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self.renew_lease(body["deadlineMs"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, ""
        if task in self.running or run <= self.highest_run.get(task, 0):
            return 409, "old"
        if 1000 * (len(self.running) + 1) > self.cpu:
            return 409, "room"
        length = float(body["spec"].split()[0]) / 1000
        self.running[task] = {"run": run, "left": length, "all": length}
        self.oracle.on_run_start(self.id, task, run)
        self.on_start(task, called_at)
        return 200, ""

    async def start_run_late(self, body, incarnation):
        called_at = now()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        if self.alive and self.incarnation == incarnation:
            self.start_run(body, called_at)

    async def handle(self, request):
        if not self.alive:
            return None
        incarnation = self.incarnation
        if self.mode == "mute":
            return None
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return response(421)
        body = json.loads(request.body or b"{}")
        if self.mode == "late" and self.rng.random() < 0.4:
            if request.path == "/run-start":
                asyncio.ensure_future(self.start_run_late(body, incarnation))
            return None
        if request.path == "/run-start":
            status, reason = self.start_run(body, now())
            return self.reply(status, {"reason": reason} if reason else {})
        if request.path == "/run-stop":
            if body.get("fencingToken", 0) < self.fencing_token:
                return self.reply(409, {"reason": "fence"})
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task]["run"] <= run:
                self.end_run(task, "stopped")
            self.highest_run[task] = max(self.highest_run.get(task, 0), run)
            return self.reply(200, {})
        if request.path == "/hold":
            return await self.poll(body)
        return response(404)

    async def poll(self, body):
        if body.get("fencingToken", 0) < self.fencing_token:
            return self.reply(409, {"reason": "fence"})
        self.fencing_token = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.renew_lease(body["deadlineMs"])
        acknowledged = body.get("ackIndex", 0)
        self.ended = [e for e in self.ended if e[0] > acknowledged]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.run_ended.wait(),
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
            {"clockMs": self.clock_ms(), "born": self.started_unix_ms,
             **body}).encode())


class Proxy:
    """A TCP proxy between two loopback addresses, with faults."""

    def __init__(self, listen, target, rng, subject):
        self.listen, self.target, self.rng = listen, target, rng
        self.subject = subject  # names the connection in CordonOracle
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

    def drop_traffic(self):
        """Open connections carry nothing any more; new ones work."""
        for state in getattr(self, "states", []):
            state["silent"] = True
