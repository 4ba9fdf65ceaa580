"""Randomized soak of the real dispatch programs on loopback.

usage: soak.py BINARY SEED SECONDS [--entries N] [--agents N] [--no-cordons]
               [--keep DIR]

Runs entries and agents as processes against stand-ins of the platform, injects
faults from outside them, and checks from what callers and workers see that no
task runs twice at a time, that a completed job is whole, that a job that was
refused has not run, that no run starts in a cordoned zone (see CordonOracle),
and that jobs are served again in all zones after the faults. Exits 1 with the
violations and the seed.
"""
import argparse
import asyncio
import functools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile

from http11 import call, serve
from standins import CordonOracle, Oracle, Proxy, Store, Worker, now

PEER_PORT = 17720
ZONES = ["z1", "z2", "z3"]
RETRY_S = 1.3


def claim_net(seed):
    """A part of the loopback range that no other soak on this machine uses.

    The socket that is returned holds it until this process ends.
    """
    for step in range(250):
        net = 1 + (seed + step) % 250
        claim = socket.socket()
        try:
            claim.bind((f"127.{net}.9.1", 16999))
            return net, claim
        except OSError:
            claim.close()
    raise RuntimeError("every part of the loopback range is in use")


class Process:
    """One program, which the soak stops and starts again."""

    def __init__(self, binary, subject, settings, folder, on_start):
        self.binary, self.subject, self.on_start = binary, subject, on_start
        self.role, name = subject[0], "%s-%d" % subject
        self.name = name
        self.path = os.path.join(folder, f"{name}.toml")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        with open(self.path, "w", encoding="ascii") as f:
            f.write(settings)
        self.child = None
        self.lock = asyncio.Lock()  # held during a restart

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            self.binary, f"dispatch-{self.role}", "--settings", self.path,
            stdout=self.log, stderr=self.log)
        self.on_start(self.subject)

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def stop(self, number):
        self.signal(number)
        try:
            await asyncio.wait_for(self.child.wait(), 8)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.child.wait()


