#!/usr/bin/env python3
"""Soak of real daemons: workers restart under their old ids and are cut off,
calls to them arrive late, and the owners of the pools change. Checks that no
task runs twice."""

import argparse
import asyncio
import collections
import contextlib
import contextvars
import itertools
import json
import os
import random
import signal
import sys
import time
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "review" / "standins-2"))

import world as standins
from world import CannotRun, HttpServer, Machines, Node, Record, Worker, World
from world import manifest, route

POOLS = ("alpha", "beta")
WORKERS = 5
NODES = 4
MIN_CALM_NODES = 2
MAX_TROUBLED_WORKERS = 5
SETUP_S = 5
DRAIN_S = 25
MOVES_APART_S = 8.0
# Jobs may wait, so that few are refused.
TARGET_MS = 20_000
LATE_SHARES = (0.0, 0.1, 0.4)
LATE_S = (2.0, 12.0)
LATE_CALLS = ("/run-start", "/run-stop", "/hold")
# With --copies.
DATA_CENTRES = ("zone-a", "zone-b")
RECENT_END_S = 3.0
STORE_LOSS_S = (0.5, 0.7)
# With --refusals.
REFUSAL_S = (0.3, 0.9)

# The ports of the connection on which the present call arrived, and its node.
CONNECTION = contextvars.ContextVar("connection", default=None)


class PeerServer(HttpServer):
    """Tells handlers on which connection a call arrived."""

    async def serve(self, reader, writer):
        CONNECTION.set({"client": writer.get_extra_info("peername"), "port": self.port})
        await super().serve(reader, writer)


class SoakWorker(Worker):
    """A worker that restarts, can be cut off, and gets some calls late."""

    # None, "both" ways, "answers" only, or "store": both ways and the store.
    cut = None
    troubled = False
    # Servers of former processes whose connections a cut keeps from ending.
    stale = ()
    last_beat = 0.0
    last_end = refusing_until = 0.0

    async def start(self):
        self.highest_cursor = 0
        self.lapsed_at = self.shown_down_until = 0.0
        await super().start()

    async def crash(self):
        self.shown_down_until = float("inf")
        for task, run in self.running.items():
            entry = self.world.runs[(self.id, self.born, task, run["run"])]
            entry[1], entry[2] = time.monotonic(), "gone"
        if self.cut:
            self.http.server.close()
            self.stale = [*self.stale, self.http]
            self.http = PeerServer(self.handle, self.http.port)
        await super().crash()

    async def restart(self, down_s, lag_s):
        if self.world.machines.entries[self.machine]["state"] != "up":
            return
        await self.crash()
        await asyncio.sleep(down_s)
        await self.start()
        self.shown_down_until = time.monotonic() + lag_s

    async def set_cut(self, kind):
        self.cut = kind
        self.world.record(f"worker {self.id} cut off: {kind}")
        while not kind and self.stale:
            await self.stale.pop().stop()

    async def heartbeat(self):
        while True:
            if self.cut != "store":
                self.last_beat = time.monotonic()
                entry = json.dumps(self.entry()).encode()
                self.world.store.put("servers", "", self.id, entry)
            await asyncio.sleep(standins.HEARTBEAT_S)

    def extend(self, until):
        if self.clock() > self.lease:
            self.lapsed_at = time.monotonic()
        super().extend(until)

    async def run_task(self, task, run, spec):
        index = int(task.rpartition(".")[2])
        await super().run_task(
            task, run, {**spec, "ms": spec["ms"] + index * spec.get("apart_ms", 0)}
        )

    def end(self, task, how):
        super().end(task, how)
        self.last_end = time.monotonic()
        if self.world.sticky_cursor and self.sequence <= self.highest_cursor:
            self.world.on_noted(self, self.ended.pop())

    async def handle(self, method, path, query, fields, body):
        # Connections of a former process may outlive it behind a cut.
        if not self.up or self.cut in ("both", "store"):
            return None
        if path != "/health" and self.refuses():
            return 503, {}
        carry_out = partial(super().handle, method, path, query, fields, body)
        if path == "/run-start":
            self.world.find_caller()
        if self.is_late(path, body):
            self.world.spawn(self.handle_late(carry_out, path, body))
            return None
        answer = await carry_out()
        return None if self.cut else answer

    def refuses(self):
        if time.monotonic() >= self.refusing_until:
            return False
        return self.world.copying.random() < self.world.refusals

    def is_late(self, path, body):
        world = self.world
        if world.copies and path == "/run-start":
            call = (self.id, body["task"], body["run"])
            first = call not in world.attempted
            world.attempted.add(call)
            return first and world.copying.random() < world.copies
        return path in LATE_CALLS and world.network.random() < world.late_share

    async def handle_late(self, carry_out, path, body):
        delay = self.world.network.uniform(*LATE_S)
        CONNECTION.set({**CONNECTION.get(), "late": delay})
        born = self.born
        await asyncio.sleep(delay)
        if not self.up:
            return
        if path == "/run-start":
            noted = body["task"] in self.world.noted_tasks
            self.world.late_copies[noted, self.born != born] += 1
        await carry_out()

    async def hold(self, body):
        self.highest_cursor = max(self.highest_cursor, body.get("ack_cursor", 0))
        return await super().hold(body)


