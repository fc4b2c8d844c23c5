"""A wave of upkeep: the daemon that gives its orders restarts while one table of
the store is unavailable."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import CannotRun, main, manifest, route

OUTAGE_S = 4.5
RESTART_S = 0.3


async def case(world, trouble):
    services = ["alpha", "beta", "spare"]
    routes = [route("r-alpha", "alpha", 1), route("r-beta", "beta", 2)]
    world.put_config(manifest(1, routes, services))
    for service in services:
        for _ in range(4):
            await world.add_worker(service)
    nodes = [world.add_node(f"front-{i}") for i in range(3)]
    for node in nodes:
        node.start()
    await world.all_ready()
    await asyncio.sleep(2)

    wave = [worker.machine for worker in world.workers]
    world.put_wave(1, wave, deadline_s=60, maximum=1)
    begun = lambda: {machine for _, machine in world.machines.upkeeps}
    if not await world.until(lambda: len(begun()) >= 3, 40):
        raise CannotRun("the wave doesn't begin")

    if trouble:
        giver = next(n for n in nodes if n.name == world.machines.holder)
        world.record("table op unavailable")

        def fault(method, path, query, body):
            return 503 if query.get("table") == "op" else None

        world.store.fault = fault
        giver.kill()
        await asyncio.sleep(RESTART_S)
        giver.start()

        async def mend():
            await asyncio.sleep(OUTAGE_S)
            world.store.fault = lambda *call: None
            world.record("table op available")

        world.spawn(mend())

    state = lambda: (world.store.get_json("status", "", "wave/1") or {}).get("state")
    await world.until(lambda: state() == "completed", 70)
    left = sorted(set(wave) - begun())
    world.record(f"status/wave/1 state={state()} upkeeps not begun: {left}")
    if state() == "completed" and left:
        return f"MIXED: wave 1 is completed, and {left} haven't begun their upkeep"
    return None


main(case)
