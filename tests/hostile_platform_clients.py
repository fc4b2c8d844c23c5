#!/usr/bin/env python3
"""Starts the daemon of the deploy file beside a stand-in of the platform, lets
clients misbehave at each of its addresses, and checks that it lives, that its
memory and its open descriptors stay within bounds, and that an ordinary job is
accepted afterwards. One case runs at a time.
usage: hostile_platform_clients.py BUILD_DIRECTORY [CASE...]
Without cases, those that KNOWN-RED.txt lists are passed over."""

import http.client
import json
import os
import random
import resource
import socket
import struct
import sys
import tempfile
import threading
import time

import platform_standin
from platform_standin import HOST, PREFIX, Node, Platform, ROOT

CROWD = 8
BYTES_EACH = 24 * 1024 * 1024
BODY_CROWD = 64
JOBS = 3000
JOB_CROWD = 8
# Part of the smallest machine's 160 MB that clients may make a daemon take.
MAX_GROWTH_KB = 64 * 1024
# Limit of the daemon's descriptors in the tests of connections, the bound on
# those that it has open, and a crowd beyond both.
DESCRIPTORS = 400
MAX_DESCRIPTORS = 380
IDLE_CROWD = 500
PATIENCE_S = 15
PIECE = 64 * 1024
HTTP_ADDRESSES = ("front", "ready", "metrics")

REQUEST_LINE = b"POST %s0123456789abcdef HTTP/1.1\r\nHost: %s\r\n" % (
    PREFIX.encode(), HOST.encode())
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
UPGRADE = (b"GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")
BINARY, PING = 0x82, 0x89


def frame(opcode, payload):
    """A frame of a client, masked by zeros."""
    if len(payload) < 126:
        head = bytes([opcode, 0x80 | len(payload)])
    elif len(payload) < 65536:
        head = bytes([opcode, 0x80 | 126]) + struct.pack(">H", len(payload))
    else:
        head = bytes([opcode, 0x80 | 127]) + struct.pack(">Q", len(payload))
    return head + bytes(4) + payload


def cbor(value):
    def head(kind, n):
        if n < 24:
            return bytes([kind << 5 | n])
        if n < 65536:
            return bytes([kind << 5 | 25]) + struct.pack(">H", n)
        return bytes([kind << 5 | 26]) + struct.pack(">I", n)
    if isinstance(value, int):
        return head(0, value)
    if isinstance(value, str):
        return head(3, len(value)) + value.encode()
    if isinstance(value, list):
        return head(4, len(value)) + b"".join(map(cbor, value))
    return head(5, len(value)) + b"".join(cbor(k) + cbor(v) for k, v in value.items())


def connect(node, name):
    s = socket.create_connection(node.endpoint(name), timeout=2)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


