"""Stand-ins and helpers for the scripts of this review: store, cloud interface, workers, gateway nodes, clients.

Only the standard library of Python is used, and only loopback addresses.
"""

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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "pomelolink-platform")
HOST = "shop.example"


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of an HTTP message; returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def free_port():
    """Returns a port that is free for TCP and UDP, below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(15_000, 32_000)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Store:
    """The platform's store and its cloud interface. Each gateway node has a door of its own, which can be shut."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.silent = set()
        self.calls = []
        self.started = time.monotonic()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, content, part=""):
        self.version += 1
        data = base64.b64encode(json.dumps(content).encode()).decode()
        self.rows[(table, part, key)] = (data, self.version)
        self.log.append((self.version, (table, part, key), data))
        self._notify()

    def remove(self, table, key, part=""):
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.log.append((self.version, (table, part, key), None))
        self._notify()

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    async def open(self, door):
        """Opens a door with a name; returns its address."""
        async def serve(reader, writer):
            try:
                while (head := await read_head(reader)) is not None:
                    line, headers = head
                    body = await read_body(reader, headers)
                    if door in self.silent:
                        await asyncio.sleep(3600)
                    method, target, _ = line.split(" ", 2)
                    status, value = await self.answer(door, method, target, headers, body)
                    if door in self.silent:
                        await asyncio.sleep(3600)
                    text = json.dumps(value).encode()
                    writer.write(
                        f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 22)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def answer(self, door, method, target, headers, body):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        now_ms = int((time.monotonic() - self.started) * 1000)
        if parts.path in ("/usage", "/scale"):
            content = json.loads(body)
            call = (self.record.now(), parts.path, headers.get("x-duty-holder"),
                    headers.get("x-fencing-token"), content)
            self.calls.append(call)
            self.record.line(f"cloud {parts.path} holder={call[2]} token={call[3]} {json.dumps(content)}")
            return 200, {}
        if parts.path == "/rows-get":
            first, last = query.get("from", ""), query.get("to")
            rows = [self.row(name, data, version) for name, (data, version) in sorted(self.rows.items())
                    if name[:2] == (query["table_name"], query.get("part", ""))
                    and name[2] >= first and (last is None or name[2] < last)]
            limit = int(query.get("limit", "500"))
            return 200, {"rows": rows[:limit], "has_more": len(rows) > limit,
                         "row_version": self.version, "now_ms": now_ms}
        if parts.path == "/rows-feed":
            after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
            end = time.monotonic() + wait
            while True:
                rows = [self.row(name, data, version) for version, name, data in self.log
                        if version > after and name[0] == query["table_name"]]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows[:500], "row_version": self.version, "now_ms": now_ms}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if parts.path == "/rows-tx":
            call = json.loads(body)
            for row in call.get("expect", []):
                known = self.rows.get(self.name(row), ("", 0))[1]
                if known != row["row_version"]:
                    return 412, {"rows": [], "row_version": self.version, "now_ms": now_ms}
            self.version += 1
            for row in call.get("write", []):
                name = self.name(row)
                self.rows[name] = (row["data"], self.version)
                self.log.append((self.version, name, row["data"]))
            for row in call.get("remove", []):
                name = self.name(row)
                self.rows.pop(name, None)
                self.log.append((self.version, name, None))
            self._notify()
            return 200, {"row_version": self.version, "now_ms": now_ms}
        return 404, {}

    @staticmethod
    def name(row):
        return row["table_name"], row.get("part", ""), row["key"]

    @staticmethod
    def row(name, data, version):
        row = {"table_name": name[0], "part": name[1], "key": name[2], "row_version": version}
        if data is None:
            row["deleted"] = True
        else:
            row["data"] = data
        return row

    def register(self, worker, service, state="ready", sequence=1, **more):
        self.put("servers", worker.id, {
            "service": service, "address": worker.address, "zone": worker.zone, "version": "v1",
            "slots": worker.slots, "state": state, "cold_remaining_ms": 0, "sequence": sequence,
            "born": worker.born, **more})


class Node:
    """A gateway process, started like the deploy file says."""

    def __init__(self, name, zone, store, first, folder, bounds=None, duties=()):
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.first, self.duties = first, list(duties)
        self.bounds = {
            "revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "retry_ratio": 0.2,
            "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "report_window_s": 5,
            "exposure_fraction": 0.1, "exposure_tolerance": 50, **(bounds or {})}
        self.ports = [free_port() for _ in range(4)]
        self.process, self.is_first = None, first

    @property
    def callers(self):
        return self.ports[0]

    def start(self):
        listen = dict(zip(("callers", "readiness", "peers", "metrics"),
                          (f"127.0.0.1:{port}" for port in self.ports)))
        settings = {
            "node": self.name, "failure_domain": self.zone, "first_start": self.first, "listen": listen,
            "store": self.store, "cloud": self.store, "duties": self.duties, "memory_mb": 260,
            "file_descriptors": 4100, "bounds": self.bounds}
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdout=log, stderr=log, env={**environment, "POMELOLINK_CONFIG": path})
        self.first = False

    def kill(self):
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    async def ready(self):
        """Asks the node as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.poll() is not None:
                # Another process has taken one of the ports since they were chosen.
                self.ports, self.first = [free_port() for _ in range(4)], self.is_first
                self.start()
            if await self.ready():
                return True
            await asyncio.sleep(0.05)
        return False


def route(name, path, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": path, "kind": kind, "timeout_ms": 5000,
            "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 1,
            "anonymous": False, "sticky": False, "resumable": False, **more}


def config(version, routes, services, tenants):
    return {"version": version, "route_table": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def run(case, main, trouble):
    """Runs a case: `main(record, folder, trouble, nodes)` returns True if the rule held, False if it was broken."""
    here = os.path.dirname(os.path.abspath(case))
    record = Record(here)
    folder = tempfile.mkdtemp(prefix="pomelolink-review-")
    nodes = []
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            record.line("the program is not built")
        else:
            held = asyncio.run(asyncio.wait_for(main(record, folder, trouble, nodes), 110))
            code = {True: 0, False: 1}.get(held, 2)
    except Exception as error:  # The case could not run.
        record.line(f"the case could not run: {error!r}")
        code = 2
    finally:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
        record.line(f"exit {code} trouble={trouble}")
    sys.exit(code)
