"""Streams of clients that have left are sent to another worker."""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
# With TROUBLE=0 the same goes on without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "lib"))

from engine import Engine, config
from standin import CannotRun, main, now, send

# 4 workers of 16 slots, almost full; one of them (share 0.25) crashes. A stream lasts 13.5 s.
WORKERS, SLOTS, STREAMS = 4, 16, 60
EVENTS, EVENT_S, RATE, CRASH_AT_S = 90, 0.15, 13, 10
# Clients abandon a stream after a gap of two seconds (four times the objective of 0.4 s and eight times the pause of
# 0.25 s are no longer).
GAP_S = 2.0
# "more than a few requests"
FEW = 5


async def case(platform, gateway, record, trouble):
    document = config(1)
    document["services"][0]["runtime"]["slots"] = SLOTS
    await platform.put("op", "config", document)
    workers = [await Engine(platform, record, f"i-{index}", "llm", "milano-a", slots=SLOTS, gap_s=EVENT_S).start()
               for index in range(WORKERS)]
    entries = [gateway(index) for index in range(2)]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(2)
    left_at, outcomes = {}, {}

    async def client(number):
        id = f"{number:016x}"
        headers = [("X-Model", "m"), ("X-Token-Count", "800,450"), ("X-Prefix-Hash", f"{number + 4096:x}:800")]
        body = json.dumps({"events": EVENTS}).encode()
        address = entries[number % len(entries)].callers
        answer = await send(address, "/chat/1", id, 15_000, headers, body=body, gap_s=GAP_S)
        if not answer.complete and answer.status == 200 and answer.error == "the client gave up":
            left_at[id] = answer.left_at
        outcomes[id] = (answer.status, answer.complete)
        record.write(f"client of {id}: status {answer.status}, {len(answer.event_ids())} events, "
                     f"complete={answer.complete} {answer.error}")

    clients, began = [], now()
    for number in range(STREAMS):
        clients.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(max(0.0, began + (number + 1) / RATE - now()))
    await asyncio.sleep(max(0.0, began + CRASH_AT_S - now()))
    record.write(f"streams at the workers: {[len(it.runs) for it in workers]}")
    if trouble:
        record.write(f"worker {workers[0].id} crashes")
        await workers[0].crash()
        await platform.remove("servers", workers[0].id)
    await asyncio.gather(*clients)
    for worker in workers:
        await worker.crash()
    late = sorted((at - left_at[id], id, worker.id) for worker in workers for at, id in worker.arrivals
                  if id in left_at and at > left_at[id] + 0.5)
    for after, id, worker in late:
        record.write(f"{id} reached worker {worker} {after:.2f} s after its client had left")
    whole = sum(1 for _, complete in outcomes.values() if complete)
    record.write(f"{len(outcomes)} requests, {whole} answered whole, {len(left_at)} streams left by their clients; "
                 f"{len(late)} of these reached a worker over 0.5 s later")
    if not whole:
        raise CannotRun("no stream was served")
    return len(late) > FEW


main(case, FOLDER, TROUBLE)