class LaggingMachines(Machines):
    """Shows restarted workers late, and turns most moves away, so that workers
    keep their ids."""

    next_move = 0.0

    async def handle(self, method, path, query, fields, body):
        if path == "/machine-move":
            if time.monotonic() < self.next_move:
                return 429, {}
            self.next_move = time.monotonic() + MOVES_APART_S
        return await super().handle(method, path, query, fields, body)

    def list(self):
        rows = super().list()
        for row in rows:
            worker = self.entries[row["machine"]]["worker"]
            if row["state"] == "up" and time.monotonic() < worker.shown_down_until:
                row["state"] = "down"
                del row["id"]
        return rows


class SoakNode(Node):
    @property
    def data_centre(self):
        return DATA_CENTRES[int(self.name[-1]) % 2 if self.world.copies else 0]

    def settings(self):
        return {**super().settings(), "data_centre": self.data_centre}


# The stand-ins make each other by these names.
standins.HttpServer = PeerServer
standins.Worker = SoakWorker
standins.Machines = LaggingMachines
standins.Node = SoakNode


class SoakWorld(World):
    def __init__(self, record, args):
        super().__init__(record)
        self.network = random.Random(f"{args.seed} network")
        self.copying = random.Random(f"{args.seed} copies")
        self.sticky_cursor = args.sticky_cursor
        # Share of starts whose first attempt is carried out late, and of calls
        # that a refusing worker turns down.
        self.copies, self.refusals = args.copies, args.refusals
        self.attempted = set()
        self.noted_tasks = set()
        # Count of late starts by whether the task's end had been noted, and
        # whether the worker had restarted.
        self.late_copies = collections.Counter()
        self.late_share = 0.0
        self.store_servers = {}
        # Kind of the cut between a node and the store, by the node's name.
        self.store_cuts = {}
        self.troubled_nodes = set()
        # By the keys of the runs: node, token and delay of the start.
        self.orders = {}
        # Counts of tasks by accepted job.
        self.accepted = {}
        self.refused = 0
        self.failure = None

    def spawn(self, coroutine):
        task = super().spawn(coroutine)
        task.add_done_callback(self.keep_failure)
        return task

    def keep_failure(self, task):
        if not task.cancelled():
            self.failure = self.failure or task.exception()

    # --- The links

    def store_address(self, node):
        server = PeerServer(partial(self.call_store, node.name))
        self.store_servers[node.name] = server
        return server.address

    async def call_store(self, name, *call):
        cut = self.store_cuts.get(name)
        if cut == "refused":
            return 503, {}
        if cut == "late" and call[1] == "/rows-tx":
            self.spawn(self.call_store_late(call))
        answer = None if cut in ("silent", "late") else await self.store.handle(*call)
        return None if self.store_cuts.get(name) else answer

    async def call_store_late(self, call):
        await asyncio.sleep(self.network.uniform(1, 8))
        await self.store.handle(*call)

    def find_caller(self):
        """Finds the node that has the other end of the call's connection."""
        connection = CONNECTION.get()
        if "node" in connection:
            return
        client, server = f":{connection['client'][1]:04X}", f":{connection['port']:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()]
        ends = [r for r in rows if r[1].endswith(client) and r[2].endswith(server)]
        socket = f"socket:[{ends[0][9]}]" if ends else None
        for node in self.nodes:
            with contextlib.suppress(OSError):
                fds = Path(f"/proc/{node.process.pid}/fd").iterdir()
                if any(fd.is_socket() and os.readlink(fd) == socket for fd in fds):
                    connection["node"] = node.name

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for worker in self.workers:
                if time.monotonic() > worker.last_beat + 3 * standins.HEARTBEAT_S:
                    self.store.drop("servers", "", worker.id)

    # --- What workers report

    def on_start(self, worker, task, run):
        super().on_start(worker, task, run)
        call = CONNECTION.get()
        key = (worker.id, worker.born, task, run)
        self.orders[key] = (call.get("node"), worker.token, call.get("late", 0.0))

    def on_noted(self, worker, end):
        ended_at = self.runs[(worker.id, worker.born, end[1], end[2])][1]
        if worker.clock() <= worker.lease and worker.lapsed_at < ended_at:
            super().on_noted(worker, end)
            if end[3] == "done":
                self.noted_tasks.add(end[1])

    # --- The rule

    def describe(self, key):
        ident, born, _, run = key
        start, end, how, _ = self.runs[key]
        node, token, late = self.orders[key]
        begin, end = (t and round(t - self.record.began, 3) for t in (start, end))
        wall = time.time() - time.monotonic() + start
        clock = time.strftime("%H:%M:%S", time.gmtime(wall)) + f".{int(wall % 1 * 1000):03}"
        noted = ", noted" if key in self.notes else ""
        return (
            f"run {run} on {ident} born={born} by {node} token={token} "
            f"late={late:.1f} s from {begin} s [{clock}] to {end} s ({how}{noted})"
        )

    def broken_rules(self):
        """A line for each pair of runs of a task that TWICE forbids."""
        lines = []
        ordered = sorted(self.runs, key=lambda key: (key[2], self.runs[key][0]))
        for one, two in itertools.combinations(ordered, 2):
            _, end, how, _ = self.runs[one]
            if one[2] != two[2]:
                continue
            if end is None or self.runs[two][0] < end:
                why = "two runs at the same time"
            elif how == "done" and one in self.notes:
                why = "a start after an end that was taken note of"
            else:
                continue
            runs = f"{self.describe(one)}; {self.describe(two)}"
            lines.append(f"TWICE: {why}: task={one[2]}: {runs}")
        return lines


