"""Stand-ins for a small deployment on loopback: the platform's store, the
machine service, workers and clients. Starts the project's daemons as separate
processes. Everything runs on the real clock."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
DAEMON = "target/buckthornshuntd"
ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
TX_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
MOVE_S = 1.5
UPKEEP_S = 2.0


PICKED_PORTS = set()


def free_port():
    """A port that no outgoing connection takes meanwhile, unlike those that the
    system picks."""
    while True:
        port = random.randrange(16_000, 32_000)
        if port in PICKED_PORTS:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        PICKED_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        # Runs by what happened to them, and when to the first.
        self.runs = {}
        self.since = 0.0

    def now(self):
        return time.monotonic() - self.began

    def write(self, at, text):
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()

    def flush_runs(self):
        for what, runs in self.runs.items():
            self.write(self.since, f"{what}: {' '.join(runs)}")
        self.runs = {}

    def __call__(self, text):
        self.flush_runs()
        self.write(self.now(), text)

    def run(self, what, task, number):
        """Records a run; those of one step within 0.1 s share a line."""
        step, _, index = task.rpartition(".")
        if self.now() > self.since + 0.1:
            self.flush_runs()
        if not self.runs:
            self.since = self.now()
        self.runs.setdefault(f"{what}, runs of {step}", []).append(
            f"{index}:{number}"
        )


async def read_message(reader):
    """Reads one HTTP/1.1 message; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return line.decode().split(), fields, body


class HttpServer:
    """Serves JSON; the handler returns (status, object), or None to leave the
    call unanswered."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.server = None
        self.tasks = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=1 << 24
        )

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, fields, body = message
                url = urllib.parse.urlsplit(start[1])
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                data = json.loads(body) if body else {}
                answer = await self.handler(start[0], url.path, query, fields, data)
                if answer is None:
                    await asyncio.sleep(3600)
                status, reply = answer
                text = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


async def http_call(address, method, path, fields=None, body=None, timeout=3.0):
    """Returns (status, object); status None if there was no answer."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            text = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\n"
            for name, value in (fields or {}).items():
                head += f"{name}: {value}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(text)}\r\n\r\n"
            writer.write(head.encode() + text)
            message = await read_message(reader)
            if message is None:
                return None, None
            start, _, reply = message
            return int(start[1]), json.loads(reply) if reply else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer:
            writer.transport.abort()


