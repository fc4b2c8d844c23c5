"""Two workers crash, one after the other, while they run the same task."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import TROUBLE, CannotRun, World, play, route

WORKERS = 9
ROOM = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
TASK_S = 6.0
DOWN_S = 4.5
CRASHES = 2


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

    steps = [{"count": 1, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 6000}]
    starts = []
    world.started = lambda worker, task, run: starts.append((worker, task, run))
    job = await world.submit(queue, steps, lambda step, task, run: (TASK_S, "done"))
    for n in range(CRASHES if TROUBLE else 0):
        await world.until("a start", lambda: len(starts) > n, 20)
        await asyncio.sleep(1.5)
        vm = starts[n][0].machine
        await world.end_worker(vm, "down")
        world.later(DOWN_S, lambda vm=vm: world.boot(vm))

    end = time.monotonic() + 40
    state = None
    while time.monotonic() < end and state not in ("completed", "failed"):
        await asyncio.sleep(0.5)
        _, state = await world.state(job)
    world.record.add("judged", job=job, state=state, starts=len(starts))
    if state is None:
        raise CannotRun("the job's state couldn't be read")
    # No run of this case ends as failed, so the task has had no failed attempt.
    if state == "failed":
        return [f"LOST: job {job} is shown as failed after 0 runs that ended failed"]
    return []


play(HERE, scenario)