async def submit_job(world, rng, queue, ident):
    """Submits a job, again while it isn't accepted, as clients do."""
    is_long = rng.random() < 1 / 3
    millis = rng.randrange(10_000, 13_000) if is_long else rng.randrange(300, 1000)
    count, spec = rng.randint(1, 4), {"ms": millis}
    step = {"count": count, "cpu": 4000, "mem_mb": 64, "estimate_ms": millis}
    if world.copies and not is_long:
        count, spec["apart_ms"] = rng.randint(6, 10), 100
        step |= {"count": count, "cpu": 2000}
    job = {"spec": json.dumps(spec), "steps": [step]}
    for _ in range(20):
        status, _ = await world.submit(rng.choice(world.nodes), queue, ident, job)
        if status == 200:
            world.accepted[ident] = count
            return
        world.refused += 1
        await asyncio.sleep(rng.uniform(0.3, 1.0))


async def submit_jobs(world, rng, queues):
    for number in itertools.count(1):
        client = random.Random(rng.random())
        queue = queues[number % len(queues)]
        world.spawn(submit_job(world, client, queue, f"{number:016x}"))
        await asyncio.sleep(rng.uniform(0.2, 0.5))


async def trouble_worker(worker, rng):
    """Restarts a worker and cuts it off soon after; now and then it crashes
    behind the cut, for the first time or once more."""
    restart = lambda: worker.restart(rng.uniform(0.1, 0.8), rng.uniform(0.0, 2.0))
    if rng.random() < 0.8:
        await restart()
        await asyncio.sleep(rng.uniform(0.5, 3.0))
    await worker.set_cut(rng.choice(("both", "answers", "store")))
    left = rng.uniform(3.0, 12.0)
    if rng.random() < 0.4:
        before = rng.uniform(0.0, left - 1.0)
        await asyncio.sleep(before)
        await restart()
        left -= before
    await asyncio.sleep(left)
    await worker.set_cut(None)
    worker.troubled = False