class Store:
    """The platform's store: rows with versions, conditional transactions and a
    feed. `fault(method, path, query, body)` may return a status to answer."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.feed = []
        self.version = 0
        self.changed = asyncio.Event()
        self.fault = lambda method, path, query, body: None
        self.http = HttpServer(self.handle)

    def put(self, table, part, key, value):
        self.version += 1
        self.apply({(table, part, key): value})

    def drop(self, table, part, key):
        if (table, part, key) in self.rows:
            self.version += 1
            self.apply({(table, part, key): None})

    def apply(self, changes):
        for name, value in changes.items():
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.feed.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def get_json(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(row[0]) if row else None

    def stamp(self, reply):
        return {**reply, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    @staticmethod
    def encode(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def handle(self, method, path, query, fields, body):
        status = self.fault(method, path, query, body)
        if status is not None:
            return None if status == 0 else (status, {})
        if path == "/rows-tx":
            return await self.transact(body)
        if path == "/rows-get":
            await asyncio.sleep(TX_S)
            return 200, self.scan(query)
        if path == "/rows-feed":
            return await self.follow(query)
        if path == "/rows-parts":
            parts = sorted({n[1] for n in self.rows if n[0] == query["table"]})
            return 200, self.stamp({"parts": parts})
        return 404, {}

    async def transact(self, body):
        await asyncio.sleep(TX_S)
        conditions = body.get("expected_revision", [])
        puts = body.get("set_keys", [])
        removes = body.get("remove", [])
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        if len(conditions) + len(puts) + len(removes) > MAX_ENTRIES:
            self.record(f"store 400 transaction of more than {MAX_ENTRIES} entries")
            return 400, {}
        values = {name(row): base64.b64decode(row["value"]) for row in puts}
        if sum(len(value) for value in values.values()) > MAX_TX_BYTES:
            self.record("store 400 transaction of more than 1 MB")
            return 400, {}
        for row, value in values.items():
            if len(value) > ROW_BYTES:
                self.record(f"store 400 row {row} of {len(value)} bytes")
                return 400, {}
            if row[0] in ("op", "servers"):
                return 403, {}
        parts = {name(row)[1] for row in conditions + puts + removes}
        if len(parts) > 1 and not body.get("across"):
            return 400, {}
        for row in conditions:
            found = self.rows.get(name(row))
            if (found[1] if found else 0) != row["ver"]:
                rows = [
                    self.encode(name(c), *self.rows[name(c)])
                    for c in conditions
                    if name(c) in self.rows
                ]
                return 412, self.stamp({"rows": rows})
        self.version += 1
        self.apply({**values, **{name(row): None for row in removes}})
        return 200, self.stamp({})

    def scan(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= query.get("from", "")
            and ("to" not in query or name[2] < query["to"])
        )
        rows = [self.encode(name, *self.rows[name]) for name in names[:limit]]
        return self.stamp({"rows": rows, "truncated": len(names) > limit})

    async def follow(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            await asyncio.sleep(TX_S)
            rows = [
                self.encode(name, value, version)
                for version, name, value in self.feed
                if version > after and name[0] == query["table"]
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker. A task's `spec` is JSON with `ms`, the run time of its tasks, and
    `failing_runs`, the number of the last run that ends failed, if any does."""

    def __init__(self, world, ident, machine, service, cpu, labels, guards=True):
        self.world = world
        self.id = ident
        self.machine = machine
        self.service = service
        self.capacity = {"cpu": cpu, "mem_mb": 131072, "gpu": 0}
        self.labels = labels
        self.guards = guards
        self.up = False
        self.draining = False
        # Called with the path and body of each order; may return an answer.
        self.intercept = lambda path, body: None
        self.http = HttpServer(self.handle)
        self.needs = {}

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic() - 1.0
        self.token = 0
        self.lease = 0
        self.running = {}
        self.ended = []
        self.sequence = 0
        self.closed_runs = {}
        self.seq = 0
        self.change = asyncio.Event()
        self.up = True
        self.http = HttpServer(self.handle, self.http.port)
        await self.http.start()
        self.tasks = [
            asyncio.create_task(self.heartbeat()),
            asyncio.create_task(self.watch_lease()),
        ]
        self.world.record(f"worker {self.id} starts born={self.born}")

    async def crash(self):
        """Ends the process, which tells nobody; its entry lapses after three
        silent heartbeats."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        lost = [f"{t}:{r['run']}" for t, r in self.running.items()]
        for run in self.running.values():
            run["timer"].cancel()
        self.running = {}
        await self.http.stop()
        born = self.born
        self.world.record(f"worker {self.id} ends, lost runs: {lost}")

        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if not self.up and self.born == born:
                self.world.store.drop("servers", "", self.id)

        self.world.spawn(lapse())

    def clock(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    def entry(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clock_ms": self.clock(),
            "seq": self.seq,
        }

    async def heartbeat(self):
        while True:
            self.world.store.put(
                "servers", "", self.id, json.dumps(self.entry()).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        run["timer"].cancel()
        self.sequence += 1
        self.ended.append([self.sequence, task, run["run"], how, ""])
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), run["run"])
        self.change.set()
        self.change = asyncio.Event()
        self.world.on_end(self, task, run["run"], how)

    async def run_task(self, task, run, spec):
        await asyncio.sleep(spec["ms"] / 1000)
        failed = run <= spec.get("failing_runs", 0)
        self.end(task, "failed" if failed else "done")

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    def listing(self):
        running = [
            [task, run["run"], "", 100, 1000] for task, run in self.running.items()
        ]
        return {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    async def handle(self, method, path, query, fields, body):
        if path == "/health":
            return 200, {}
        expected = fields.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        answer = self.intercept(path, body)
        if answer is not None:
            return None if answer == 0 else answer
        self.token = token
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        return 400, {"clock_ms": self.clock()}

    async def hold(self, body):
        if "until_ms" in body:
            self.extend(body["until_ms"])
        cursor = body.get("ack_cursor", 0)
        for end in self.ended:
            if end[0] <= cursor:
                self.world.on_noted(self, end)
        self.ended = [end for end in self.ended if end[0] > cursor]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.change.wait(), until - time.monotonic()
                )
            except asyncio.TimeoutError:
                pass
        return 200, self.listing()

    def run_start(self, body):
        task, number = body["task"], body["run"]
        refuse = lambda why: (409, {"clock_ms": self.clock(), "reason": why})
        present = self.running.get(task)
        if present and present["run"] == number:
            return 200, {"clock_ms": self.clock()}
        if body["until_ms"] <= self.clock():
            return refuse("late")
        self.extend(body["until_ms"])
        if present or number <= self.closed_runs.get(task, 0):
            return refuse("old")
        need = self.world.cpu_of(task)
        used = sum(self.world.cpu_of(other) for other in self.running)
        if self.guards and used + need > self.capacity["cpu"]:
            return refuse("room")
        spec = json.loads(body["spec"])
        timer = asyncio.create_task(self.run_task(task, number, spec))
        self.running[task] = {"run": number, "timer": timer}
        self.world.on_start(self, task, number)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        present = self.running.get(task)
        if present and present["run"] == number:

            async def stop():
                await asyncio.sleep(0.05)
                if self.running.get(task) is present:
                    self.end(task, "stopped")

            self.world.spawn(stop())
        return 200, {"clock_ms": self.clock()}


class Machines:
    """The machine service."""

    def __init__(self, world):
        self.world = world
        self.entries = {}
        self.upkeeps = []
        # Holder of the last upkeep that was ordered.
        self.holder = None
        self.http = HttpServer(self.handle)

    def add(self, worker):
        self.entries[worker.machine] = {"worker": worker, "state": "up"}

    async def handle(self, method, path, query, fields, body):
        if path == "/machines":
            return 200, {"machines": self.list(), "next_token": None}
        entry = self.entries.get(body.get("machine"))
        if entry is None:
            return 400, {}
        if path == "/machine-upkeep":
            done = (body["wave"], body["machine"])
            if done in self.upkeeps:
                return 200, {}
            if entry["state"] != "up" or not entry["worker"].up:
                return 409, {"reason": "busy"}
            wave = self.world.store.get_json("op", "", f"wave/{body['wave']}")
            if wave is None or body["machine"] not in wave["machines"]:
                return 409, {"reason": "wave"}
            self.upkeeps.append(done)
            self.holder = fields.get("x-lease-holder")
            self.world.record(
                f"upkeep of {body['machine']} for wave {body['wave']} by "
                f"{self.holder}"
            )
            self.world.spawn(self.away(entry, "upkeep", UPKEEP_S))
            return 200, {}
        if path == "/machine-move":
            if entry["worker"].service == body["pool"]:
                return 200, {}
            if entry["state"] != "up" or not entry["worker"].up:
                return 409, {"reason": "busy"}
            entry["worker"].service = body["pool"]
            self.world.spawn(self.away(entry, "moving", MOVE_S))
            return 200, {}
        return 404, {}

    async def away(self, entry, state, seconds):
        worker = entry["worker"]
        entry["state"] = state
        self.world.record(f"machine {worker.machine} is {state}")
        await worker.crash()
        self.world.store.drop("servers", "", worker.id)
        await asyncio.sleep(seconds)
        worker.id = self.world.new_worker_id()
        await worker.start()
        entry["state"] = "up"

    def list(self):
        rows = []
        for machine, entry in self.entries.items():
            worker = entry["worker"]
            state = entry["state"]
            if state == "up" and not worker.up:
                state = "down"
            row = {
                "machine": machine,
                "pool": worker.service,
                "state": state,
                "zone": "zone-a",
                "labels": worker.labels,
                "capacity": worker.capacity,
            }
            if state == "up":
                row["id"] = worker.id
            rows.append(row)
        return rows


class Node:
    """One daemon, with settings as the deploy file's template renders them."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.metrics = f"{HOST}:{free_port()}"
        self.peers = f"{HOST}:{free_port()}"
        self.process = None
        self.file = world.folder / f"{name}.json"
        self.file.write_text(json.dumps(self.settings()))

    def settings(self):
        return {
            "node": self.name,
            "data_centre": "zone-a",
            "callers": self.front,
            "peers": self.peers,
            "platform": self.world.store_address(self),
            "log": {"format": "text", "level": "info"},
            "workload": {
                "ready": self.ready,
                "metrics": self.metrics,
                "machines": self.world.machines.http.address,
                "grace_s": 6,
                "status_kept_s": 120,
                "longest_run_lease_ms": HOLD_MAX_MS,
                "duty_lease_ms": 3000,
                "processor_share": 0.25,
                "processor_speed": 1,
                "link_mbps": 1000.0,
            },
        }

    def start(self):
        log = open(self.world.folder / f"{self.name}.log", "ab")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["BUCKTHORNSHUNT_BOOT"] = str(self.file)
        self.process = subprocess.Popen(
            [DAEMON, "--settings-from", "BUCKTHORNSHUNT_BOOT"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.world.record(f"node {self.name} starts pid={self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record(f"node {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        status, _ = await http_call(self.ready, "GET", "/ready", timeout=1.0)
        return status == 200


class World:
    """All stand-ins and daemons of one case."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.machines = Machines(self)
        self.workers = []
        self.nodes = []
        self.specs = {}
        # (worker id, born, task, run): time of start, time and kind of its end.
        self.runs = {}
        self.notes = set()
        self.tasks = set()
        self.next_worker = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def store_address(self, node):
        return self.store.http.address

    def new_worker_id(self):
        self.next_worker += 1
        return f"i-{self.next_worker:08x}"

    async def add_worker(self, service, cpu=32000, labels=None, guards=True):
        number = len(self.workers) + 1
        worker = Worker(
            self,
            self.new_worker_id(),
            f"m-{number:05x}",
            service,
            cpu,
            labels or ["a", f"r{1 + number // 4}-1"],
            guards,
        )
        self.workers.append(worker)
        self.machines.add(worker)
        await worker.start()
        return worker

    def add_node(self, name):
        node = Node(self, name)
        self.nodes.append(node)
        return node

    async def begin(self):
        await self.store.http.start()
        await self.machines.http.start()

    async def end(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            await worker.http.stop()
        await self.store.http.stop()
        await self.machines.http.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def put_config(self, config):
        self.store.put("op", "", "config", json.dumps(config).encode())
        self.record(f"manifest version={config['version']} acknowledged")

    def put_wave(self, number, machines, deadline_s, maximum):
        wave = {
            "wave": number,
            "machines": machines,
            "deadline_s": deadline_s,
            "maximum": maximum,
        }
        self.store.put("op", "", f"wave/{number}", json.dumps(wave).encode())
        self.record(f"wave {number} acknowledged {wave}")

    def owner_of(self, cell):
        """Node named in the row of a cell's owner; only to set a case up."""
        for (_, part, key), (value, _) in self.store.rows.items():
            if part == cell and key == "owner":
                for node in self.nodes:
                    if node.name.encode() in value:
                        return node
        return None

    def double_runs(self):
        """Tasks with two runs at the same time on workers that are up."""
        found = set()
        by_task = {}
        for (ident, born, task, run), (start, end, _, worker) in self.runs.items():
            up = worker.up and worker.born == born
            if end is None and not up:
                continue
            by_task.setdefault(task, []).append((start, end or time.monotonic(), ident, run))
        for task, runs in by_task.items():
            runs.sort()
            for one, two in zip(runs, runs[1:]):
                if two[0] < one[1]:
                    found.add((task, one[2], one[3], two[2], two[3]))
        return sorted(found)

    def starts_after_done(self):
        """Starts after a run of the task has ended done, if that end is taken
        note of then or later."""
        done = {}
        for (ident, born, task, run), (_, end, how, _) in self.runs.items():
            if how == "done" and (ident, born, task, run) in self.notes:
                done[task] = min(done.get(task, end), end)
        return [
            (task, run, ident)
            for (ident, _, task, run), (start, _, _, _) in self.runs.items()
            if task in done and start > done[task]
        ]

    # --- What workers report

    def cpu_of(self, task):
        job, _, step, _ = task.split(".")
        return self.specs[job]["steps"][int(step)].get("cpu", 0)

    def on_start(self, worker, task, run):
        key = (worker.id, worker.born, task, run)
        self.runs[key] = [time.monotonic(), None, None, worker]
        self.record.run(f"started on {worker.id} ({worker.service})", task, run)

    def on_end(self, worker, task, run, how):
        entry = self.runs[(worker.id, worker.born, task, run)]
        entry[1], entry[2] = time.monotonic(), how
        self.record.run(f"ended {how} on {worker.id}", task, run)

    def on_noted(self, worker, end):
        self.notes.add((worker.id, worker.born, end[1], end[2]))

    # --- Clients

    async def call(self, node, method, path, host, body=None, timeout=3.0):
        fields = {"Host": host, "X-Deadline-Ms": str(int(timeout * 1000))}
        status, reply = await http_call(
            node.front, method, path, fields, body, timeout
        )
        text = "" if body is None else " (job)"
        self.record(f"{method} {path}{text} at {node.name} -> {status} {reply or ''}")
        return status, reply

    async def submit(self, node, route, ident, job, timeout=3.0):
        self.specs[ident] = job
        return await self.call(
            node,
            "POST",
            route["path_prefix"] + ident,
            route["host"],
            job,
            timeout,
        )

    async def submit_until_accepted(self, node, route, ident, job):
        """Submits as a client does that is told to come back later."""
        for _ in range(10):
            status, _ = await self.submit(node, route, ident, job)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {ident} isn't accepted")

    async def read(self, node, route, ident, timeout=3.0):
        return await self.call(
            node, "GET", route["path_prefix"] + ident, route["host"], None, timeout
        )

    async def until(self, condition, timeout):
        """Waits for a condition, plain or a coroutine function."""
        limit = time.monotonic() + timeout
        while time.monotonic() < limit:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        return False

    async def all_ready(self, timeout=20.0):
        for node in self.nodes:
            if not await self.until(node.is_ready, timeout):
                raise CannotRun(f"{node.name} isn't ready")


class CannotRun(Exception):
    """The case couldn't be set up."""


def route(name, service, number, **more):
    """A queue of the manifest."""
    return {
        "name": name,
        "host": "jobs.example",
        "path_prefix": f"/q{number}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 4,
        "stretch": 1.6,
        **more,
    }


def manifest(version, routes, services, guards=True):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": guards,
                "spare": name == "spare",
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def main(case, limit_s=115):
    """Runs `case(world, trouble)`, which returns what was broken, or None."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"trouble={int(trouble)}")

    async def run():
        stop = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        world = World(record)
        await world.begin()
        try:
            async with asyncio.timeout(limit_s):
                return await case(world, trouble)
        finally:
            await world.end()

    # An error of the test itself must not look like a broken rule.
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"couldn't run: {error!r}")
        sys.exit(2)
    record(f"broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
