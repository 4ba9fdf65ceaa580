"""Starts the programs on loopback addresses with lowered limits, beside
stand-ins of the platform, and reads what a process holds from /proc."""
import asyncio
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
# pylint: disable=wrong-import-position
from http11 import call, serve  # noqa: E402
from soak import claim_net  # noqa: E402
from standins import Oracle, Store, Worker, now  # noqa: E402

# Limits of each process under test. The memory is in MB.
MEMORY_MB = 64
ENTRY_BODY_BYTES = 4 << 20
START_S = 20
ANSWER_S = 20


class Failure(Exception):
    """A check does not hold."""


class Process:
    """One program under test, which inherits the limit of its descriptors."""

    def __init__(self, binary, role, settings, folder, descriptors):
        self.role, self.folder = role, folder
        path = os.path.join(folder, f"{role}.toml")
        self.log_path = os.path.join(folder, f"{role}.log")
        with open(path, "w", encoding="ascii") as f:
            f.write(settings)
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(
                [binary, role, "--settings", path], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (descriptors, descriptors)))

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()

    def check_alive(self):
        if self.child.poll() is not None:
            raise Failure(f"{self.role} ended with {self.child.returncode}")

    def peak_memory_mb(self):
        self.check_alive()
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise Failure(f"{self.role} has no VmHWM")

    def descriptors(self):
        self.check_alive()
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
        self.child.wait()


