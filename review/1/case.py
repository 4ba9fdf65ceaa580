"""An entry is killed while workers leave a share of their orders unanswered."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from fleet import now, run_case  # noqa: E402

ROUNDS = 7
UNANSWERED = 0.5    # share of the orders, the dose that `kinds` names
LATE_FOR_S = 5.0    # for_s, its default there
RESTART_DELAY_S = 0.5  # as the bench restarts a killed process
JOBS, TASKS = 60, 4
TASK_MS = 4000
DEADLINE_S = 9.0
DISRUPTIONS = os.environ.get("DISRUPTIONS", "late,kill").split(",")


async def play(fleet, trouble):
    for k in range(ROUNDS):
        killed = k % len(fleet.entries)
        jobs = [fleet.new_id() for _ in range(JOBS)]
        clients = [asyncio.ensure_future(
            fleet.submit(job, fleet.job_body(TASKS, TASK_MS), DEADLINE_S,
                         killed)) for job in jobs]
        await asyncio.sleep(1.0)
        if trouble and "late" in DISRUPTIONS:
            fleet.record.write(f"applied_late x = {UNANSWERED} on all workers")
            for worker in fleet.workers:
                worker.unanswered_share = UNANSWERED
        since = now()
        if trouble and "kill" in DISRUPTIONS:
            await fleet.entries[killed].kill()
            await asyncio.sleep(RESTART_DELAY_S)
            await fleet.entries[killed].start()
        await asyncio.sleep(max(0, since + LATE_FOR_S - now()))
        for worker in fleet.workers:
            worker.unanswered_share = 0.0
        await asyncio.gather(*clients)
        await fleet.wait_ready()
        await asyncio.sleep(0.5)
    if not any(how == "done" for *_, how in fleet.runs.all):
        raise RuntimeError("nothing was run")
    return [f"TWICE: two runs of {task} at the same time for "
            f"{overlap * 1000:.0f} ms: {runs}"
            for task, overlap, runs in fleet.runs.twice]

run_case(FOLDER, play, agents=8)
