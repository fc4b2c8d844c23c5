"""Stand-ins of the users' platform for the cases 11 to 15: the store, workers,
the service of machines, the advice service and callers, and a starter of the
daemon. Everything listens on loopback addresses of its own."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "zone-a"
BOUNDS = {
    "grace_s": 6,
    "status_s": 120,
    "hold_max_ms": 10000,
    "lease_ms": 3000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
}
LIMITS = {"cpu_share": 0.5, "cores": 1, "memory_mb": 260, "link_mbps": 1000.0}
GANG_TIMEOUT_S = 3.0
SAVE_S = 2.0
RESTORE_S = 0.1
HEARTBEAT_S = 1.5
TX_S = 0.004


class CannotRun(Exception):
    """The case couldn't be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, a JSON line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        line = {"t": round(self.now(), 3), "what": kind, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Addresses:
    """Loopback addresses that nothing else uses, each with its own ports."""

    def __init__(self):
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.hosts = itertools.count(1)

    def host(self):
        return f"{self.net}.{next(self.hosts)}"


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class HttpServer:
    """Serves a handler(method, path, query, headers, body) -> (status, body)."""

    def __init__(self, handler, host):
        self.handler = handler
        self.host = host
        self.port = None
        self.server = None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target = first.split(" ")[:2]
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                data = json.loads(body) if body else {}
                reply = await self.handler(
                    method, unquote(parts.path), query, headers, data
                )
                status, answer = reply
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # A cancelled task ends its connection.
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        """Ends like a killed process: the port refuses, connections end."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own: (status, headers, body) or None."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            payload = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Content-Length": str(len(payload))}
            if payload:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + payload)
            await writer.drain()
            first, answer, data = await read_message(reader)
            return int(first.split(" ")[1]), answer, json.loads(data or b"{}")
    except (OSError, asyncio.IncompleteReadError, TimeoutError, TypeError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store, in its form of tables."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.log = []
        self.changed = asyncio.Condition()
        self.writing = asyncio.Lock()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def row(self, name, with_value=True):
        value, ver = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if with_value:
            row["value"] = value
        return row

    async def put(self, table, key, value):
        """A write of the operator or of a worker."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        async with self.changed:
            self.apply([((table, "", key), data)], [])
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.apply([], [(table, "", key)])
            self.changed.notify_all()

    def get(self, table, key):
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    def apply(self, puts, removes):
        self.ver += 1
        for name, value in puts:
            self.rows[name] = (value, self.ver)
            self.log.append((self.ver, name, False))
        for name in removes:
            if self.rows.pop(name, None) is not None:
                self.log.append((self.ver, name, True))

    async def handle(self, method, path, query, headers, body):
        if path == "/rows-tx":
            return await self.transact(body)
        if path == "/rows-get":
            return self.scan(query)
        if path == "/rows-parts":
            parts = sorted({n[1] for n in self.rows if n[0] == query["table"]})
            return 200, {"parts": parts, "truncated": False, "ver": self.ver}
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, body):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        async with self.writing:
            await asyncio.sleep(TX_S)
            conditions = body.get("expected_revision", [])
            current = lambda row: self.rows.get(name(row), (None, 0))[1]
            if any(current(row) != row["ver"] for row in conditions):
                rows = [self.row(name(r)) for r in conditions if name(r) in self.rows]
                return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            puts = [(name(row), row["value"]) for row in body.get("set_keys", [])]
            removes = [name(row) for row in body.get("remove", [])]
            if any(n[0] in ("op", "servers") for n in [p[0] for p in puts] + removes):
                return 403, {}
            async with self.changed:
                self.apply(puts, removes)
                self.changed.notify_all()
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    def scan(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        names = sorted(
            n
            for n in self.rows
            if n[0] == table
            and n[1] == part
            and n[2] >= first
            and (not last or n[2] < last)
        )
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self.row(n) for n in names[:limit]]
        reply = {"rows": rows, "truncated": len(names) > limit}
        return 200, {**reply, "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        async with self.changed:
            while True:
                latest = {}
                for ver, name, removed in self.log:
                    if ver > after and name[0] == table:
                        latest[name] = (ver, removed)
                left = until - time.monotonic()
                if latest or left <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self.changed.wait()
            rows = []
            for name, (ver, removed) in sorted(latest.items(), key=lambda e: e[1][0]):
                if removed:
                    row = {"table": name[0], "part": name[1], "key": name[2]}
                    rows.append({**row, "ver": ver, "removed": True})
                else:
                    rows.append(self.row(name))
            return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}