class Fleet:
    """An entry, an agent, a worker and a store on loopback addresses."""

    WORKER_CPU = 8000
    WORKER_MEMORY_MB = 10000  # as the stand-in announces it

    def __init__(self, binary, roles, descriptors):
        self.binary, self.roles, self.descriptors = binary, roles, descriptors
        self.folder = tempfile.mkdtemp(prefix="chivelanding-crowd-")
        self.rng = random.Random(1)
        self.processes = {}
        self.jobs = 0
        names = ("callers", "ready", "metrics", "peers", "agent",
                 "agent_metrics", "store", "worker", "admin")
        # Ports below those that the kernel gives to clients.
        self.ports = {n: 17000 + i for i, n in enumerate(names)}
        net, self.claim = claim_net(1)
        self.host, self.agent_host = f"127.{net}.20.1", f"127.{net}.20.2"
        known = subprocess.run([binary, "settings"], capture_output=True,
                               text=True, check=True).stdout
        self.has_limits = "[limits]" in known

    def address(self, name):
        return self.host, self.ports[name]

    def settings(self, name, extra, store):
        limits = (f"[limits]\nmemory_mb = {MEMORY_MB}\n"
                  f"descriptors = {self.descriptors}\n"
                  if self.has_limits else "")
        log = f'log = "{self.host}:{self.ports["store"]}"\n' if store else ""
        return (f'[process]\nname = "{name}"\nzone = "z1"\nregion = "r1"\n'
                f"{log}heartbeat_ms = 200\nsuspect_after_ms = 500\n"
                f"lost_after_ms = 2500\n{limits}{extra}")

    def table(self, name, lines):
        values = "".join(f'{k} = "{self.host}:{self.ports[p]}"\n'
                         for k, p in lines.items())
        return f"[{name}]\n{values}"

    def spawn(self, role, settings):
        self.processes[role] = Process(self.binary, role, settings,
                                       self.folder, self.descriptors)

    async def start(self):
        if "dispatch-entry" in self.roles:
            await self.start_dispatch()
        else:
            await self.start_owner_tokens()

    async def start_dispatch(self):
        store = Store(self.rng)
        store.put("keyed.op", "config", json.dumps(
            {"version": 1, "services": [{"name": "svc"}],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
             "routes": [{"name": "r0", "host": "h", "pathPrefix": "/q0/",
                         "priority": 0, "service": "svc", "attempts": 3,
                         "stretch": 1.6, "targetLatencyMs": 60}]}).encode())
        await serve(*self.address("store"), store.handle)
        peers = self.ports["peers"]
        self.spawn("dispatch-entry", self.settings(
            "entry-1", "[leases]\n" + self.table("dispatch_entry", {
                "listen": "callers", "ready_listen": "ready",
                "metrics_listen": "metrics", "peer_listen": "peers"}), True))
        self.spawn("dispatch-agent", self.settings(
            "agent-1", "[leases]\n" + self.table("dispatch_agent", {
                "listen": "agent", "endpoint": "worker",
                "metrics_listen": "agent_metrics"}) +
            f'service = "svc"\npeer_listen = "{self.agent_host}:{peers}"\n'
            f'seeds = ["{self.host}:{peers}"]\n', True))
        self.worker = Worker("w1", self.address("worker"),
                             self.address("agent"), Oracle(), self.rng,
                             self.WORKER_CPU)
        # A task that fails by chance would say nothing about the entry.
        self.worker.rng = random.Random()
        self.worker.rng.random = lambda: 0.5
        await self.worker.start_incarnation()
        await self.check_answered(START_S)

    async def start_owner_tokens(self):
        self.spawn("entry", self.settings(
            "entry-1", self.table("entry", {
                "listen": "callers", "peer_listen": "peers",
                "admin_listen": "admin"}) +
            f"seeds = []\nmax_body_bytes = {ENTRY_BODY_BYTES}\n", False))
        await self.check_get("callers", "/healthz", START_S)

    def stop(self):
        for process in self.processes.values():
            process.stop()
        self.claim.close()

    async def submit(self, length_ms, timeout_s):
        """Submits a job of one task: the response."""
        self.jobs += 1
        step = {"count": 1, "cpu": 1000, "memMb": 10,
                "estRuntimeMs": length_ms}
        body = json.dumps({"spec": f"{length_ms} x", "bestEffort": True,
                           "steps": [step]}).encode()
        return await call(self.address("callers"), "POST",
                          f"/q0/{self.jobs:016x}", body,
                          headers=(("Host", "h"), ("X-Deadline-Ms", "5000")),
                          timeout=timeout_s)

    async def check_answered(self, within_s=ANSWER_S):
        """An ordinary job is completed, if need be after a refusal."""
        end, last = now() + within_s, None
        while now() < end:
            last = await self.submit(10, 6)
            if last and last[0] == 200 and b"completed" in last[1]:
                return
            self.check_alive()
            await asyncio.sleep(0.2)
        raise Failure(f"an ordinary job is not completed: {last}")

    async def get(self, listener, path):
        status, body = await call(self.address(listener), "GET", path) or (0, b"")
        if status != 200:
            raise Failure(f"GET {path} of {listener}: {status}")
        return body

    async def check_get(self, listener, path, within_s=ANSWER_S, status=200):
        end, last = now() + within_s, None
        while now() < end:
            last = await call(self.address(listener), "GET", path, timeout=6)
            if last and last[0] == status:
                return
            self.check_alive()
            await asyncio.sleep(0.2)
        raise Failure(f"GET {path} of {listener} is not answered: {last}")

    def check_alive(self):
        for process in self.processes.values():
            process.check_alive()

    def queued_mb(self):
        """Bytes that the kernel holds for the listeners' connections."""
        host = socket.inet_aton(self.host)[::-1].hex().upper()
        listeners = {f"{host}:{p:04X}" for p in self.ports.values()}
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as f:
            for line in list(f)[1:]:
                _, local, _, state, queues = line.split()[:5]
                if local in listeners and state != "0A":
                    total += sum(int(q, 16) for q in queues.split(":"))
        return total / (1 << 20)

    def check_bounds(self):
        """Memory and descriptors of every process are within its limits.

        The kernel's part is that of all processes and of the stand-ins.
        """
        queued = self.queued_mb()
        figures = [f"kernel {queued:.0f} MB"]
        for role, process in self.processes.items():
            memory, count = process.peak_memory_mb(), process.descriptors()
            figures.append(f"{role} {memory:.0f} MB {count} descriptors")
            if memory > MEMORY_MB:
                raise Failure(f"{role} held {memory:.0f} MB of {MEMORY_MB}")
            if memory + queued > MEMORY_MB:
                raise Failure(f"{role} held {memory:.0f} MB and the kernel "
                              f"{queued:.0f} MB of {MEMORY_MB}")
            if count > self.descriptors:
                raise Failure(f"{role} holds {count} descriptors")
        return ", ".join(figures)
