"""A booking that a worker has run and failed with a 503 of its own is answered 503, which promises that it has not run."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from engine import config
from plain import PlainWorker
from standin import CannotRun, main, now, response, send

BOOKINGS, RATE = 200, 20
# Share of the requests that fail (`srv_grey`, x).
SHARE = 0.45


class FailingWorker(PlainWorker):
    """Enters the booking, and then fails some requests; the answer doesn't say that the request was not run."""

    entered, failing = [], False

    async def handle(self, request, reader, writer):
        method, target, headers, body = request
        if target == "/healthz":
            writer.write(response(200, [("X-Instance-Id", self.id)]))
            return None
        if self.is_misdirected(headers, writer):
            return None
        id, slot = headers["x-attempt-id"], body.decode()
        FailingWorker.entered.append((id, slot))
        await asyncio.sleep(0.03)
        count = len(FailingWorker.entered)
        fails = FailingWorker.failing and int(count * SHARE) > int((count - 1) * SHARE)
        seal = [("X-Attempt-Id", id), ("X-Response-Seal", f"seal.{self.id}.{id}")]
        self.record.write(f"worker {self.id} has run {id} for {slot}, answers {503 if fails else 200}")
        writer.write(response(503, seal, b"entered, but the receipt failed") if fails else response(200, seal, b"entered"))
        return None


async def case(platform, gateway, record, trouble):
    await platform.put("op", "config", config(1))
    zones = ["milano-a", "milano-b", "torino-a", "torino-b"]
    workers = [await FailingWorker(platform, record, f"i-{zone}", "app", zone, slots=6).start() for zone in zones]
    entries = [gateway(index) for index in range(5)]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(2)
    FailingWorker.failing = trouble
    statuses, done = {}, []

    async def client(number):
        # One retry, on a new connection, only after a promise that the request has not run.
        for attempt in range(2):
            id = f"{number:015x}{attempt}"
            entry = entries[(number + attempt) % len(entries)]
            answer = await send(entry.callers, "/book/1", id, 3_000, body=f"slot-{number}".encode())
            statuses[id] = answer.status
            record.write(f"client of {id}: status {answer.status}, seal {answer.headers.get('x-response-seal')}")
            if answer.status not in (429, 503, 408, 421):
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.1)))
        done.append(number)

    clients = []
    for number in range(BOOKINGS):
        clients.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*clients)
    for worker in workers:
        await worker.crash()
    ran = {id for id, _ in FailingWorker.entered}
    refused = sorted(id for id, status in statuses.items() if status in (429, 503, 408, 421) and id in ran)
    slots = [slot for _, slot in FailingWorker.entered]
    twice = sorted({slot for slot in slots if slots.count(slot) > 1})
    record.write(f"{BOOKINGS} bookings, {len(statuses)} attempts, {len(ran)} run; {len(refused)} attempts were answered "
                 f"429 or 503 and have run; {len(twice)} bookings were entered twice by their clients' retries")
    if not ran:
        raise CannotRun("no booking was run")
    return bool(refused)


main(case, FOLDER)
