"""A job's submission arrives a second time after a change of the manifest has
moved its queue, and all daemons have restarted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import CannotRun, main, manifest, route

JOB = "00000000000000a1"
RESTART_S = 0.8


async def case(world, trouble):
    services = ["alpha", "beta", "spare"]
    before = route("r-1", "alpha", 1)
    other = route("r-2", "beta", 2)
    after = {**before, "service": "beta"}
    world.put_config(manifest(1, [before, other], services))
    for service in services:
        for _ in range(4):
            await world.add_worker(service)
    nodes = [world.add_node(f"front-{i}") for i in range(4)]
    for node in nodes:
        node.start()
    await world.all_ready()
    owned = lambda: world.owner_of("alpha") and world.owner_of("beta")
    if not await world.until(owned, 20):
        raise CannotRun("no owners")
    await asyncio.sleep(2)
    job = {
        "spec": '{"ms": 5000}',
        "steps": [{"count": 4, "cpu": 2000, "mem_mb": 64, "estimate_ms": 5000}],
    }
    await world.submit_until_accepted(nodes[0], before, JOB, job)
    if not await world.until(lambda: len(world.runs) == 4, 5):
        raise CannotRun("the job doesn't start")

    world.put_config(manifest(2, [after, other], services))
    if trouble:
        for node in nodes:
            node.kill()
        await asyncio.sleep(RESTART_S)
        for node in nodes:
            node.start()
    # The request that was answered before arrives once more.
    world.record("the job's submission arrives again")
    for i in range(40):
        status, _ = await world.submit(nodes[i % len(nodes)], after, JOB, job, 2.0)
        if status == 200:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(6)
    double = world.double_runs()
    if double:
        return f"TWICE: two runs at the same time of {double}"
    return None


main(case)
