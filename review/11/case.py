"""An entry freezes while the operators change the configuration, take one zone
back and evacuate another."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from platform3 import now, run_case  # noqa: E402

EVACUATE_MS = 5000
STABLE_WINDOW_MS = 4000
FREEZE_S = 4.0
ROUTES = 1120  # of the grown configuration
GAP_S = 0.5    # between two versions
WATCH_S = 14.0  # after the second evacuation


async def load(fleet, until):
    """Jobs at all entries, one after the other, until that time."""
    number = 0
    while now() < until():
        number += 1
        entry = 1 + number % len(fleet.entries)
        if fleet.entries[entry - 1].name not in fleet.frozen:
            asyncio.ensure_future(fleet.post(entry, fleet.new_id(), "200", 4,
                                             1500))
        await asyncio.sleep(0.1)


async def case(fleet, trouble):
    fleet.frozen = set()
    end = [now() + 60]
    jobs = asyncio.ensure_future(load(fleet, lambda: end[0]))
    fleet.store.on_read = lambda request, start, records, size: (
        fleet.record.write(f"log-read from {start} of {records}: {size} bytes")
        if size > 500_000 else None)
    fleet.evacuate("z1")
    await asyncio.sleep(4.5)  # in the midst of a read that waits for a record
    if trouble:
        fleet.record.write(f"{fleet.entries[2].name} freezes")
        fleet.frozen.add(fleet.entries[2].name)
        fleet.entries[2].signal(signal.SIGSTOP)
    began = now()
    await asyncio.sleep(0.2)
    acknowledged = None
    fleet.publish()
    for step in range(6):
        await asyncio.sleep(GAP_S)
        size = fleet.publish(ROUTES)
        fleet.record.write(f"version {fleet.version}: {size} bytes")
        if step == 0:
            fleet.evacuate("z1", False)
        if step == 4:
            fleet.evacuate("z2")
            acknowledged = now()
    await asyncio.sleep(max(0, began + FREEZE_S - now()))
    if trouble:
        fleet.record.write(f"{fleet.entries[2].name} wakes")
        fleet.entries[2].signal(signal.SIGCONT)
        fleet.frozen.clear()
    end[0] = acknowledged + WATCH_S
    await jobs
    # From this time on the entry that was frozen is in touch again, too.
    bound = max(acknowledged + EVACUATE_MS / 1000,
                began + FREEZE_S + STABLE_WINDOW_MS / 1000)
    late = sorted((at, worker.name) for worker in fleet.workers
                  if worker.zone == "z2" for at, _, _ in worker.starts
                  if at > bound)
    if not any(at > bound for worker in fleet.workers
               for at, _, _ in worker.starts):
        raise RuntimeError("nothing was served at the end")
    if late:
        return (f"EVAC: {len(late)} starts in z2 later than {EVACUATE_MS} ms "
                f"after its evacuation was acknowledged, the first by "
                f"{late[0][1]} after {late[0][0] - acknowledged:.2f} s")
    return ""


run_case(HERE, case, agents=6, cpu=4000, bounds={"evacuateMs": EVACUATE_MS,
                                                 "stableWindowMs": STABLE_WINDOW_MS})