class Worker:
    """One lifetime of an executor."""

    def __init__(self, world, machine, pool, number, room, labels):
        self.world = world
        self.machine = machine
        self.pool = pool
        self.room = room
        self.labels = labels
        self.id = f"i-{number:04d}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.until = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.forbidden = {}
        self.changed = asyncio.Condition()
        self.alive = True
        self.first_beat_s = 0.0
        self.guards = world.guards
        self.state = "ready"
        self.seq = 0
        self.server = HttpServer(self.handle, world.addresses.host())
        self.tasks = []

    async def start(self, port=0):
        await self.server.start(port)
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.watch_lease()),
        ]
        return self

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while self.alive:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        self.seq += 1
        await self.world.store.put(
            "servers",
            self.id,
            {
                "service": self.pool,
                "address": self.server.address,
                "zone": ZONE,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": self.room,
                "labels": self.labels,
                "machine": self.machine,
                "born": self.born,
                "clock_ms": self.clock(),
                "seq": self.seq,
            },
        )

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.until:
                for key in list(self.runs):
                    await self.end(key, "lapsed")

    async def end(self, key, how):
        run = self.runs.pop(key, None)
        if run is None:
            return
        run["task"].cancel() if run["task"] is not asyncio.current_task() else None
        task, number = key
        self.forbidden[task] = max(self.forbidden.get(task, 0), number)
        saved = run["saved"]
        self.ended.append([self.next_end, task, number, how, saved])
        self.next_end += 1
        self.world.note("end", self, task=task, run=number, how=how, saved=saved)
        self.world.left_gang(key)
        async with self.changed:
            self.changed.notify_all()

    async def work(self, key):
        seconds, how = self.world.plan_of(key[0], key[1])
        if self.world.is_gang(key[0]):
            await self.world.work_in_gang(self, key, seconds, how)
            return
        if seconds is None:
            await asyncio.Event().wait()
        await asyncio.sleep(seconds)
        await self.end(key, how)

    def used(self):
        total = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for run in self.runs.values():
            for name in total:
                total[name] += run["need"].get(name, 0)
        return total

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        late = self.world.intercept(self, path, body)
        if late is not None:
            return await late
        return await self.execute(path, body)

    async def execute(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def extend(self, body):
        if "until_ms" in body:
            limit = self.clock() + BOUNDS["hold_max_ms"]
            self.until = max(self.until, min(int(body["until_ms"]), limit))

    def run_start(self, body):
        task, run = body["task"], body["run"]
        refuse = lambda why: (409, {"clock_ms": self.clock(), "reason": why})
        if (task, run) in self.runs:
            self.extend(body)
            return 200, {"clock_ms": self.clock()}
        if run <= self.forbidden.get(task, 0):
            self.extend(body)
            return refuse("old")
        if body.get("until_ms", 0) <= self.clock():
            return refuse("late")
        if not self.world.ticket_holds(self, task, body.get("ticket")):
            return refuse("ticket")
        need = self.world.need_of(task)
        used = self.used()
        fits = all(used[n] + need.get(n, 0) <= self.room[n] for n in used)
        self.extend(body)
        if self.guards and not fits:
            return refuse("room")
        key = (task, run)
        checkpoint = body.get("checkpoint", "")
        entry = {"need": need, "stopping": False, "since": time.monotonic()}
        entry.update(saved=checkpoint, given=checkpoint)
        self.runs[key] = entry
        self.world.note(
            "start",
            self,
            task=task,
            run=run,
            spec=body.get("spec"),
            checkpoint=checkpoint,
        )
        entry["task"] = asyncio.create_task(self.work(key))
        self.world.started(self, task, run)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        key = (task, run)
        self.forbidden[task] = max(self.forbidden.get(task, 0), run)
        if key in self.runs and not self.runs[key]["stopping"]:
            self.runs[key]["stopping"] = True
            self.world.note("stop", self, task=task, run=run)
            self.tasks.append(asyncio.create_task(self.finish_stop(key)))
        return 200, {"clock_ms": self.clock()}

    async def finish_stop(self, key):
        await asyncio.sleep(self.world.stop_s)
        await self.end(key, "stopped")

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        self.ended = [end for end in self.ended if end[0] > cursor]
        self.extend(body)
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        async with self.changed:
            while not self.ended and time.monotonic() < until:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(until - time.monotonic(), 0.001)):
                        await self.changed.wait()
        running = []
        for (task, run), entry in self.runs.items():
            ready = time.monotonic() - entry["since"] > 0.1
            running.append([task, run, entry["saved"], 100 if ready else 0, 0])
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    async def crash(self):
        """The process ends at once; what it ran is gone."""
        if not self.alive:
            return
        self.alive = False
        lost = [f"{task}:{run}" for task, run in self.runs]
        self.world.note("crash", self, lost=lost)
        for run in self.runs.values():
            run["task"].cancel()
        self.runs = {}
        for task in self.tasks:
            task.cancel()
        for task, run in [tuple(name.rsplit(":", 1)) for name in lost]:
            self.world.left_gang((task, int(run)))
        await self.server.stop()