class Soak:
    def __init__(self, args, folder):
        self.args, self.folder = args, folder
        self.rng = random.Random(args.seed)
        self.operator_rng = random.Random(-args.seed)
        self.oracle = Oracle()
        self.zones = {i: self.zone_of(i) for i in range(1, args.agents + 1)}
        self.cordons = CordonOracle(self.oracle, self.zones,
                                    range(1, args.entries + 1))
        self.counts = {}
        self.net, self.claim = claim_net(args.seed)
        self.stopping = False

    def zone_of(self, i):
        return ZONES[(i - 1) % 3] if self.args.cordons else "z1"

    def settings(self, name, i, store, table):
        """A settings file; table is that of the role without seeds and grace."""
        net = self.net
        cordons = "[cordons]\napply_within_ms = 5000\n"
        seeds = ", ".join(f'"127.{net}.11.{k + 1}:1"'
                          for k in range(self.args.entries))
        return f"""[process]
name = "{name}"
zone = "{self.zone_of(i)}"
region = "r1"
log = "127.{net}.13.{store}:17001"
heartbeat_ms = 200
suspect_after_ms = 500
lost_after_ms = 2500
[leases]
{cordons if self.args.cordons else ""}{table}seeds = [{seeds}]
grace_ms = 4000
"""

    def entry_settings(self, i):
        net = self.net
        return self.settings(f"entry-{i}", i, 1 + i, f"""[dispatch_entry]
listen = "127.{net}.10.{i}:17000"
ready_listen = "127.{net}.10.{i}:17002"
peer_listen = "127.{net}.10.{i}:{PEER_PORT}"
peer_advertise = "127.{net}.11.{i}:{PEER_PORT}"
""")

    def agent_settings(self, i):
        net = self.net
        return self.settings(f"agent-{i}", i, 1, f"""[dispatch_agent]
listen = "127.{net}.14.{i}:17000"
endpoint = "127.{net}.16.{i}:17000"
service = "svc"
peer_listen = "127.{net}.14.{i}:{PEER_PORT}"
""")

    async def start_all(self):
        # Proxies listen at 127.NET.13.1 for the agents' store, at 127.NET.13.M for
        # that of entry M - 1, at 127.NET.16.N for worker N and at 127.NET.11.N for
        # the peer listener of entry N.
        net = self.net
        self.store = Store(self.rng)
        self.version = 1
        self.publish_config()
        self.proxies, self.entries, self.agents, self.workers = [], [], [], []
        # Entry 0 stands for the agents.
        for i in range(0, self.args.entries + 1):
            await serve(f"127.{net}.12.{1 + i}", 17001,
                        functools.partial(self.store.handle, caller=i))
            self.proxies.append(Proxy((f"127.{net}.13.{1 + i}", 17001),
                                      (f"127.{net}.12.{1 + i}", 17001),
                                      self.rng, ("store link", i)))
        for i in range(1, self.args.entries + 1):
            self.proxies.append(Proxy((f"127.{net}.11.{i}", PEER_PORT),
                                      (f"127.{net}.10.{i}", PEER_PORT), self.rng,
                                      ("link", i)))
            self.entries.append(Process(
                self.args.binary, ("entry", i), self.entry_settings(i),
                self.folder, self.cordons.on_process_start))
        for i in range(1, self.args.agents + 1):
            self.proxies.append(Proxy((f"127.{net}.16.{i}", 17000),
                                      (f"127.{net}.15.{i}", 17000), self.rng,
                                      ("worker link", i)))
            self.agents.append(Process(
                self.args.binary, ("agent", i), self.agent_settings(i),
                self.folder, self.cordons.on_process_start))
            worker = Worker(f"w{i}", (f"127.{net}.15.{i}", 17000),
                            (f"127.{net}.14.{i}", 17000), self.oracle, self.rng,
                            8000)
            worker.zone = self.zones[i]
            worker.on_start = functools.partial(self.on_run_start, i)
            # The address that the worker advertises is set below.
            self.workers.append(worker)
        for proxy in self.proxies:
            await proxy.start()
        for process in self.agents + self.entries:
            await process.start()
        for i, worker in enumerate(self.workers, 1):
            worker.advertised = f"127.{net}.16.{i}:17000"
            await worker.start_incarnation()

    def publish_config(self):
        config = {"version": self.version, "services": [{"name": "svc"}],
                  "limits": {}, "routes": [
                      {"name": f"r{p}", "host": "h", "pathPrefix": f"/q{p}/",
                       "priority": p, "service": "svc", "attempts": 3,
                       "stretch": 1.6, "targetLatencyMs": 60}
                      for p in range(3)]}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def on_run_start(self, agent, task, called_at):
        self.last_start[agent] = now()
        self.cordons.on_run_start(agent, task, called_at)

    def set_cordon(self, zone):
        self.store.put("keyed.op", f"evacuate/{zone}",
                       self.operator_rng.choice([b"{}", b"{", b"x"]))
        self.cordons.set(zone)

    def lift_cordon(self, zone):
        self.cordons.lift(zone)
        self.store.put("keyed.op", f"evacuate/{zone}", b"")
        for i, worker in enumerate(self.workers, 1):
            if self.zones[i] == zone and self.operator_rng.random() < 0.7:
                worker.cold_until = now() + worker.COLD_S

    async def operate(self, until):
        """Sets and lifts cordons, of one zone, two zones or all at a time."""
        rng = self.operator_rng
        while now() < until:
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            for zone in rng.sample(ZONES, rng.choice([1, 1, 1, 2, 2, 3])):
                if zone not in self.cordons.cordoned_at:
                    self.count_event("cordon set")
                    self.set_cordon(zone)
                elif rng.random() < 0.4:
                    self.count_event("cordon lifted")
                    self.lift_cordon(zone)
            # Tells how much of the time the oracle can observe.
            for agent in self.zones:
                if self.cordons.forbids_start(agent, now()):
                    self.count_event("agents observed while cordoned")

    async def end_cordons(self):
        """Lifts all cordons after a time without faults in which they hold."""
        if not self.cordons.cordoned_at:
            self.set_cordon(self.operator_rng.choice(ZONES))
        await asyncio.sleep(self.cordons.LINK_SETTLE_S + self.cordons.BOUND_S + 1)
        for agent, zone in self.zones.items():
            if (zone in self.cordons.cordoned_at
                    and not self.cordons.forbids_start(agent, now())):
                self.oracle.report(f"the oracle cannot observe agent {agent}")
        for zone in list(self.cordons.cordoned_at):
            self.lift_cordon(zone)

    async def client(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0, 0.15))
            asyncio.ensure_future(self.submit(
                self.rng.choice([1, 1, 2, 4, 8]),
                self.rng.choice([40, 60, 200, 200, 900])))

    async def submit(self, task_count, length, timeouts_s=(0.2, 2, 2, 2, 3)):
        """Returns true if the job was completed."""
        job = f"{self.rng.getrandbits(64):016x}"
        body = json.dumps({"spec": f"{length} text", "bestEffort": True,
                           "steps": [{"count": task_count, "cpu": 1000,
                                      "memMb": 10, "estRuntimeMs": length}]}).encode()
        refused = True
        for _ in range(3):
            entry = self.rng.randrange(1, self.args.entries + 1)
            timeout_s = self.rng.choice(timeouts_s)
            answer = await call(
                (f"127.{self.net}.10.{entry}", 17000), "POST",
                f"/q{self.rng.randrange(3)}/{job}", body,
                [("X-Deadline-Ms", int(timeout_s * 1000)), ("Host", "h")],
                timeout_s)
            status = answer[0] if answer else 0
            state = ""
            if status == 200:
                state = json.loads(answer[1]).get("state", "")
            refused = refused and status in (429, 503)
            self.count_event(f"{status} {state}".strip())
            if status in (200, 429, 503, 404):
                if status == 200:
                    self.last_served = now()
                self.oracle.on_answer(job, task_count, status, state, refused)
                return state == "completed"
            await asyncio.sleep(RETRY_S)
        return False

    def count_event(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def inject_fault(self):
        rng = self.rng
        kind = rng.choice(["kill", "kill", "pause", "term", "hup", "proxy",
                           "proxy", "store", "worker", "worker", "crash",
                           "config", "herd"])
        self.count_event("fault " + kind)
        process = rng.choice(self.entries + self.agents)
        duration_s = rng.uniform(0.3, 3.0)
        if kind in ("kill", "term"):
            async with process.lock:
                disturbance = self.cordons.begin(process.subject)
                await process.stop(signal.SIGKILL if kind == "kill"
                                  else signal.SIGTERM)
                await asyncio.sleep(rng.uniform(0, 1.0))
                await process.start()
                self.cordons.end(disturbance)
        elif kind == "pause":
            disturbance = self.cordons.begin(process.subject)
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.signal(signal.SIGCONT)
            self.cordons.end(disturbance)
        elif kind == "hup":
            process.signal(signal.SIGHUP)
        elif kind == "proxy":
            # The links of all processes to the store count as one target, too.
            stores = [p for p in self.proxies if p.subject[0] == "store link"]
            targets = rng.choice([[p] for p in self.proxies] + [stores])
            if targets is stores:
                self.count_event("fault all store links")
            mode = rng.choice(["cut", "one_way", "delay", "reset", "silence"])
            disturbances = [self.cordons.begin(p.subject) for p in targets]
            for proxy in targets:
                if mode == "reset":
                    proxy.reset()
                elif mode == "silence":
                    proxy.drop_traffic()
                else:
                    proxy.mode = mode
            if mode not in ("reset", "silence"):
                await asyncio.sleep(duration_s)
                for proxy in targets:
                    proxy.mode = "open"
            for disturbance in disturbances:
                self.cordons.end(disturbance)
        elif kind == "store":
            modes = ["refusing", "silent", "losing"]
            if self.args.cordons:
                modes += ["slow", "forgetting", "rejecting"]
            mode = rng.choice(modes)
            if mode == "rejecting":
                await self.reject_entry(duration_s)
                return
            # A slow or forgetful store can be read.
            disturbance = (self.cordons.begin(("store", 0))
                           if mode in ("refusing", "silent") else None)
            self.store.mode = mode
            await asyncio.sleep(duration_s)
            self.store.mode = "up"
            if disturbance:
                self.cordons.end(disturbance)
        elif kind == "worker":
            worker = rng.choice(self.workers)
            worker.mode = rng.choice(["slow", "stalled", "failing", "mute",
                                      "late", "late"])
            await asyncio.sleep(duration_s)
            worker.mode = "up"
        elif kind == "crash":
            worker = rng.choice(self.workers)
            if worker.alive:
                await worker.crash()
                await asyncio.sleep(duration_s)
                await worker.start_incarnation()  # as a new incarnation
        elif kind == "config":
            self.version += rng.randrange(1, 4)
            self.publish_config()
        elif kind == "herd":
            killed = [p.child for p in self.entries + self.agents]
            disturbances = [self.cordons.begin(p.subject)
                            for p in self.entries + self.agents]
            for p in self.entries + self.agents:
                p.signal(signal.SIGKILL)
            for p in self.entries + self.agents:
                async with p.lock:
                    if p.child not in killed:
                        continue  # the other series of faults has restarted it
                    await p.child.wait()
                    await p.start()
            for disturbance in disturbances:
                self.cordons.end(disturbance)

    async def reject_entry(self, duration_s):
        """The store refuses the calls of one entry and serves the others."""
        entry = self.rng.randrange(1, self.args.entries + 1)
        disturbance = self.cordons.begin(("store link", entry))
        self.store.rejected.add(entry)
        await asyncio.sleep(duration_s)
        self.store.rejected.discard(entry)
        self.cordons.end(disturbance)

    async def inject_faults(self, until):
        """Two series of faults that overlap."""

        async def series():
            while now() < until:
                await asyncio.sleep(self.rng.uniform(0.2, 1.5))
                await self.inject_fault()

        await asyncio.gather(series(), series())

    async def run(self):
        await self.start_all()
        self.last_served, self.last_start = 0.0, {}
        clients = [asyncio.ensure_future(self.client()) for _ in range(2)]
        await asyncio.sleep(2.5)
        completed_before_faults = self.counts.get("200 completed", 0)
        if completed_before_faults == 0:
            self.oracle.report("nothing is served before the first fault")
        until = now() + self.args.seconds
        operator = self.operate(until) if self.args.cordons else asyncio.sleep(0)
        await asyncio.gather(self.inject_faults(until), operator)
        for process in self.entries + self.agents:
            process.signal(signal.SIGCONT)
        if self.args.cordons:
            await self.end_cordons()
        faults_ended = now()
        await asyncio.sleep(8)
        if self.last_served < faults_ended:
            self.oracle.report("nothing is served 8 s after the last fault")
        if self.args.cordons:
            self.check_all_workers_started(faults_ended)
        self.stopping = True
        await asyncio.gather(*clients)
        await asyncio.sleep(3)
        if self.args.cordons:
            await self.check_all_served()
        stops = [p.stop(signal.SIGTERM) for p in self.entries + self.agents]
        await asyncio.gather(*stops)
        for process in self.entries + self.agents:
            if process.child.returncode != 0:
                self.oracle.report(f"{process.name} ended with "
                                   f"{process.child.returncode} after SIGTERM")


    def check_all_workers_started(self, since):
        for i, worker in enumerate(self.workers, 1):
            if self.last_start.get(i, 0) < since:
                self.oracle.report(f"{worker.id} in zone {worker.zone} got no run "
                                   "in 8 s after the last fault and lift")

    async def check_all_served(self):
        """Without other load, every job must be completed."""
        served = [await self.submit(2, 40, [3.0]) for _ in range(20)]
        if not all(served):
            self.oracle.report(f"{served.count(False)} of {len(served)} jobs "
                               "after the last fault and lift were not served")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument("--no-cordons", dest="cordons", action="store_false",
                        help="settings without cordons, all in one zone")
    parser.add_argument("--keep", help="folder for settings and logs")
    args = parser.parse_args()
    folder = args.keep or tempfile.mkdtemp(prefix="chivelanding-soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(args, folder)
    loop = asyncio.new_event_loop()
    loop.run_until_complete(soak.run())
    print(f"seed {args.seed}:", json.dumps(soak.counts, sort_keys=True))
    for text in soak.oracle.violations:
        print(f"seed {args.seed} VIOLATION: {text}")
    if soak.oracle.violations:
        print(f"logs in {folder}", flush=True)
        os._exit(1)  # without waiting for open connections of the stand-ins
    if not args.keep:
        shutil.rmtree(folder)
    sys.stdout.flush()
    os._exit(0)


if __name__ == "__main__":
    main()