async def trouble_workers(world, rng, until):
    while time.monotonic() < until:
        calm = [w for w in world.workers if w.service in POOLS and not w.troubled]
        if calm and sum(w.troubled for w in world.workers) < MAX_TROUBLED_WORKERS:
            worker = rng.choice(calm)
            # At once, as other loops that are due now would choose it too.
            worker.troubled = True
            world.spawn(trouble_worker(worker, random.Random(rng.random())))
        await asyncio.sleep(rng.uniform(0.3, 1.5))


async def trouble_node(world, node, rng):
    world.troubled_nodes.add(node)
    how = rng.choice(("term", "kill", "stop", "store"))
    if how == "stop":
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        node.signal(signal.SIGCONT)
    elif how == "store":
        kind = rng.choice(("silent", "refused", "answers", "late"))
        world.record(f"node {node.name} is cut off from the store: {kind}")
        world.store_cuts[node.name] = kind
        await asyncio.sleep(rng.uniform(1.0, 8.0))
        del world.store_cuts[node.name]
        world.record(f"node {node.name} reaches the store again")
    else:
        node.signal(signal.SIGTERM if how == "term" else signal.SIGKILL)
        if not await world.until(lambda: node.process.poll() is not None, 9):
            node.kill()
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        node.start()
        await world.until(node.is_ready, 10)
    world.troubled_nodes.discard(node)


async def trouble_nodes(world, rng, until):
    while time.monotonic() < until:
        calm = [n for n in world.nodes if n not in world.troubled_nodes]
        owners = [n for n in map(world.owner_of, POOLS) if n in calm]
        if len(calm) > MIN_CALM_NODES:
            node = rng.choice(owners if owners and rng.random() < 0.7 else calm)
            world.spawn(trouble_node(world, node, random.Random(rng.random())))
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def restart_after_ends(world, rng, until):
    """Restarts workers soon after runs have ended there."""

    async def restart(worker):
        await worker.restart(rng.uniform(0.1, 0.4), rng.uniform(0.0, 2.0))
        worker.troubled = False

    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(0.4, 1.5))
        since = time.monotonic() - RECENT_END_S
        calm = [w for w in world.workers if w.last_end > since and not w.troubled]
        if calm:
            worker = rng.choice(calm)
            worker.troubled = True
            world.spawn(restart(worker))


async def lose_store(world, rng, until):
    """Breaks the connections of one data centre's nodes to the store, which has
    carried out some of the calls."""
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(1.5, 4.0))
        place = rng.choice(DATA_CENTRES)
        nodes = [n for n in world.nodes if n.data_centre == place]
        nodes = [n for n in nodes if n not in world.troubled_nodes]
        world.troubled_nodes.update(nodes)
        world.record(f"{place} loses the store")
        for node in nodes:
            world.store_cuts[node.name] = rng.choice(("answers", "silent"))
        await asyncio.sleep(rng.uniform(*STORE_LOSS_S))
        for node in nodes:
            await world.store_servers[node.name].stop()
            del world.store_cuts[node.name]
            await world.store_servers[node.name].start()
        world.troubled_nodes.difference_update(nodes)


async def refuse_calls(world, rng, until):
    while time.monotonic() < until:
        span = rng.uniform(*REFUSAL_S)
        rng.choice(world.workers).refusing_until = time.monotonic() + span
        await asyncio.sleep(rng.uniform(0.1, 0.5))


