#!/usr/bin/env python3
"""Starts a daemon on loopback, lets clients misbehave, and checks that it lives,
that its memory and its open descriptors stay within bounds, and that an
ordinary request is answered afterwards. One case runs at a time.
usage: hostile_clients.py BUILD_DIRECTORY [CASE...]
Without cases, those that KNOWN-RED.txt lists are passed over."""

import http.client
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time

CROWD = 8
BYTES_EACH = 24 * 1024 * 1024
BODY_CROWD = 64
# Fewer than the server's limit of connections.
LARGE_CROWD = 1000
# The largest body that the platform's clients send.
ORDINARY_BODY = b"x" * (256 * 1024)
# Part of the smallest machine's 160 MB that clients may make a daemon take.
MAX_GROWTH_KB = 64 * 1024
# Connections above the server's limit of 1,024, and 64 that are turned away.
IDLE_CROWD = 1200
# The smallest machine's 4,100, without the 200 reserved for files.
MAX_DESCRIPTORS = 3900
ATTEMPTS = 40
PIECE = 64 * 1024

REQUEST_LINE = b"POST /v1/tickets HTTP/1.1\r\nHost: a\r\n"
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Daemon:
    def __init__(self, build, directory):
        self.port = free_port()
        settings = {
            "node": "entry-1",
            "data_centre": "a",
            "callers": f"127.0.0.1:{self.port}",
            "peers": f"127.0.0.1:{free_port()}",
            "platform": f"127.0.0.1:{free_port()}",
            "log": {"level": "error"},
        }
        path = os.path.join(directory, "settings.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        # The sanitizer keeps freed memory; little of it, so that growth shows.
        env = {**os.environ, "ASAN_OPTIONS": "quarantine_size_mb=1:malloc_context_size=0"}
        self.process = subprocess.Popen(
            [os.path.join(build, "buckthornshuntd"), "--settings", path],
            env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

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

    def answers(self, method="GET", target="/v1/status", body=None, status=200):
        """Whether an ordinary request is served, now or after a few attempts."""
        for _ in range(ATTEMPTS):
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
            try:
                connection.request(method, target, body)
                if connection.getresponse().status == status:
                    return True
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.25)
        return False

    def stop(self):
        self.process.kill()
        self.process.wait()


def send_all(sock, head, piece, total):
    """Sends until all is sent or the server has closed or stops reading."""
    sock.settimeout(5)
    try:
        sock.sendall(head)
        for _ in range(total // len(piece) if piece else 0):
            sock.sendall(piece)
    except OSError:
        pass


def crowd(daemon, head, piece, total=BYTES_EACH, count=CROWD):
    sockets = [socket.create_connection(("127.0.0.1", daemon.port)) for _ in range(count)]
    threads = [threading.Thread(target=send_all, args=(s, head, piece, total)) for s in sockets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sockets


def endless_trailer(daemon):
    return crowd(daemon, CHUNKED + b"1\r\nx\r\n0\r\n", b"A: " + b"b" * (PIECE - 5) + b"\r\n")


def endless_trailer_line(daemon):
    return crowd(daemon, CHUNKED + b"1\r\nx\r\n0\r\nA: ", b"b" * PIECE)


def endless_chunk_extension(daemon):
    return crowd(daemon, CHUNKED + b"1;", b"a" * PIECE)


def endless_header(daemon):
    return crowd(daemon, REQUEST_LINE, b"A: " + b"b" * (PIECE - 5) + b"\r\n")


def pipelined_requests(daemon):
    request = b"GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n"
    return crowd(daemon, b"", request * (PIECE // len(request)))


def unfinished_bodies(daemon):
    size = 4 * 1024 * 1024
    head = REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % size
    return crowd(daemon, head, b"x" * PIECE, size - PIECE, BODY_CROWD)


def split_chunk_headers(daemon):
    """Each packet ends within the header of the next chunk."""
    size = 4096
    piece = b"0%x\r\n" % size + b"x" * size + b"\r\n" + b"0"
    sockets = [socket.create_connection(("127.0.0.1", daemon.port)) for _ in range(BODY_CROWD)]
    for s in sockets:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for s in sockets:
        send_all(s, CHUNKED + b"0", b"", 0)
    # The first piece continues the header that the head has begun.
    threads = [threading.Thread(target=send_all, args=(s, b"", piece, 4 * 1024 * 1024 - PIECE))
               for s in sockets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sockets


def long_chunk_headers(daemon):
    return crowd(daemon, CHUNKED + b"1;", b"a" * 4096, 120 * 1024, LARGE_CROWD)


def many_small_fields(daemon):
    head = REQUEST_LINE + b"a:\r\n" * 3900 + b"Content-Length: 9\r\n\r\n"
    return crowd(daemon, head, b"x", 1, LARGE_CROWD)


def unfinished_requests(daemon):
    sockets = []
    for _ in range(IDLE_CROWD):
        s = socket.socket()
        s.settimeout(2)
        sockets.append(s)
        try:
            s.connect(("127.0.0.1", daemon.port))
            s.sendall(REQUEST_LINE)
        except OSError:
            pass
    return sockets


CASES = [endless_trailer, endless_trailer_line, endless_chunk_extension, endless_header,
         pipelined_requests, unfinished_bodies, split_chunk_headers, long_chunk_headers,
         many_small_fields, unfinished_requests]


def faults_of(daemon, case):
    before = daemon.memory_kb()
    sockets = case(daemon)
    faults = []
    if not daemon.lives():
        return ["the process has ended"]
    descriptors = daemon.descriptors()
    answered = daemon.answers()
    # Read whole, and answered that there is no such path.
    answered = answered and daemon.answers("POST", "/v1/none", ORDINARY_BODY, 404)
    grown = daemon.memory_kb() - before
    for s in sockets:
        s.close()
    if grown > MAX_GROWTH_KB:
        faults.append(f"its memory grew by {grown} kB, bound {MAX_GROWTH_KB}")
    if descriptors > MAX_DESCRIPTORS:
        faults.append(f"{descriptors} descriptors are open, bound {MAX_DESCRIPTORS}")
    if not answered:
        faults.append("an ordinary request isn't answered")
    if not daemon.lives():
        faults.append("the process has ended")
    return faults


def run(build, case):
    with tempfile.TemporaryDirectory() as directory:
        daemon = Daemon(build, directory)
        try:
            if not daemon.answers():
                return ["the daemon doesn't start"]
            return faults_of(daemon, case)
        finally:
            daemon.stop()


def known_failures():
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    with open(os.path.join(root, "KNOWN-RED.txt"), encoding="utf-8") as known:
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
            print(f"known red, not run: hostile clients, {case.__name__}")
            continue
        faults = run(build, case)
        failed += 1 if faults else 0
        print(f"hostile clients, {case.__name__}: {'; '.join(faults) or 'ok'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
