"""A job of many tasks runs beside small ones."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import main, manifest, route

LARGE_JOB = "00000000000000b0"
LARGE_TASKS = 9000
RUN_S = 30


async def case(world, trouble):
    services = ["alpha", "spare"]
    queue = route("r-1", "alpha", 1)
    world.put_config(manifest(1, [queue], services))
    for service, count in (("alpha", 8), ("spare", 2)):
        for _ in range(count):
            await world.add_worker(service)
    nodes = [world.add_node(f"front-{i}") for i in range(3)]
    for node in nodes:
        node.start()
    await world.all_ready()
    await asyncio.sleep(2)

    def job(tasks, millis):
        step = {"count": tasks, "cpu": 100, "mem_mb": 16, "estimate_ms": millis}
        return {"spec": f'{{"ms": {millis}}}', "steps": [step]}

    accepted = []
    if trouble:
        await world.submit_until_accepted(
            nodes[0], queue, LARGE_JOB, job(LARGE_TASKS, 20)
        )
        accepted.append(LARGE_JOB)
    until = time.monotonic() + RUN_S
    number = 0
    while time.monotonic() < until:
        number += 1
        ident = f"{number:016x}"
        status, _ = await world.submit(nodes[number % 3], queue, ident, job(4, 300))
        if status == 200:
            accepted.append(ident)
        await asyncio.sleep(1)
    # finish_s after the end of the traffic, jobs are asked for.
    await asyncio.sleep(14)
    bad = []
    for ident in accepted:
        replies = [await world.read(node, queue, ident) for node in nodes]
        if not any(status == 200 for status, _ in replies):
            bad.append((ident, [status for status, _ in replies]))
    if bad:
        return f"LOST: {len(bad)} of {len(accepted)} accepted jobs aren't known: {bad[:4]}"
    return None


main(case)
