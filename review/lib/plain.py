"""Stand-in for a worker of a plain service."""

import asyncio

from standin import Worker, now, response


class PlainWorker(Worker):
    """Runs a request for `work_s`; every `fails_every`-th answer is a 500."""

    def __init__(self, *arguments, work_s=0.02, fails_every=0, **more):
        super().__init__(*arguments, **more)
        self.work_s, self.fails_every = work_s, fails_every
        self.ran, self.failed = [], []

    async def handle(self, request, reader, writer):
        method, target, headers, body = request
        if self.is_misdirected(headers, writer):
            return None
        id = headers["x-attempt-id"]
        self.ran.append((now(), id))
        await asyncio.sleep(self.work_s)
        if self.fails_every and len(self.ran) % self.fails_every == 0:
            self.failed.append(now())
            writer.write(response(500, [("X-Attempt-Id", id), ("X-Response-Seal", f"seal.{self.id}.{id}")], b"failed"))
            return None
        writer.write(response(200, [("X-Attempt-Id", id), ("X-Response-Seal", f"seal.{self.id}.{id}")], b"free slots: 4"))
        await writer.drain()
        return None
