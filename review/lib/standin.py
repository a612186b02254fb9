"""Small stand-ins for the users' platform, workers and clients, on loopback, and gateway processes.

One asyncio process holds the store, the cloud interface, the workers and the clients. The gateways are separate
processes, started with the command of deploy/system.toml and settings as deploy/settings.template.json gives them.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/pomelolink-platform"
HOST = "shop.example"
KEY = "key-of-tenant-one"
# Bounds of the site mp-pomelo.
BOUNDS = {
    "revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "retry_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8, "exposure_fraction": 0.1,
    "exposure_tolerance": 50, "report_window_s": 5,
}
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case couldn't run; exit code 2."""


# HTTP/1.1 -------------------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return method, target, headers, body


def response(status, headers, body=b""):
    reason = {200: "OK", 412: "Precondition Failed", 404: "Not Found", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The platform ---------------------------------------------------------------------------------------------


class Platform:
    """The store (rows, transactions and the feed) and the cloud interface."""

    def __init__(self):
        self.rows = {}
        self.removed = []
        self.version = 0
        # Set, and replaced, with each change.
        self.changed = asyncio.Event()
        self.cloud_calls = []
        # Called with (table, key, value) after a transaction of the system was applied and acknowledged.
        self.on_write = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def _put(self, table, key, data):
        self.rows[(table, key)] = (data, self.version)

    async def put(self, table, key, value):
        self.version += 1
        self._put(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        await self._notify()
        return now()

    async def remove(self, table, key):
        self.version += 1
        if self.rows.pop((table, key), None):
            self.removed.append((table, key, self.version))
        await self._notify()

    def get(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    async def _notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, value = await self.answer(*request)
                body = json.dumps(value).encode()
                writer.write(response(status, [("Content-Type", "application/json")], body))
                await writer.drain()
                if self.on_write and status == 200 and request[1] == "/rows-tx":
                    for row in json.loads(request[3]).get("write", []):
                        self.on_write(row["table_name"], row["key"], json.loads(base64.b64decode(row["data"])))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&") if part)
        query = {name: value.replace("%2F", "/").replace("%00", "\0") for name, value in query.items()}
        if path in ("/usage", "/scale"):
            self.cloud_calls.append((now(), path, dict(headers), json.loads(body)))
            return 200, {}
        if path == "/rows-get":
            start, end, prefix = query.get("from", ""), query.get("to"), query["table_name"]
            rows = [self.row(key, *row) for key, row in sorted(self.rows.items())
                    if key[0] == prefix and key[1] >= start and (not end or key[1] < end)]
            return 200, self.page(rows, has_more=False)
        if path == "/rows-feed":
            after, until = int(query["after"]), now() + int(query.get("wait_ms", 0)) / 1000
            while True:
                table = query["table_name"]
                rows = [self.row(key, *row) for key, row in self.rows.items()
                        if key[0] == table and row[1] > after]
                rows += [{"table_name": it, "part": "", "key": key, "deleted": True, "row_version": version}
                         for it, key, version in self.removed if it == table and version > after]
                if rows or now() >= until:
                    return 200, self.page(sorted(rows, key=lambda row: row["row_version"]))
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx":
            call = json.loads(body)
            name = lambda row: (row["table_name"], row["key"])
            expected = call.get("expect", [])
            if any(self.rows.get(name(row), (0, 0))[1] != row["row_version"] for row in expected):
                found = [self.row(name(row), *self.rows[name(row)]) for row in expected if name(row) in self.rows]
                return 412, self.page(found)
            if any(name(row)[0] in ("op", "servers") for row in call.get("write", []) + call.get("remove", [])):
                return 403, {}
            self.version += 1
            for row in call.get("write", []):
                self._put(*name(row), row["data"])
            for row in call.get("remove", []):
                if self.rows.pop(name(row), None):
                    self.removed.append((*name(row), self.version))
            await self._notify()
            return 200, self.page([])
        return 404, {}

    def row(self, key, data, version):
        return {"table_name": key[0], "part": "", "key": key[1], "data": data, "row_version": version}

    def page(self, rows, **more):
        return {"rows": rows, "row_version": self.version, "now_ms": int(now() * 1000) + 1_000_000, **more}


# Workers --------------------------------------------------------------------------------------------------


class Link:
    """A network link on which the copies of streams' memory wait for each other."""

    def __init__(self):
        self.lock = asyncio.Lock()


class Worker:
    """A worker. Subclasses or attributes decide how it answers."""

    def __init__(self, platform, record, id, service, zone, version="v1", slots=64, preemptible=False):
        self.platform, self.record, self.id, self.service = platform, record, id, service
        self.zone, self.version, self.slots, self.preemptible = zone, version, slots, preemptible
        self.state, self.sequence, self.leaves_ms = "ready", 0, None
        self.runs = {}
        self.writers = set()
        self.link = Link()
        self.closed = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.born = int(time.time() * 1000)
        await self.register()
        self.beat = asyncio.ensure_future(self.beats())
        return self

    async def register(self):
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
               "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
               "born": self.born}
        if self.preemptible:
            row["preemptible"] = True
        if self.leaves_ms is not None:
            row["leaves_ms"] = self.leaves_ms
        self.sequence += 1
        await self.platform.put("servers", self.id, row)

    async def beats(self):
        while not self.closed:
            await asyncio.sleep(1.2)
            if not self.closed:
                await self.register()

    async def crash(self):
        """Ends at once: all connections are reset and new ones are refused."""
        self.closed = True
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def leave(self):
        """Ends after it was emptied."""
        await self.crash()
        await self.platform.remove("servers", self.id)

    async def serve(self, reader, writer):
        if self.closed:
            return reset(writer)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if await self.handle(request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.transport.is_closing():
                writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def is_misdirected(self, headers, writer):
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(response(421, [("X-Attempt-Id", headers.get("x-attempt-id", "")), ("X-Not-Executed", "1")]))
            return True
        return False


# Clients --------------------------------------------------------------------------------------------------


class Answer:
    """What a client saw of one attempt."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        # Whether the answer ended by its own framing.
        self.complete = False
        self.error = ""
        self.last_at = None

    def event_ids(self):
        ids = [line[3:].strip() for line in self.body.decode("latin-1").split("\n") if line.startswith("id:")]
        return [int(it) for it in ids]


async def send(address, path, id, deadline_ms, headers=(), method="POST", body=b"", gap_s=None):
    """Sends one request on a new connection; closes it when nothing comes for `gap_s`, or at the deadline."""
    answer = Answer()
    host, port = address.split(":")
    end = now() + deadline_ms / 1000
    answer.last_at = now()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError) as error:
        answer.error = f"connect: {error!r}"
        return answer
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {id}", f"X-Deadline-Ms: {deadline_ms}",
             f"X-Key: {KEY}", f"Content-Length: {len(body)}"] + [f"{name}: {value}" for name, value in headers]
    wait = lambda: max(0.001, min(end - now(), gap_s or 1e9))
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        answer.last_at = now()
        head = await asyncio.wait_for(read_head(reader), wait())
        if head is None:
            answer.error = "closed without an answer"
            return answer
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        answer.last_at = now()
        if "content-length" in answer.headers:
            answer.body = await asyncio.wait_for(reader.readexactly(int(answer.headers["content-length"])), wait())
            answer.complete = True
        elif answer.headers.get("transfer-encoding") == "chunked":
            while True:
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), wait())
                size = int(line.strip(), 16)
                chunk = await asyncio.wait_for(reader.readexactly(size + 2), wait())
                answer.last_at = now()
                if size == 0:
                    answer.complete = True
                    break
                answer.body += chunk[:-2]
        else:
            answer.error = "an answer without length"
    except asyncio.TimeoutError:
        answer.error = "the client gave up"
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.error = f"cut: {type(error).__name__}"
    finally:
        answer.left_at = now()
        writer.close()
    return answer


# Gateways -------------------------------------------------------------------------------------------------


def free_address():
    """Returns a loopback address of which no port of a gateway is in use."""
    while True:
        address = f"127.{random.randint(16, 250)}.{random.randint(0, 255)}.{random.randint(1, 254)}"
        try:
            with socket.socket() as probe:
                probe.bind((address, CALLERS))
            return address
        except OSError:
            continue


# Ports of a gateway, each on a loopback address of its own.
CALLERS, READINESS, PEERS, METRICS = 8221, 8224, 7600, 7615


class Gateway:
    def __init__(self, name, zone, platform, folder, first_start=True):
        self.name = name
        address = free_address()
        at = lambda port: f"{address}:{port}"
        self.callers, self.readiness = at(CALLERS), at(READINESS)
        self.settings = {
            "node": name, "failure_domain": zone, "first_start": first_start,
            "listen": {"callers": at(CALLERS), "readiness": at(READINESS), "peers": at(PEERS),
                       "metrics": at(METRICS)},
            "store": platform.address, "cloud": platform.address, "duties": ["usage_reports", "capacity"],
            "bounds": BOUNDS,
        }
        self.path = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POMELOLINK_CONFIG"] = str(self.path)
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=environment, stdout=self.log.open("ab"),
                                        stderr=subprocess.STDOUT)
        return self

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    async def wait_ready(self, limit=15):
        host, port = self.readiness.split(":")
        end = now() + limit
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit} s")


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


ZONES = ["milano-a", "milano-a", "milano-b", "torino-a", "torino-b"]


def main_parallel(case, folder, trouble, count):
    """Runs `case` in so many separate deployments at once; the rule was broken if it was in one of them."""
    if len(sys.argv) > 1:
        return main(case, folder, trouble, sys.argv[2])
    temporary = tempfile.mkdtemp(prefix="review-")
    paths = [f"{temporary}/{index}.txt" for index in range(count)]
    children = []
    for index, path in enumerate(paths):
        children.append(subprocess.Popen([sys.executable, "-B", sys.argv[0], str(index), path]))
    signal.signal(signal.SIGTERM, lambda *_: [child.terminate() for child in children])
    codes = [child.wait() for child in children]
    with open(pathlib.Path(folder) / "record.txt", "w") as file:
        for index, path in enumerate(paths):
            text = pathlib.Path(path).read_text() if os.path.exists(path) else ""
            file.write(f"deployment {index + 1} of {count}, exit code {codes[index]}\n{text}\n")
        file.write(f"exit codes {codes}\n")
    shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(1 if 1 in codes else 0 if 0 in codes else 2)


def main(case, folder, trouble, path=None):
    """Runs `case(platform, gateway, record, trouble)`, which returns whether the rule was broken."""
    record = Record(path or pathlib.Path(folder) / "record.txt")
    temporary = tempfile.mkdtemp(prefix="review-")
    gateways = []

    def finish(code):
        for gateway in gateways:
            gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
        record.write(f"exit code {code}")
        sys.stdout.flush()
        # Tasks of the stand-ins that still wait end with the process.
        os._exit(code)

    async def run():
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, finish, 2)
        platform = await Platform().start()

        def gateway(index, **options):
            name = f"edge-{ZONES[index]}-{index + 1}"
            gateways.append(Gateway(name, ZONES[index], platform, temporary, **options).start())
            return gateways[-1]

        try:
            finish(1 if await asyncio.wait_for(case(platform, gateway, record, trouble), 110) else 0)
        except CannotRun as error:
            record.write(f"could not run: {error}")
        except asyncio.TimeoutError:
            record.write("could not run: over 110 s")
        except Exception as error:
            record.write(f"could not run: {error!r}\n{traceback.format_exc()}")
        finish(2)

    asyncio.run(run())
