"""Randomized soak of the real dispatch programs on loopback.

usage: soak.py BINARY SEED SECONDS [--entries N] [--agents N] [--keep DIR]

Runs entries and agents as processes against stand-ins of the platform, injects
faults from outside them, and checks from what callers and workers see that no
task runs twice at a time, that a completed job is whole, that a job that was
refused has not run, and that jobs are served again after the faults. Exits 1
with the violations and the seed.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile

from http11 import call, serve
from standins import Oracle, Proxy, Store, Worker, now

PEER_PORT = 17720
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

    def __init__(self, binary, role, name, settings, folder):
        self.binary, self.role, self.name = binary, role, name
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
        self.oracle = Oracle()
        self.counts = {}
        self.net, self.claim = claim_net(args.seed)
        self.stopping = False

    def settings(self, name, table):
        """A settings file; table is that of the role without seeds and grace."""
        net = self.net
        seeds = ", ".join(f'"127.{net}.11.{k + 1}:1"'
                          for k in range(self.args.entries))
        return f"""[process]
name = "{name}"
zone = "z1"
region = "r1"
log = "127.{net}.13.1:17001"
heartbeat_ms = 200
suspect_after_ms = 500
lost_after_ms = 2500
[leases]
{table}seeds = [{seeds}]
grace_ms = 4000
"""

    def entry_settings(self, i):
        net = self.net
        return self.settings(f"entry-{i}", f"""[dispatch_entry]
listen = "127.{net}.10.{i}:17000"
ready_listen = "127.{net}.10.{i}:17002"
peer_listen = "127.{net}.10.{i}:{PEER_PORT}"
peer_advertise = "127.{net}.11.{i}:{PEER_PORT}"
""")

    def agent_settings(self, i):
        net = self.net
        return self.settings(f"agent-{i}", f"""[dispatch_agent]
listen = "127.{net}.14.{i}:17000"
endpoint = "127.{net}.16.{i}:17000"
service = "svc"
peer_listen = "127.{net}.14.{i}:{PEER_PORT}"
""")

    async def start_all(self):
        # Proxies listen at 127.NET.13.1 for the store, at 127.NET.16.N for worker N
        # and at 127.NET.11.N for the peer listener of entry N.
        net = self.net
        self.store = Store(self.rng)
        self.version = 1
        self.publish_config()
        await serve(f"127.{net}.12.1", 17001, self.store.handle)
        self.proxies = [Proxy((f"127.{net}.13.1", 17001),
                              (f"127.{net}.12.1", 17001),
                              self.rng)]
        self.entries, self.agents, self.workers = [], [], []
        for i in range(1, self.args.entries + 1):
            self.proxies.append(Proxy((f"127.{net}.11.{i}", PEER_PORT),
                                      (f"127.{net}.10.{i}", PEER_PORT), self.rng))
            self.entries.append(Process(self.args.binary, "entry",
                                        f"entry-{i}", self.entry_settings(i),
                                        self.folder))
        for i in range(1, self.args.agents + 1):
            self.proxies.append(Proxy((f"127.{net}.16.{i}", 17000),
                                      (f"127.{net}.15.{i}", 17000), self.rng))
            self.agents.append(Process(self.args.binary, "agent", f"agent-{i}",
                                       self.agent_settings(i), self.folder))
            worker = Worker(f"w{i}", (f"127.{net}.15.{i}", 17000),
                            (f"127.{net}.14.{i}", 17000), self.oracle, self.rng,
                            8000)
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

    async def client(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0, 0.15))
            asyncio.ensure_future(self.submit())

    async def submit(self):
        job = f"{self.rng.getrandbits(64):016x}"
        task_count = self.rng.choice([1, 1, 2, 4, 8])
        length = self.rng.choice([40, 60, 200, 200, 900])
        body = json.dumps({"spec": f"{length} text", "bestEffort": True,
                           "steps": [{"count": task_count, "cpu": 1000,
                                      "memMb": 10, "estRuntimeMs": length}]}).encode()
        refused = True
        for _ in range(3):
            entry = self.rng.randrange(1, self.args.entries + 1)
            timeout_s = self.rng.choice([0.2, 2.0, 2.0, 2.0, 3.0])
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
                return
            await asyncio.sleep(RETRY_S)

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
                await process.stop(signal.SIGKILL if kind == "kill"
                                  else signal.SIGTERM)
                await asyncio.sleep(rng.uniform(0, 1.0))
                await process.start()
        elif kind == "pause":
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.signal(signal.SIGCONT)
        elif kind == "hup":
            process.signal(signal.SIGHUP)
        elif kind == "proxy":
            proxy = rng.choice(self.proxies)
            mode = rng.choice(["cut", "one_way", "delay", "reset", "silence"])
            if mode == "reset":
                proxy.reset()
            elif mode == "silence":
                proxy.drop_traffic()
            else:
                proxy.mode = mode
                await asyncio.sleep(duration_s)
                proxy.mode = "open"
        elif kind == "store":
            self.store.mode = rng.choice(["refusing", "silent", "losing"])
            await asyncio.sleep(duration_s)
            self.store.mode = "up"
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
            for p in self.entries + self.agents:
                p.signal(signal.SIGKILL)
            for p in self.entries + self.agents:
                async with p.lock:
                    if p.child not in killed:
                        continue  # the other series of faults has restarted it
                    await p.child.wait()
                    await p.start()

    async def inject_faults(self, until):
        """Two series of faults that overlap."""

        async def series():
            while now() < until:
                await asyncio.sleep(self.rng.uniform(0.2, 1.5))
                await self.inject_fault()

        await asyncio.gather(series(), series())

    async def run(self):
        await self.start_all()
        self.last_served = 0.0
        clients = [asyncio.ensure_future(self.client()) for _ in range(2)]
        await asyncio.sleep(2.5)
        completed_before_faults = self.counts.get("200 completed", 0)
        if completed_before_faults == 0:
            self.oracle.report("nothing is served before the first fault")
        await self.inject_faults(now() + self.args.seconds)
        for process in self.entries + self.agents:
            process.signal(signal.SIGCONT)
        faults_ended = now()
        await asyncio.sleep(8)
        if self.last_served < faults_ended:
            self.oracle.report("nothing is served 8 s after the last fault")
        self.stopping = True
        await asyncio.gather(*clients)
        await asyncio.sleep(3)
        stops = [p.stop(signal.SIGTERM) for p in self.entries + self.agents]
        await asyncio.gather(*stops)
        for process in self.entries + self.agents:
            if process.child.returncode != 0:
                self.oracle.report(f"{process.name} ended with "
                                   f"{process.child.returncode} after SIGTERM")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=4)
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
