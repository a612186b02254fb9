"""Stand-in for a model worker that streams events and moves the memory of its streams."""

import asyncio
import json

from standin import Worker, now, reset, response, HOST, KEY

# Of the site mp-pomelo: bytes of memory a token, and the links between model workers.
KV_TOKEN_BYTES = 163_840
LINK_MBPS = 370_000


def route(name, path, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": path, "kind": kind, "service": service, "priority": 1,
            "anonymous": False, **more}


def config(version, scaling=None):
    stream = {"timeout_ms": 15_000, "sticky": True, "gap_aim_ms": 250}
    plain = {"timeout_ms": 1_500, "target_latency_ms": 300, "sticky": False}
    return {
        "version": version,
        "route_table": [
            route("plan", "/plan/", "streaming", "llm", target_latency_ms=1_000, max_attempts=1, resumable=False, **stream),
            route("chat", "/chat/", "streaming", "llm", target_latency_ms=400, max_attempts=2, resumable=True, **stream),
            route("book", "/book/", "non_idempotent", "app", max_attempts=1, resumable=False, **plain),
            route("look", "/look/", "idempotent", "app", max_attempts=2, resumable=False, **plain),
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_connections": 360,
             "runtime": {"slots": 64, "kv_capacity": 640_262, "migrations": True, "kv_token_bytes": KV_TOKEN_BYTES,
                         "link_mbps": LINK_MBPS}},
            {"name": "app", "health_path": "/healthz", "max_connections": 96},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 5_000,
                   "idle_timeout_ms": 15_000},
        "tenants": [{"name": "one", "api_keys": [KEY], "unit": "tokens", "uncached_tokens": 200,
                     "rate_per_s": 100_000_000, "burst": 100_000_000}],
    }


class Engine(Worker):
    """Streams `events` events of a request's JSON body, one each `gap_s`, the first after `first_s`."""

    peers = {}

    def __init__(self, *arguments, first_s=0.03, gap_s=0.1, **more):
        super().__init__(*arguments, **more)
        self.first_s, self.gap_s = first_s, gap_s
        self.answers, self.copies, self.handles = 0, {}, 0
        # One answer in so many has no length and ends with its connection; 0 for none.
        self.unframed_every = 0
        # The first event of new requests is awaited.
        self.gate = None
        self.arrivals = []

    async def start(self):
        await super().start()
        Engine.peers[self.address] = self
        return self

    async def handle(self, request, reader, writer):
        method, target, headers, body = request
        if target == "/kv-move":
            return await self.move(json.loads(body), writer)
        if self.is_misdirected(headers, writer):
            return None
        return await self.stream(headers, body, reader, writer)

    async def stream(self, headers, body, reader, writer):
        id, call = headers["x-attempt-id"], json.loads(body)
        self.arrivals.append((now(), id))
        first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 0
        if "kv-from" in headers and headers["kv-from"] not in self.copies:
            self.record.write(f"worker {self.id} has no copy {headers['kv-from']} for {id}")
            writer.write(response(503, [("X-Attempt-Id", id), ("X-Not-Executed", "1")]))
            return None
        self.answers += 1
        unframed = self.unframed_every and self.answers % self.unframed_every == 0
        run = {"id": id, "next": first, "stopped": asyncio.Event(), "unframed": unframed,
               "tokens": int(headers["x-token-count"].split(",")[0]) + first * 5}
        self.runs[id] = run
        self.record.write(f"worker {self.id} runs {id} from event {first}" + (" (no length)" if unframed else ""))
        head = [f"X-Attempt-Id: {id}", f"X-Response-Seal: seal.{self.id}.{id}", "Content-Type: text/event-stream"]
        head.append("Connection: close" if unframed else "Transfer-Encoding: chunked")
        # The end of the caller's side shows that it has left.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await self.pause(self.first_s, run, gone)
            if self.gate is not None:
                gate = asyncio.ensure_future(self.gate.wait())
                await asyncio.wait([gate, gone], return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                return False
            writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())
            for index in range(first, call["events"]):
                if gone.done() or run["stopped"].is_set():
                    break
                event = f"id: {index}\ndata: {id} piece {index}\n\n".encode()
                writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
                run["next"] = index + 1
                await self.pause(self.gap_s, run, gone)
            if run["stopped"].is_set():
                self.record.write(f"worker {self.id} stops {id} after event {run['next'] - 1}; closes without its end")
                return False
            if gone.done():
                return False
            run["done"] = True
            if unframed:
                return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            run["ended_at"] = now()
            self.runs.pop(id, None)
            if not run.get("done") and not run["stopped"].is_set():
                self.record.write(f"worker {self.id} ends its work on {id}: its connection has ended")
            gone.cancel()

    async def pause(self, seconds, run, gone):
        stopped = asyncio.ensure_future(run["stopped"].wait())
        await asyncio.wait([gone, stopped], timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()

    async def move(self, call, writer):
        """`POST /kv-move`: stops the run first if `final`, and answers when the copy is complete."""
        run, other = self.runs.get(call["id"]), Engine.peers.get(call["to"])
        if run is None or run["stopped"].is_set():
            writer.write(response(404 if run is None else 409, []))
            return None
        if call.get("final"):
            run["stopped"].set()
        began = now()
        seconds = run["tokens"] * KV_TOKEN_BYTES * 8 / (LINK_MBPS * 1e6)
        if other.zone != self.zone:
            seconds *= 2
        async with self.link.lock:
            async with other.link.lock:
                await asyncio.sleep(seconds)
        if self.closed:
            return False
        self.handles += 1
        handle = f"h{self.handles}"
        other.copies[f"{self.address}/{handle}"] = run
        self.record.write(f"worker {self.id} has moved {call['id']} to {other.id} in {now() - began:.3f} s")
        body = json.dumps({"kv_handle": handle, "created": run["next"]}).encode()
        writer.write(response(200, [("Content-Type", "application/json")], body))
        return None
