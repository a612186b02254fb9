"""A plain service that records what it runs, and a client with a connection for each request."""

import asyncio
import time

import kit


class Worker:
    """Answers each request whose `X-Expect-Instance` names it, and records its id, time and tenant."""

    def __init__(self, record, name):
        self.record, self.id, self.zone, self.slots, self.born = record, name, "a", 6, 1
        self.runs = {}

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (head := await kit.read_head(reader)) is not None:
                line, headers = head
                await kit.read_body(reader, headers)
                name = headers.get("x-attempt-id", "")
                if headers.get("x-expect-instance") != self.id:
                    writer.write(b"HTTP/1.1 421 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    self.runs[name] = (time.monotonic(), headers.get("x-tenant"))
                    self.record.line(f"worker {self.id} runs {name} {line} tenant={headers.get('x-tenant')}")
                    writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\nX-Response-Seal: seal-{name}\r\n"
                                 "Content-Length: 4\r\n\r\ndone".encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def ask(record, port, name, path, key):
    """Sends one request on a connection of its own; returns the status."""
    header = f"X-Key: {key}\r\n" if key is not None else ""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {kit.HOST}\r\nX-Attempt-Id: {name}\r\n{header}"
                     "X-Deadline-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}".encode())
        head = await asyncio.wait_for(kit.read_head(reader), 3)
        writer.close()
        status = head[0].split(" ")[1] if head else "closed"
    except (OSError, asyncio.TimeoutError) as error:
        status = repr(error)
    record.line(f"client sent {name} {path} key={key} to port {port}: {status}")
    return status
