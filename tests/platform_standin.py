"""A small stand-in of the users' platform for tests of real daemons: the store,
one worker, the list of VMs, and a daemon with the settings of the deploy file.
Everything listens on loopback."""

import base64
import http.server
import json
import os
import re
import resource
import socket
import socketserver
import subprocess
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
ZONE = "zone-a"
POOL = "pool-a"
HOST = "jobs.example"
PREFIX = "/queue-a/"
CAPACITY = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
LABELS = ["kind-a", "r1-1"]
HEARTBEAT_S = 1.0
MAX_FEED_WAIT_S = 1.0


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, handle):
        self.handle = handle
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """A connection that its client has closed."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def do_GET(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        parts = urlsplit(self.path)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        status, reply = self.server.handle(parts.path, query, json.loads(body or b"{}"))
        data = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_POST = do_GET


class Store:
    """The store in its form of tables."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.ver = 0
        self.changed = threading.Condition()
        self.server = Server(self.handle)

    def put(self, table, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.apply([((table, "", key), data)], [])

    def apply(self, puts, removes):
        self.ver += 1
        for name, value in puts:
            self.rows[name] = (value, self.ver)
            self.log.append((self.ver, name))
        for name in removes:
            if self.rows.pop(name, None):
                self.log.append((self.ver, name))
        self.changed.notify_all()

    def row(self, name):
        row = dict(zip(("table", "part", "key"), name))
        if name not in self.rows:
            return {**row, "removed": True}
        value, ver = self.rows[name]
        return {**row, "ver": ver, "value": value}

    def stamp(self):
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    def handle(self, path, query, body):
        with self.changed:
            if path == "/rows-tx":
                return self.commit(body)
            if path == "/rows-get":
                return self.scan(query)
            if path == "/rows-parts":
                parts = sorted({n[1] for n in self.rows if n[0] == query["table"]})
                return 200, {"parts": parts, "truncated": False, **self.stamp()}
            if path == "/rows-feed":
                return self.feed(query)
            return 404, {}

    def commit(self, body):
        def name(row):
            return (row["table"], row.get("part", ""), row["key"])
        conditions = body.get("expected_revision", [])
        if any(self.rows.get(name(c), ("", 0))[1] != c["ver"] for c in conditions):
            rows = [self.row(name(c)) for c in conditions if name(c) in self.rows]
            return 412, {"rows": rows, **self.stamp()}
        self.apply([(name(p), p["value"]) for p in body.get("set_keys", [])],
                   [name(r) for r in body.get("remove", [])])
        return 200, self.stamp()

    def scan(self, query):
        names = sorted(n for n in self.rows
                       if n[0] == query["table"] and n[1] == query.get("part", "")
                       and n[2] >= query.get("from", ""))
        rows = [self.row(n) for n in names[:500]]
        return 200, {"rows": rows, "truncated": len(names) > 500, **self.stamp()}

    def feed(self, query):
        after = int(query["after"])
        def changes():
            latest = {n: ver for ver, n in self.log if ver > after and n[0] == query["table"]}
            return sorted(latest, key=latest.get)
        wait = min(int(query.get("wait_ms", 0)) / 1000, MAX_FEED_WAIT_S)
        self.changed.wait_for(changes, wait)
        rows = []
        for name in changes():
            rows.append({"ver": max(v for v, n in self.log if n == name), **self.row(name)})
        return 200, {"rows": rows, **self.stamp()}


class Worker:
    """Ends each task as done at once, unless told to hold the tasks."""

    def __init__(self, store):
        self.store = store
        self.id = "i-0001"
        self.born = int(time.time() * 1000)
        self.token = 0
        self.holds_tasks = False
        self.running = []
        self.ended = []
        self.ends = 0
        self.changed = threading.Condition()
        self.server = Server(self.handle)
        threading.Thread(target=self.report, daemon=True).start()

    def clock_ms(self):
        return int(time.time() * 1000) - self.born + 1000

    def report(self):
        seq = 0
        while True:
            seq += 1
            self.store.put("servers", self.id, {
                "service": POOL, "address": self.server.address, "zone": ZONE,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": CAPACITY, "labels": LABELS, "machine": "m-001",
                "born": self.born, "clock_ms": self.clock_ms(), "seq": seq})
            time.sleep(HEARTBEAT_S)

    def handle(self, path, query, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
            self.token = body.get("fencing_token", 0)
            if path == "/run-start":
                self.start(body["task"], body["run"])
            elif path == "/hold":
                cursor = body.get("ack_cursor", 0)
                self.ended = [end for end in self.ended if end[0] > cursor]
                self.changed.wait_for(lambda: self.ended, body.get("wait_ms", 0) / 1000)
                return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                             "running": self.running, "ended": self.ended[:500]}
            return 200, {"clock_ms": self.clock_ms()}

    def start(self, task, run):
        if self.holds_tasks:
            self.running.append([task, run, "", 100, 0])
            return
        self.ends += 1
        self.ended.append([self.ends, task, run, "done", ""])
        self.changed.notify_all()


class Platform:
    def __init__(self):
        self.store = Store()
        self.worker = Worker(self.store)
        self.machines = Server(self.list_machines)
        route = {"name": "queue-a", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                 "timeout_ms": 3000, "target_latency_ms": 20000, "priority": 0,
                 "service": POOL, "max_attempts": 4, "stretch": 2.0}
        service = {"name": POOL, "health_path": "/health", "max_conns": 64,
                   "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("op", "config", {"version": 1, "routes": [route],
                                        "services": [service], "limits": limits})

    def list_machines(self, path, query, body):
        machine = {"machine": "m-001", "pool": POOL, "state": "up", "zone": ZONE,
                   "labels": LABELS, "capacity": CAPACITY, "id": self.worker.id}
        return 200, {"machines": [machine], "next_token": None}


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


