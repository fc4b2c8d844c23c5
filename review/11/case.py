"""A worker leaves a start unanswered and carries it out 5 s later; meanwhile it
fails a part of its requests, among them the one that stops the run."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import TROUBLE, CannotRun, World, play, route

WORKERS = 4
ROOM = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
TASK_S = 25.0
LATE_S = 5.0
UNHEALTHY_S = 0.6
LABEL = "b"


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
        kind = "a" if i == 0 else LABEL
        await world.add_machine("alpha", ROOM, [kind, f"r1-{i // 4}"])
    await world.start_nodes(2)
    await world.await_ready()
    await asyncio.sleep(3)

    late = {}
    unhealthy = {}

    def intercept(worker, path, body):
        if not TROUBLE:
            return None
        now = time.monotonic()
        if path == "/run-start" and (not late or late["worker"] is worker):
            first = not late
            if first:
                late.update(worker=worker, task=body["task"], run=body["run"])
            if (late["task"], late["run"]) == (body["task"], body["run"]):
                return carry_out_late(worker, body, first)
        if path == "/run-stop" and late.get("worker") is worker:
            unhealthy.setdefault("until", now + UNHEALTHY_S)
        fails = path in ("/run-start", "/run-stop")
        if late.get("worker") is worker and fails and now < unhealthy.get("until", 0):
            world.note("turned down", worker, call=path, task=body["task"])
            return turn_down()
        return None

    async def carry_out_late(worker, body, first):
        world.note("late", worker, task=body["task"], run=body["run"])
        if first:

            async def execute():
                await worker.execute("/run-start", body)

            world.later(LATE_S, execute)
        await asyncio.sleep(60)

    async def turn_down():
        return 503, {}

    world.intercept = intercept
    broken = []

    def started(worker, task, number):
        same = [
            f"run {other} on {vm['worker'].id}"
            for vm in world.vms.values()
            if vm["worker"] is not None
            for (name, other) in vm["worker"].runs
            if name == task and (vm["worker"] is not worker or other != number)
        ]
        if same:
            broken.append(
                f"TWICE: run {number} of {task} begins on {worker.id} beside {same}"
            )
            world.note("broken", worker, task=task, run=number, beside=same)

    world.started = started
    step = {"count": 1, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 600}
    plan = lambda step, task, run: (TASK_S, "done")
    await world.submit(queue, [step], plan)
    # Another worker is now the fullest one, and gets the next run of the task.
    await world.submit(queue, [{**step, "cpu": 8000, "requires": LABEL}], plan)
    await asyncio.sleep(LATE_S + 5)
    return broken


play(HERE, scenario)
