"""A worker crashes that runs a member of a gang with checkpoints."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import TROUBLE, CannotRun, World, play, route

WORKERS = 6
ROOM = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
MEMBERS = 2
WORK_S = 12.0
RUN_S = 5.0
DOWN_S = 4.5
# What ends alone this long after the worker is back has no disruption near.
CALM_S = 10.0
WATCH_S = 40.0


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

    starts = []
    world.started = lambda worker, task, number: starts.append(worker)
    step = {"count": MEMBERS, "cpu": 8000, "mem_mb": 8192, "estimate_ms": 12000}
    step.update(gang=True, checkpointing=True, anti_affinity=1)
    job = await world.submit(queue, [step], lambda step, task, run: (WORK_S, "done"))
    await world.until("both members", lambda: len(starts) == MEMBERS, 10)
    calm_at = time.monotonic()
    if TROUBLE:
        await asyncio.sleep(RUN_S)
        vm = starts[0].machine
        await world.end_worker(vm, "down")
        world.later(DOWN_S, lambda: world.boot(vm))
        calm_at = time.monotonic() + DOWN_S + CALM_S

    alone = []
    note = world.note

    def watch(kind, worker, **fields):
        note(kind, worker, **fields)
        if kind == "end" and fields["how"] == "alone" and time.monotonic() > calm_at:
            alone.append((fields["task"], fields["run"]))

    world.note = watch
    end = time.monotonic() + WATCH_S
    state = None
    while time.monotonic() < end and state not in ("completed", "failed"):
        await asyncio.sleep(0.5)
        _, state = await world.state(job)
    world.record.add("judged", job=job, state=state, alone=alone)
    if state is None:
        raise CannotRun("the job's state couldn't be read")
    return [
        f"GANG: run {number} of {task} ended alone, long after the disruption; the"
        f" job is {state}"
        for task, number in alone
    ]


play(HERE, scenario)