async def soak(world, seed, seconds):
    slow = {"target_latency_ms": TARGET_MS}
    queues = [route(f"r-{i}", pool, i, **slow) for i, pool in enumerate(POOLS, 1)]
    world.put_config(manifest(1, queues, [*POOLS, "spare"]))
    for pool in [*POOLS] * WORKERS + ["spare"] * 2:
        await world.add_worker(pool, cpu=16000)
    world.spawn(world.expire_entries())
    for i in range(NODES):
        node = world.add_node(f"front-{i}")
        await world.store_servers[node.name].start()
        node.start()
    await world.all_ready()
    if not await world.until(lambda: all(map(world.owner_of, POOLS)), 20):
        raise CannotRun("no owners")
    clients = world.spawn(submit_jobs(world, random.Random(f"{seed} jobs"), queues))
    await asyncio.sleep(SETUP_S)

    trouble_s = seconds - SETUP_S - DRAIN_S
    until = time.monotonic() + trouble_s
    world.spawn(trouble_workers(world, random.Random(f"{seed} workers"), until))
    world.spawn(trouble_nodes(world, random.Random(f"{seed} nodes"), until))
    if world.copies:
        ends, losses = (random.Random(f"{seed} {part}") for part in ("ends", "losses"))
        world.spawn(restart_after_ends(world, ends, until))
        world.spawn(lose_store(world, losses, until))
    if world.refusals:
        world.spawn(refuse_calls(world, random.Random(f"{seed} refusals"), until))
    shares = list(LATE_SHARES)
    random.Random(f"{seed} phases").shuffle(shares)
    for share in shares:
        world.late_share = share
        world.record(f"share of late calls: {share}")
        await asyncio.sleep(trouble_s / len(shares))
    world.late_share = 0.0
    troubled = lambda: world.troubled_nodes or any(w.troubled for w in world.workers)
    if not await world.until(lambda: not troubled(), 60):
        raise CannotRun("the disruptions don't end")
    clients.cancel()
    await asyncio.sleep(DRAIN_S)
    if world.failure:
        raise world.failure
    if not world.runs:
        raise CannotRun("no task has started")


def summary(world):
    done = {key[2] for key, run in world.runs.items() if run[2] == "done"}
    late = sum(delay > 0 for _, _, delay in world.orders.values())
    copies = world.late_copies
    return (
        f"accepted jobs={len(world.accepted)} with tasks={sum(world.accepted.values())} "
        f"done tasks={len(done)} refused calls={world.refused} "
        f"starts={len(world.runs)} late starts={late} late calls after: "
        f"noted end={copies[True, False]} restart={copies[False, True]} "
        f"both={copies[True, True]} neither={copies[False, False]}"
    )


async def run(args, record):
    world = SoakWorld(record, args)
    stop = asyncio.current_task().cancel
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop)
    await world.begin()
    try:
        async with asyncio.timeout(args.seconds + 90):
            await soak(world, args.seed, args.seconds)
        return world.broken_rules(), summary(world)
    finally:
        await world.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--daemon", default=str(ROOT / standins.DAEMON))
    parser.add_argument("--keep", help="folder for the record and the daemons' logs")
    parser.add_argument("--sticky-cursor", action="store_true")
    parser.add_argument("--copies", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--refusals", type=float, default=0.0, metavar="SHARE")
    args = parser.parse_args()
    standins.DAEMON = str(Path(args.daemon).resolve())
    if args.keep:
        Path(args.keep).mkdir(parents=True, exist_ok=True)
        os.environ["KEEP_LOGS"] = args.keep
    record = Record(Path(args.keep) / "record.txt" if args.keep else os.devnull)
    # An error of the soak itself must not look like a broken rule.
    try:
        lines, counts = asyncio.run(run(args, record))
    except (Exception, asyncio.CancelledError) as error:
        print(f"seed {args.seed}: couldn't run: {error!r}")
        sys.exit(2)
    for line in [*lines, f"seed {args.seed}: TWICE={len(lines)} {counts}"]:
        record(line)
        print(line)
    sys.exit(1 if lines else 0)


if __name__ == "__main__":
    main()
