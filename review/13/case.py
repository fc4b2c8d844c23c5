"""A worker carries out the copy of a start that got no answer only after it has
restarted under its id; the run had ended done, and its end had been noted."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import TROUBLE, CannotRun, World, play, route

WORKERS = 4
ROOM = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
TASK_S = 1.0
# After the call; the platform's calls are late by 2 to 12 s.
LATE_S = 6.0
# Before the late copy is carried out.
RESTART_S = 0.3
# The new process writes its first entry this long after its start; executors
# write about every 1.5 s.
FIRST_BEAT_S = 1.0


async def scenario(folder):
    world = World(folder, ["alpha"])
    try:
        return await run(world)
    finally:
        await world.close()


async def run(world):
    await world.start()
    queue = route("survey", "alpha", max_attempts=4)
    await world.configure(3, [queue])
    for i in range(WORKERS):
        await world.add_machine("alpha", ROOM, ["a", f"r1-{i // 4}"])
    await world.start_nodes(2)
    await world.await_ready()
    await asyncio.sleep(3)

    late = {}
    broken = []
    noted = {}

    def intercept(worker, path, body):
        of_lasting = body.get("task", "").startswith(lasting)
        if TROUBLE and path == "/run-start" and not late and not of_lasting:
            late.update(worker=worker, body=body, at=time.monotonic() + LATE_S)
            world.note("late", worker, task=body["task"], run=body["run"])
            return never()
        if path == "/hold":
            ends = {e[0]: (e[1], e[2], e[3]) for e in worker.ended}
            for number, (task, run, how) in ends.items():
                if number <= body.get("ack_cursor", 0) and how == "done":
                    noted.setdefault(task, run)
                    world.note("end noted", worker, task=task, run=run)
        return None

    async def never():
        await asyncio.sleep(60)

    def started(worker, task, number):
        if task in noted:
            broken.append(
                f"TWICE: run {number} of {task} begins on {worker.id} after run"
                f" {noted[task]} has ended done and its end was noted"
            )
            world.note("broken", worker, task=task, run=number)

    # A task that lasts, so that the worker's ends are read and noted at once.
    step = {"count": 1, "cpu": 2000, "mem_mb": 4096, "estimate_ms": 500}
    lasts = {**step, "long_running": True}
    lasting = await world.submit(queue, [lasts], lambda step, task, run: (None, "done"))
    await asyncio.sleep(1)
    world.intercept = intercept
    world.started = started
    step = {"count": 1, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 1000}
    job = await world.submit(queue, [step], lambda step, task, run: (TASK_S, "done"))
    await world.until("the end noted", lambda: noted, 10)
    # The worker runs nothing any more.
    await world.cancel(lasting)
    if TROUBLE:
        await asyncio.sleep(max(late["at"] - RESTART_S - time.monotonic(), 0))
        name = late["worker"].machine
        new = await world.restart_worker(name, FIRST_BEAT_S)
        await asyncio.sleep(RESTART_S)
        await new.execute("/run-start", late["body"])
    await asyncio.sleep(3)
    status, state = await world.state(job)
    world.record.add("judged", job=job, state=state, broken=len(broken))
    return broken


play(HERE, scenario)