class World:
    """A small deployment: the platform, its machines and their workers."""

    def __init__(self, folder, pools, spare=None, guards=True):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.addresses = Addresses()
        self.store = Store()
        self.store_server = HttpServer(self.store.handle, self.addresses.host())
        self.machine_server = HttpServer(self.machines, self.addresses.host())
        self.advice_server = HttpServer(self.advise, self.addresses.host())
        self.pools = pools
        self.spare = spare
        self.guards = guards
        self.stop_s = BOUNDS["stop_ms"] / 1000
        self.move_s = 1.5
        self.upkeep_s = 2.0
        self.vms = {}
        self.numbers = itertools.count(1)
        self.jobs = {}
        self.nodes = {}
        self.waves = {}
        self.tasks = []
        self.temp = tempfile.mkdtemp(prefix="case-")
        self.intercept = lambda worker, path, body: None
        self.started = lambda worker, task, run: None
        self.before_upkeep = lambda vm: None
        self.good_workers = None
        self.tickets = {}
        self.saves = {}

    def note(self, kind, worker, **fields):
        self.record.add(kind, worker=worker.id, machine=worker.machine, **fields)

    # --- Machines and their workers

    async def start(self):
        await self.store_server.start()
        await self.machine_server.start()
        await self.advice_server.start()

    async def add_machine(self, pool, room, labels):
        name = f"m-{len(self.vms) + 1:03d}"
        self.vms[name] = {
            "machine": name,
            "pool": pool,
            "room": room,
            "labels": labels,
            "state": "up",
            "worker": None,
            "done": {},
        }
        await self.boot(name)
        return name

    async def boot(self, name):
        vm = self.vms[name]
        vm["state"] = "up"
        worker = Worker(
            self, name, vm["pool"], next(self.numbers), vm["room"], vm["labels"]
        )
        vm["worker"] = worker
        await worker.start()
        self.note("up", worker, pool=vm["pool"])
        return worker

    async def end_worker(self, name, state):
        vm = self.vms[name]
        worker = vm["worker"]
        vm["state"] = state
        vm["worker"] = None
        if worker is not None:
            await worker.crash()
            # An entry lasts for three silent heartbeats.
            self.later(
                3 * HEARTBEAT_S, lambda: self.store.remove("servers", worker.id)
            )

    async def restart_worker(self, name, first_beat_s=0.0):
        """The worker crashes and is back at once, under its id and address."""
        vm = self.vms[name]
        old = vm["worker"]
        await old.crash()
        new = Worker(self, name, vm["pool"], 0, vm["room"], vm["labels"])
        new.id = old.id
        new.server = HttpServer(new.handle, old.server.host)
        new.first_beat_s = first_beat_s
        vm["worker"] = new
        await new.start(old.server.port)
        self.note("restart", new, born=new.born)
        return new

    def later(self, seconds, action):
        async def wait():
            await asyncio.sleep(seconds)
            await action()

        self.tasks.append(asyncio.create_task(wait()))

    async def machines(self, method, path, query, headers, body):
        if path == "/machines":
            rows = [self.machine_row(vm) for vm in self.vms.values()]
            return 200, {"machines": rows, "next_token": None}
        vm = self.vms.get(body.get("machine"))
        holder = headers.get("x-lease-holder")
        fence = headers.get("x-fencing-token")
        self.record.add(path[1:], holder=holder, fence=fence, **body)
        if vm is None:
            return 400, {}
        if path == "/machine-move":
            return await self.move(vm, body["pool"])
        if path == "/machine-upkeep":
            return await self.upkeep(vm, body["wave"])
        return 404, {}

    def machine_row(self, vm):
        row = {
            "machine": vm["machine"],
            "pool": vm["pool"],
            "state": vm["state"],
            "zone": ZONE,
            "labels": vm["labels"],
            "capacity": vm["room"],
        }
        if vm["worker"] is not None:
            row["id"] = vm["worker"].id
        return row

    async def move(self, vm, pool):
        if pool not in self.pools:
            return 400, {}
        if vm["pool"] == pool:
            return 200, {}
        if vm["state"] != "up":
            return 409, {"reason": "busy"}
        await self.end_worker(vm["machine"], "moving")
        vm["pool"] = pool
        self.later(self.move_s, lambda: self.boot(vm["machine"]))
        return 200, {}

    async def upkeep(self, vm, wave):
        if vm["machine"] not in self.waves.get(wave, []):
            return 409, {"reason": "wave"}
        if vm["done"].get(wave):
            return 200, {}
        if vm["state"] != "up":
            return 409, {"reason": "busy"}
        vm["done"][wave] = True
        self.before_upkeep(vm)
        await self.end_worker(vm["machine"], "upkeep")
        self.later(self.upkeep_s, lambda: self.boot(vm["machine"]))
        return 200, {}

    # --- Advice

    async def advise(self, method, path, query, headers, body):
        good = []
        for worker in body["workers"]:
            if self.good_workers is None or worker in self.good_workers:
                ticket = f"{random.getrandbits(32):08x}"
                self.tickets[(body["step"], worker)] = ticket
                good.append([worker, ticket])
        self.record.add("advise", step=body["step"], asked=body["workers"], good=good)
        return 200, {"good": good, "valid_ms": 3000}

    def ticket_holds(self, worker, task, ticket):
        queue = self.jobs.get(task.split(".")[0], {}).get("queue", {})
        if "advice" not in queue:
            return True
        step = task.rsplit(".", 1)[0]
        return ticket is not None and self.tickets.get((step, worker.id)) == ticket

    # --- The operator

    async def configure(self, version, routes):
        services = [
            {
                "name": pool,
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": self.guards,
                "spare": pool == self.spare,
            }
            for pool in self.pools
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        manifest = {"version": version, "routes": routes, "services": services}
        await self.store.put("op", "config", {**manifest, "limits": limits})
        self.record.add(
            "manifest", version=version, routes={r["name"]: r["service"] for r in routes}
        )

    async def order_wave(self, number, machines, deadline_s, maximum):
        self.waves[number] = machines
        order = {"wave": number, "machines": machines}
        order.update(deadline_s=deadline_s, maximum=maximum)
        await self.store.put("op", f"wave/{number}", order)
        self.record.add("wave", **order)

    # --- Jobs and callers

    def plan_of(self, task, run):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["plan"](int(step), task, run)

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        known = self.jobs[job]["steps"][int(step)]
        cpu = 0 if known.get("fills") else known.get("cpu", 0)
        return {"cpu": cpu, "mem_mb": known.get("mem_mb", 0), "gpu": 0}

    # --- Gangs

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def is_gang(self, task):
        return self.step_of(task).get("gang", False)

    def gang_of(self, key):
        """Runs of the same gang: (worker, key, entry) each."""
        prefix = key[0].rsplit(".", 1)[0] + "."
        return [
            (vm["worker"], other, entry)
            for vm in self.vms.values()
            if vm["worker"] is not None and vm["worker"].alive
            for other, entry in vm["worker"].runs.items()
            if other[0].startswith(prefix) and other[1] == key[1]
        ]

    async def work_in_gang(self, worker, key, seconds, how):
        """The members work from the moment at which all are present with the same
        checkpoint; each saves values of its own."""
        entry = worker.runs[key]
        count = self.step_of(key[0])["count"]
        began = time.monotonic()
        while True:
            members = self.gang_of(key)
            if len(members) == count and len({m[2]["given"] for m in members}) == 1:
                break
            if time.monotonic() - began > GANG_TIMEOUT_S:
                await worker.end(key, "alone")
                return
            await asyncio.sleep(0.02)
        done = self.saves.get(entry["given"], 0.0)
        if entry["given"]:
            await asyncio.sleep(RESTORE_S)
        while done < seconds:
            part = min(SAVE_S, seconds - done)
            await asyncio.sleep(part)
            done += part
            index = key[0].rsplit(".", 1)[1]
            entry["saved"] = f"{int(done * 1000):08x}{index}{random.getrandbits(24):06x}"
            self.saves[entry["saved"]] = done
        await worker.end(key, how)

    def left_gang(self, key):
        """A member has ended: the others, unless done too, end soon."""
        if not self.is_gang(key[0]):
            return
        members = self.gang_of(key)

        async def end_others():
            for worker, other, _ in members:
                await worker.end(other, "broken")

        # Members that are done end by themselves.
        self.later(0.3, end_others)

    async def request(self, node, method, queue, job="", body=None):
        headers = {"Host": queue["host"], "X-Deadline-Ms": "3000"}
        target = queue["path_prefix"] + job
        reply = await call(node.front, method, target, body, headers)
        status = None if reply is None else reply[0]
        answer = None if reply is None else reply[2]
        self.record.add(
            "call", node=node.name, call=f"{method} {target}", status=status, answer=answer
        )
        return status, answer

    async def submit(self, queue, steps, plan, patience_s=10.0, **more):
        """Hands a job in until it is accepted; its id."""
        job = f"{random.getrandbits(64):016x}"
        self.jobs[job] = {"queue": queue, "steps": steps, "plan": plan}
        body = {"spec": f"work of {job}", "steps": steps, **more}
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            for node in self.live_nodes():
                status, _ = await self.request(node, "POST", queue, job, body)
                if status is not None and 200 <= status < 300:
                    return job
            await asyncio.sleep(0.3)
        raise CannotRun("no node accepted the job")

    async def cancel(self, job):
        queue = self.jobs[job]["queue"]
        status, _ = await self.request(self.live_nodes()[0], "DELETE", queue, job)
        if status != 200:
            raise CannotRun("the cancel wasn't acknowledged")

    async def state(self, job, patience_s=5.0):
        queue = self.jobs[job]["queue"]
        until = time.monotonic() + patience_s
        status, answer = None, None
        while time.monotonic() < until:
            for node in self.live_nodes():
                status, answer = await self.request(node, "GET", queue, job)
                if status in (200, 410):
                    return status, (answer or {}).get("state")
            await asyncio.sleep(0.2)
        return status, None

    def live_nodes(self):
        return [node for node in self.nodes.values() if node.running()]

    # --- Nodes

    async def start_nodes(self, count):
        for number in range(1, count + 1):
            node = Node(self, f"front-a-{number}")
            self.nodes[node.name] = node
            await node.start()

    async def until(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not reached in {seconds} s: {what}")

    async def await_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            replies = [await call(n.ready, "GET", "/ready") for n in self.live_nodes()]
            if replies and all(r is not None and r[0] == 200 for r in replies):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes aren't ready")

    def owner_of(self, cell):
        """Node that the owner row of a cell names, None while it has none."""
        found = self.store.rows.get(("cells", cell, "owner"))
        if found is None:
            return None
        row = base64.b64decode(found[0])
        for name, node in self.nodes.items():
            if name.encode() in row:
                return node
        return None

    async def close(self):
        for node in self.nodes.values():
            await node.close()
        for task in self.tasks:
            task.cancel()
        for vm in self.vms.values():
            if vm["worker"] is not None:
                for run in vm["worker"].runs.values():
                    run["task"].cancel()
                for task in vm["worker"].tasks:
                    task.cancel()
                await vm["worker"].server.stop()
        for server in (self.store_server, self.machine_server, self.advice_server):
            await server.stop()
        # KEEP_LOGS names a folder for the daemons' logs and settings.
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def render(template, values):
    """Fills in a settings template by the rules of the platform."""

    def find(path):
        at = values
        for name in path.split("."):
            if isinstance(at, dict):
                at = at.get(name)
            elif isinstance(at, list) and name.isdigit() and int(name) < len(at):
                at = at[int(name)]
            else:
                return None
        return at

    def section(match):
        shown = find(match[2])
        present = shown not in (None, False, "", [], {})
        return match[3] if present == (match[1] == "#") else ""

    def value(match):
        path, _, form = match[1].partition("|")
        found = find(path)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Node:
    """A machine of the system with the daemon of the deploy file."""

    def __init__(self, world, name, limits=None):
        self.world = world
        self.name = name
        self.ip = world.addresses.host()
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.peers = free_port(self.ip)
        self.limits = {**LIMITS, **(limits or {})}
        self.process = None
        self.log = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        values = {
            "node_name": self.name,
            "zone": ZONE,
            "region": "region-a",
            "ip": self.ip,
            "internal_port_range": [self.peers, self.peers + 1],
            "listen": {"front": self.front, "ready": self.ready},
            "platform": {"address": self.world.store_server.address},
            "cloud_api": {"address": self.world.machine_server.address},
            "advice": self.world.advice_server.address,
            "bounds": BOUNDS,
            "limits": self.limits,
        }
        path = Path(self.world.temp) / f"{self.name}.json"
        path.write_text(render(template, values))
        log = Path(self.world.temp) / f"{self.name}.log"
        self.log = open(log, "ab")
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env["BUCKTHORNSHUNT_BOOT"] = str(path)
        words = shlex.split(role["run"])
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} isn't built")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        self.world.record.add("node start", node=self.name, pid=self.process.pid)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.world.record.add(
                "signal", node=self.name, signal=signal.Signals(number).name
            )

    async def wait(self):
        if self.process is not None:
            await self.process.wait()

    async def close(self):
        if self.running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self.log is not None:
            self.log.close()


def route(name, service, **more):
    base = {
        "name": name,
        "host": "jobs.example",
        "path_prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 20000,
        "priority": 0,
        "service": service,
        "max_attempts": 4,
        "stretch": 2.0,
    }
    return {**base, **more}


def play(folder, scenario, limit_s=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if
    the case couldn't run. scenario(folder) returns what was broken."""

    async def run():
        async with asyncio.timeout(limit_s):
            return await scenario(folder)

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError) as failure:
        print(f"can't run: {failure or 'out of time'}")
        sys.exit(2)
    for line in broken:
        print(f"broken: {line}")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
