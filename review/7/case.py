"""All daemons restart while a worker runs more tasks than it lists ends at a
time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import CannotRun, main, manifest, route

JOB = "00000000000000d1"
TASKS = 640
RUN_MS = 1500
DOWN_S = 1.3


async def case(world, trouble):
    services = ["alpha", "spare"]
    queue = route("r-1", "alpha", 1)
    world.put_config(manifest(1, [queue], services))
    for service in services:
        for _ in range(2):
            await world.add_worker(service)
    nodes = [world.add_node(f"front-{i}") for i in range(3)]
    for node in nodes:
        node.start()
    await world.all_ready()
    await asyncio.sleep(2)
    step = {"count": TASKS, "cpu": 50, "mem_mb": 16, "estimate_ms": RUN_MS}
    job = {"spec": f'{{"ms": {RUN_MS}}}', "steps": [step]}
    await world.submit_until_accepted(nodes[0], queue, JOB, job)
    if not await world.until(lambda: len(world.runs) >= TASKS, 30):
        raise CannotRun("the job doesn't start")
    ended = lambda: sum(1 for run in world.runs.values() if run[2])
    world.record(f"{ended()} runs have ended")
    if trouble:
        for node in nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            node.start()
    await asyncio.sleep(25)
    again = world.starts_after_done()
    world.record(f"{len(world.runs)} runs of {TASKS} tasks")
    if again:
        return f"TWICE: {len(again)} starts after the task had ended done: {again[:3]}"
    return None


main(case)
