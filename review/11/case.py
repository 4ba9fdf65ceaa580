"""Workers answer 503 for some seconds, one after the other, while a job of one
task runs there. No run ends `failed`."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from platform3 import now, run_case  # noqa: E402

TASK_MS = "2500"
DEADLINE_MS = 30500
BUSY_S = 3.0
SHIFT_S = 0.4  # from the start of a run until its worker is busy
WORKERS = 8    # one of them is an eighth
MAX_BUSY = 2   # workers that become busy, one at a time


async def case(fleet, trouble):
    job = fleet.new_id()
    post = asyncio.ensure_future(fleet.post(1, job, TASK_MS, 1, DEADLINE_MS))
    made_busy = []
    while not post.done():
        starts = fleet.starts_of(job)
        if trouble and starts and len(made_busy) < MAX_BUSY:
            at, name, _, _ = starts[-1]
            if name not in made_busy and now() >= at + SHIFT_S:
                made_busy.append(name)
                fleet.record.write(f"{name} is busy for {BUSY_S} s")
                for worker in fleet.workers:
                    if worker.name == name:
                        worker.busy_until = now() + BUSY_S
        await asyncio.sleep(0.01)
    status, body = post.result()
    failed = [row for worker in fleet.workers for row in worker.all_ended
              if row[1].startswith(job + ".") and row[3] == "failed"]
    if status == 200 and '"failed"' in body and not failed:
        return (f"LOST: the job is shown as failed after {len(made_busy)} busy "
                "workers, and no run of it has ended `failed`")
    if not trouble and (status != 200 or '"completed"' not in body):
        raise RuntimeError(f"without the disruption: {status} {body}")
    return ""


run_case(HERE, case, agents=WORKERS)
