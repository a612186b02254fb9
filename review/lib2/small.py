"""Small stand-ins for the users' platform, workers and clients, as PROTOCOL.md describes them."""

import base64
import http.client
import json
import os
import queue
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/pomelolink-platform")
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
START = time.monotonic()


def now():
    return time.monotonic() - START


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


def serve(handler):
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server.server_address[1]


class Store:
    """The platform's store. Each node has a way of its own to it, which can turn the node away."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.log = []
        self.version = 0
        self.slow_s = 0.0
        self.away = set()

    def write(self, table, key, content):
        """Writes a row as the operator or a worker; returns when it is acknowledged."""
        data = base64.b64encode(json.dumps(content).encode()).decode()
        with self.lock:
            self.version += 1
            self.put(table, key, data)
            self.lock.notify_all()
        return now()

    def put(self, table, key, data):
        row = {"table_name": table, "part": "", "key": key, "data": data, "row_version": self.version}
        self.rows[(table, key)] = row
        self.log.append(row)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.log.append({"table_name": table, "part": "", "key": key, "deleted": True, "row_version": self.version})

    def page(self, rows):
        """The first rows that fit into one answer, and whether there are more."""
        size, page = 0, []
        for row in rows:
            size += len(row.get("data", "")) + 120
            if page and (size > PAGE_BYTES or len(page) == PAGE_ROWS):
                return page, True
            page.append(row)
        return page, False

    def get(self, query):
        table, start = query["table_name"], query.get("from", "")
        with self.lock:
            rows = sorted((row for (it, key), row in self.rows.items() if it == table and key >= start),
                          key=lambda row: row["key"])
            page, has_more = self.page(rows)
            return {"rows": page, "has_more": has_more, "row_version": self.version, "now_ms": now() * 1000}

    def feed(self, query):
        table, after = query["table_name"], int(query["after"])
        end = now() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                rows = [row for row in self.log if row["table_name"] == table and row["row_version"] > after]
                if rows or now() >= end:
                    page, has_more = self.page(rows)
                    # "To continue, resume from row_version": an answer that is cut short names its last change.
                    version = page[-1]["row_version"] if has_more else self.version
                    return {"rows": page, "row_version": version, "now_ms": now() * 1000}
                self.lock.wait(max(0.0, end - now()))

    def transact(self, call):
        with self.lock:
            key = lambda row: (row["table_name"], row["key"])
            version = lambda row: self.rows.get(key(row), {}).get("row_version", 0)
            expect = call.get("expect", [])
            if any(version(row) != row["row_version"] for row in expect):
                rows = [self.rows[key(row)] for row in expect if key(row) in self.rows]
                return 412, {"rows": rows, "row_version": self.version, "now_ms": now() * 1000}
            self.version += 1
            for row in call.get("write", []):
                self.put(row["table_name"], row["key"], row["data"])
            for row in call.get("remove", []):
                self.remove(row["table_name"], row["key"])
            self.lock.notify_all()
            return 200, {"row_version": self.version, "now_ms": now() * 1000}

    def way(self, node):
        """Opens the way of a node; returns its port."""
        store = self

        class Way(Handler):
            def call(self):
                body = self.body()
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if node in store.away:
                    return self.answer(503)
                if url.path == "/rows-get":
                    status, reply = 200, store.get(query)
                elif url.path == "/rows-feed":
                    status, reply = 200, store.feed(query)
                elif url.path == "/rows-tx":
                    status, reply = store.transact(json.loads(body))
                else:
                    return self.answer(404)
                time.sleep(0.004 + store.slow_s)
                if node in store.away:
                    return self.answer(503)
                self.answer(status, json.dumps(reply).encode(), [("Content-Type", "application/json")])

            do_GET = do_POST = call

        return serve(Way)


class Cloud(Handler):
    def do_POST(self):
        self.body()
        self.answer(200)


class Worker:
    """A worker of a plain service, which runs what it gets and registers itself."""

    def __init__(self, store, ident, service, zone):
        self.ident, self.runs = ident, []
        worker = self

        class Work(Handler):
            def call(self):
                self.body()
                attempt = self.headers.get("X-Attempt-Id", "")
                expected = self.headers.get("X-Expect-Instance")
                if expected not in (None, worker.ident):
                    return self.answer(421, b"", [("X-Attempt-Id", attempt), ("X-Instance-Id", worker.ident)])
                worker.runs.append((now(), attempt, self.headers.get("X-Tenant")))
                self.answer(200, b"done", [("X-Attempt-Id", attempt), ("X-Response-Seal", "s-" + attempt)])

            do_GET = do_POST = call

        address = "127.0.0.1:%d" % serve(Work)

        def beat():
            sequence, born = 0, int(time.time() * 1000)
            while True:
                sequence += 1
                store.write("servers", ident, {
                    "service": service, "address": address, "zone": zone, "version": "v1", "slots": 6,
                    "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born})
                time.sleep(1.2)

        threading.Thread(target=beat, daemon=True).start()


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for it in held:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports


class Node:
    """A gateway process, started as the deploy file says, with settings as the template fills them in."""

    def __init__(self, folder, name, zone, store_port, cloud_port):
        self.name, self.folder = name, folder
        self.callers, self.ready, peers, metrics = free_ports(4)
        address = "127.0.0.1:%d"
        settings = {
            "node": name, "failure_domain": zone, "first_start": True,
            "listen": {"callers": address % self.callers, "readiness": address % self.ready,
                       "peers": address % peers, "metrics": address % metrics},
            "store": address % store_port, "cloud": address % cloud_port,
            "duties": ["usage_reports", "capacity"], "memory_mb": 260, "file_descriptors": 4100,
            "bounds": {"revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "retry_ratio": 0.2,
                       "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "exposure_fraction": 0.1,
                       "exposure_tolerance": 50, "report_window_s": 5},
        }
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "POMELOLINK_CONFIG": self.settings}
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Client:
    """A client that sends one request after the other on a kept connection and honours Retry-After."""

    def __init__(self, node, name, host, path, key, pause_s, record):
        self.sent, self.is_over = [], False
        arguments = (node.callers, name, host, path, key, pause_s, record)
        self.thread = threading.Thread(target=self.run, args=arguments, daemon=True)
        self.thread.start()

    def run(self, port, name, host, path, key, pause_s, record):
        connection, number = None, 0
        while not self.is_over:
            number += 1
            attempt = "%s-%d" % (name, number)
            status, wait = None, pause_s
            sent = now()
            try:
                if connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
                headers = {"Host": host, "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000", "X-Key": key}
                sent = now()
                connection.request("GET", path, headers=headers)
                response = connection.getresponse()
                response.read()
                status = response.status
                if status in (429, 503) and response.getheader("Retry-After"):
                    wait = min(1.0, float(response.getheader("Retry-After")))
                if response.getheader("Connection") == "close":
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                connection = None
            self.sent.append((sent, attempt, status))
            record.put((sent, "client %s sends %s, status %s" % (name, attempt, status)))
            time.sleep(wait)


def lines(record, path):
    """Writes the record in the order of time."""
    entries = []
    while True:
        try:
            entries.append(record.get_nowait())
        except queue.Empty:
            break
    entries.sort()
    with open(path, "w") as file:
        file.writelines("%9.3f %s\n" % entry for entry in entries)


def folder():
    return tempfile.mkdtemp(prefix="pomelolink-review-")