def send_all(sock, head, piece, total):
    """Sends until all is sent or the server has closed or stops reading."""
    try:
        sock.sendall(head)
        for _ in range(total // len(piece) if piece else 0):
            sock.sendall(piece)
    except OSError:
        pass


def crowd(node, name, head, piece, total=BYTES_EACH, count=CROWD):
    sockets = []
    for _ in range(count):
        try:
            sockets.append(connect(node, name))
        except OSError:
            break
    threads = [threading.Thread(target=send_all, args=(s, head, piece, total)) for s in sockets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sockets


def at_each(node, names, head, piece, total=BYTES_EACH // 4, count=CROWD // 2):
    return [s for name in names for s in crowd(node, name, head, piece, total, count)]


def endless_trailers_at_each_address(node):
    head = CHUNKED + b"1\r\nx\r\n0\r\n"
    return (at_each(node, HTTP_ADDRESSES, head, b"A: " + b"b" * (PIECE - 5) + b"\r\n") +
            at_each(node, HTTP_ADDRESSES, head + b"A: ", b"b" * PIECE))


def endless_headers_at_each_address(node):
    names = HTTP_ADDRESSES + ("peers",)
    return (at_each(node, names, REQUEST_LINE, b"A: " + b"b" * (PIECE - 5) + b"\r\n") +
            at_each(node, HTTP_ADDRESSES, CHUNKED + b"1;", b"a" * PIECE))


def bytes_of_another_protocol(node):
    noise = random.Random(1).randbytes(PIECE)
    return at_each(node, HTTP_ADDRESSES + ("peers",), b"", noise)


def unread_replies(node):
    sockets = []
    for name, target in (("front", PREFIX), ("ready", "/ready"), ("metrics", "/metrics")):
        request = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        sockets += crowd(node, name, b"", request * (PIECE // len(request)))
    return sockets


def unfinished_bodies_at_each_address(node):
    size = 500 * 1024
    head = REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % size
    sockets = []
    for name in HTTP_ADDRESSES:
        sockets += crowd(node, name, head, b"x" * PIECE, size - PIECE, BODY_CROWD)
    return sockets


def silent_links(node):
    return crowd(node, "peers", UPGRADE[:20], b"", 0, IDLE_CROWD)


def silent_open_links(node):
    return crowd(node, "peers", UPGRADE, b"", 0, IDLE_CROWD)


def unfinished_messages_of_links(node):
    size = 15 * 1024 * 1024
    head = UPGRADE + bytes([BINARY, 0x80 | 127]) + struct.pack(">Q", size) + bytes(4)
    return crowd(node, "peers", head, b"x" * PIECE, size - PIECE)


def pings_without_end(node):
    ping = frame(PING, b"x" * 125)
    return crowd(node, "peers", UPGRADE, ping * (PIECE // len(ping)))


def unread_replies_of_links(node):
    body = {"pool": "no-cell-" + "x" * 64, "call": {"k": "waiting", "q": "queue-a"}, "ms": 1000}
    call = frame(BINARY, cbor([7, "job", 1000, body]))
    return crowd(node, "peers", UPGRADE, call * (PIECE // len(call)), BYTES_EACH // 4)


def calls_of_invented_kinds(node):
    # Many kinds, each as long as a message may well be.
    def piece(n):
        return b"".join(frame(BINARY, cbor([1, f"{n}-{i}-" + "k" * 1000, 0, {}]))
                        for i in range(60))
    sockets = [connect(node, "peers") for _ in range(CROWD)]
    for s in sockets:
        send_all(s, UPGRADE, b"", 0)
    for n in range(100):
        for s in sockets:
            send_all(s, piece(n), b"", 0)
    return sockets


def submit(connection, job, body):
    connection.request("POST", PREFIX + job, body,
                       {"Host": HOST, "X-Deadline-Ms": "3000"})
    response = connection.getresponse()
    response.read()
    return response.status


def many_jobs(node, body):
    """Submits jobs until all were sent, most are accepted or not."""
    def send(seed):
        rng = random.Random(seed)
        connection = http.client.HTTPConnection(*node.endpoint("front"), timeout=5)
        for _ in range(JOBS // JOB_CROWD):
            try:
                submit(connection, f"{rng.getrandbits(64):016x}", body)
            except (OSError, http.client.HTTPException):
                connection.close()
    threads = [threading.Thread(target=send, args=(n,)) for n in range(JOB_CROWD)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return []


def job_of(steps, **more):
    return json.dumps({"spec": "x" * 4000, "steps": steps, **more})


def jobs_due_in_a_year(node):
    """Accepted jobs whose time is far off and that need no capacity yet."""
    step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1, "image": "i" * 30000}
    due = int(time.time() * 1000) + 365 * 86400 * 1000
    return many_jobs(node, job_of([step], repeat_count=1, start_at_ms=due, interval_ms=1000))


def results_that_nobody_fetches(node):
    step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1, "image": "i" * 30000}
    return many_jobs(node, job_of([step]))


def routes_that_never_existed(node):
    def send(seed):
        connection = http.client.HTTPConnection(*node.endpoint("front"), timeout=5)
        for n in range(400):
            name = f"/{seed}-{n}-" + "r" * 8000
            try:
                connection.request("GET", name, headers={
                    "Host": f"h{n}.{seed}.example", "Authorization": "k" * 3000 + str(n),
                    "traceparent": f"00-{n:032x}-{seed + 1:016x}-01"})
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                connection.close()
        connection.close()
    threads = [threading.Thread(target=send, args=(n,)) for n in range(CROWD)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return []


def callers_that_leave(node):
    """Each sends a whole request and closes its connection at once."""
    body = job_of([{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1, "image": "i" * 200000}])
    rng = random.Random(1)
    for _ in range(400):
        head = (f"POST {PREFIX}{rng.getrandbits(64):016x} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        try:
            s = connect(node, "front")
            send_all(s, head.encode() + body.encode(), b"", 0)
            s.close()
        except OSError:
            pass
    return []


# Cases whose daemon may open few descriptors.
FEW_DESCRIPTORS = (silent_links, silent_open_links)

CASES = [endless_trailers_at_each_address, endless_headers_at_each_address,
         bytes_of_another_protocol, unread_replies, unfinished_bodies_at_each_address,
         silent_links, silent_open_links, unfinished_messages_of_links, pings_without_end,
         unread_replies_of_links, calls_of_invented_kinds, jobs_due_in_a_year,
         results_that_nobody_fetches, routes_that_never_existed, callers_that_leave]


def accepts_a_job(node):
    """Whether an ordinary job is accepted, now or after a few attempts."""
    body = json.dumps({"spec": "x", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 100}]})
    job = f"{random.getrandbits(64):016x}"
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        connection = http.client.HTTPConnection(*node.endpoint("front"), timeout=3)
        try:
            if submit(connection, job, body) == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.25)
    return False


def faults_of(node, case):
    before = node.memory_kb()
    sockets = case(node)
    if not node.lives():
        return ["the process has ended"]
    descriptors = node.descriptors()
    answered = accepts_a_job(node)
    faults = []
    grown = node.memory_kb() - before if node.lives() else 0
    for s in sockets:
        s.close()
    if os.environ.get("HOSTILE_FIGURES"):
        print(f"  {case.__name__}: {grown} kB, {descriptors} descriptors", flush=True)
    if grown > MAX_GROWTH_KB:
        faults.append(f"its memory grew by {grown} kB, bound {MAX_GROWTH_KB}")
    if case in FEW_DESCRIPTORS and descriptors > MAX_DESCRIPTORS:
        faults.append(f"{descriptors} descriptors are open, bound {MAX_DESCRIPTORS}")
    if not answered:
        faults.append("an ordinary job isn't accepted")
    if not node.lives():
        faults.append("the process has ended")
    return faults


def run(build, case):
    few = case in FEW_DESCRIPTORS
    with tempfile.TemporaryDirectory() as directory:
        node = Node(Platform(), build, directory, more={"max_links": 64} if few else None,
                    descriptors=DESCRIPTORS if few else 4100)
        try:
            if not accepts_a_job(node):
                return ["the daemon doesn't start"]
            return faults_of(node, case)
        finally:
            node.stop()


def known_failures():
    with open(ROOT / "KNOWN-RED.txt", encoding="utf-8") as known:
        return {line.split(", ", 1)[1].strip() for line in known
                if line.startswith("hostile: ")}


def main():
    build, names = sys.argv[1], sys.argv[2:]
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    passed_over = set() if names else known_failures()
    failed = 0
    for case in CASES:
        if names and case.__name__ not in names:
            continue
        if case.__name__ in passed_over:
            print(f"known red, not run: hostile platform clients, {case.__name__}")
            continue
        faults = run(build, case)
        failed += 1 if faults else 0
        print(f"hostile platform clients, {case.__name__}: {'; '.join(faults) or 'ok'}",
              flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
