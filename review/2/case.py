"""An entry freezes; meanwhile half of its callers' connections are reset, and
these callers send their jobs again elsewhere."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from fleet import FRONT, HOST, RETRY_DELAY_S, run_case  # noqa: E402
from http11 import read_message  # noqa: E402

ROUNDS = 6
FREEZE_S = 2.2
RESET_AFTER_S = 0.3  # after the begin of the freeze
CLIENTS = 20         # of the entry that freezes; every second one is reset
TASK_MS = 6000
DEADLINE_S = 14.0


class Client:
    """Sends one job to an entry, on a connection that may be reset."""

    def __init__(self, fleet, entry):
        self.fleet, self.entry = fleet, entry
        self.job, self.body = fleet.new_id(), fleet.job_body(2, TASK_MS)
        self.writer = None

    async def run(self):
        status = await self.first_try()
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(RETRY_DELAY_S)
        others = [k for k in range(len(self.fleet.entries)) if k != self.entry]
        await self.fleet.submit(self.job, self.body, DEADLINE_S,
                                self.fleet.rng.choice(others), tries=1)

    async def first_try(self):
        name = f"POST {self.job} to entry-{self.entry + 1}"
        self.fleet.record.write(name)
        reader, self.writer = await asyncio.open_connection(
            self.fleet.entry_ips[self.entry], FRONT)
        self.writer.write(
            f"POST /lohu930/{self.job} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Type: application/json\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n".encode() + self.body)
        try:
            start, _, _ = await asyncio.wait_for(read_message(reader),
                                                 DEADLINE_S)
            status = int(start.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = 0
        finally:
            self.writer.close()
        self.fleet.record.write(f"{name}: {status or 'broken connection'}")
        return status

    def reset(self):
        self.fleet.record.write(f"the connection of {self.job} is reset")
        self.writer.transport.abort()


async def play(fleet, trouble):
    for k in range(ROUNDS):
        frozen = k % len(fleet.entries)
        clients = [Client(fleet, frozen) for _ in range(CLIENTS)]
        tasks = [asyncio.ensure_future(c.run()) for c in clients]
        await asyncio.sleep(1.0)
        if trouble:
            fleet.entries[frozen].signal(signal.SIGSTOP)
            await asyncio.sleep(RESET_AFTER_S)
            for client in clients[::2]:
                client.reset()
            await asyncio.sleep(FREEZE_S - RESET_AFTER_S)
            fleet.entries[frozen].signal(signal.SIGCONT)
        await asyncio.gather(*tasks)
        await fleet.wait_ready()
    if not any(how == "done" for *_, how in fleet.runs.all):
        raise RuntimeError("nothing was run")
    return [f"TWICE: two runs of {task} at the same time for "
            f"{overlap * 1000:.0f} ms: {runs}"
            for task, overlap, runs in fleet.runs.twice]

run_case(FOLDER, play, agents=8)