def render(template, values):
    """Fills in the settings template of the deploy file."""

    def find(path):
        found = values
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m[2] if find(m[1]) else "", template, flags=re.S)
    template = template.replace("{{ip}}:{{internal_port_range.0}}", values["peers"])
    template = template.replace("{{ip}}:9464", values["metrics"])
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(find(m[1])), template)


class Node:
    """The daemon that the deploy file starts; more are settings of its workload."""

    def __init__(self, platform, build, directory, name="front-a-1", more=None,
                 descriptors=4100):
        self.addresses = {n: free_address() for n in ("front", "ready", "peers", "metrics")}
        values = {
            "node_name": name, "zone": ZONE, **self.addresses,
            "listen": {"front": self.addresses["front"], "ready": self.addresses["ready"]},
            "platform": {"address": platform.store.server.address},
            "cloud_api": {"address": platform.machines.address},
            "bounds": {"grace_s": 6, "status_s": 120, "hold_max_ms": 10000, "lease_ms": 3000},
            "limits": {"cpu_share": 1.0, "cores": 1, "link_mbps": 1000.0},
        }
        template = (ROOT / "deploy/settings.json.tmpl").read_text(encoding="utf-8")
        settings = json.loads(render(template, values))
        settings["log"]["level"] = "error"
        settings["workload"].update(more or {})
        path = Path(directory) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        # The sanitizer keeps freed memory; little of it, so that growth shows.
        env = {**os.environ, "BUCKTHORNSHUNT_BOOT": str(path),
               "ASAN_OPTIONS": "quarantine_size_mb=1:malloc_context_size=0"}
        self.process = subprocess.Popen(
            [os.path.join(build, "buckthornshuntd"), "--settings-from", "BUCKTHORNSHUNT_BOOT"],
            env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (descriptors, descriptors)))

    def endpoint(self, name):
        host, port = self.addresses[name].split(":")
        return host, int(port)

    def lives(self):
        return self.process.poll() is None

    def memory_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self):
        self.process.kill()
        self.process.wait()
