"""The workers of one rack crash together and are back after 5 s; their tasks are
started again a few at a time, while the pool is nearly idle."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import TROUBLE, CannotRun, World, play, route

WORKERS = 9
RACK = 4
ROOM = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
# The longest task of the site's signal-survey.
TASK_S = 15.0
JOBS = 48
NEED = 1000
DOWN_S = 5.0
FINISH_S = 14.0
STILL_S = 3.0
WATCH_S = 45.0


async def scenario(folder):
    world = World(folder, ["alpha"])
    try:
        return await run(world)
    finally:
        await world.close()


def running(world):
    return {
        task.split(".")[0]
        for vm in world.vms.values()
        if vm["worker"] is not None
        for task, _ in vm["worker"].runs
    }


async def run(world):
    await world.start()
    queue = route("survey", "alpha", max_attempts=4)
    await world.configure(3, [queue])
    rack_of = {}
    for i in range(WORKERS):
        name = await world.add_machine("alpha", ROOM, ["a", f"r1-{i // RACK}"])
        rack_of[name] = i // RACK
    await world.start_nodes(2)
    await world.await_ready()
    await asyncio.sleep(3)

    starts = {}
    done = set()
    note = world.note

    def watch(kind, worker, **fields):
        note(kind, worker, **fields)
        if kind == "end" and fields["how"] == "done":
            done.add(fields["task"].split(".")[0])

    world.note = watch
    step = {"count": 1, "cpu": NEED, "mem_mb": 1024, "estimate_ms": 15000}
    plan = lambda step, task, run: (TASK_S, "done")
    jobs = [await world.submit(queue, [step], plan) for _ in range(JOBS)]
    await world.until("all jobs at work", lambda: len(running(world)) == JOBS, 10)
    await asyncio.sleep(1)
    # The traffic has ended; the rack that runs the most crashes.
    loads = {}
    for name, vm in world.vms.items():
        loads[rack_of[name]] = loads.get(rack_of[name], 0) + len(vm["worker"].runs)
    rack = max(loads, key=loads.get)
    if TROUBLE:
        for name in [n for n in world.vms if rack_of[n] == rack]:
            await world.end_worker(name, "down")
            world.later(DOWN_S, lambda name=name: world.boot(name))
    ended = time.monotonic()
    idle_since = {}
    broken = {}
    while time.monotonic() < ended + WATCH_S and len(done) < JOBS:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        at_work = running(world)
        up = [vm["worker"] for vm in world.vms.values() if vm["worker"] is not None]
        used = sum(worker.used()["cpu"] for worker in up)
        room = sum(worker.room["cpu"] for worker in up)
        places = sum((w.room["cpu"] - w.used()["cpu"]) // NEED for w in up)
        calm = places >= 2 and used < room / 2 and now > ended + FINISH_S
        for job in jobs:
            if job in done or job in at_work or not calm:
                idle_since.pop(job, None)
            elif now - idle_since.setdefault(job, now) > STILL_S:
                broken.setdefault(job, (now - ended, used / room))
    world.record.add("judged", jobs=JOBS, done=len(done), idle=len(broken))
    return [
        f"LOST: job {job} has nothing running for {STILL_S:.0f} s, {at:.0f} s after the"
        f" traffic, with {share:.0%} of the room in use"
        for job, (at, share) in broken.items()
    ]


play(HERE, scenario)
