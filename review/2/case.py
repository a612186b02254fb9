"""A reclaim stops streams to move them; one whose move takes too long must not look complete."""

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
from standin import main, now, send

STREAMS, EVENTS, TOKENS, PARTS = 57, 110, "9400,600", "5c1e07a2:512,91bd3f06:4870"
LEAVES_MS = 2_200


async def case(platform, gateway, record, trouble):
    await platform.put("op", "config", config(1))
    leaving = await Engine(platform, record, "i-leaving", "llm", "milano-a", preemptible=True).start()
    # 5 answers in 100 have no length.
    leaving.unframed_every = 20
    entry = gateway(0)
    await entry.wait_ready()

    async def client(number):
        id = f"{number:016x}"
        headers = [("X-Model", "m"), ("X-Token-Count", TOKENS), ("X-Prefix-Hash", f"{PARTS},{number + 4096:x}:4018")]
        body = json.dumps({"events": EVENTS}).encode()
        record.write(f"client sends {id}: a stream of {EVENTS} events")
        answer = await send(entry.callers, "/plan/1", id, 15_000, headers, body=body, gap_s=4)
        ids = answer.event_ids()
        whole = ids == list(range(EVENTS))
        record.write(f"client of {id}: status {answer.status}, seal {answer.headers.get('x-response-seal')}, "
                     f"{len(ids)} events, complete={answer.complete} {answer.error}")
        return id, answer, ids, whole

    # Three short streams first: the leaving worker gives 60 answers, of which 3 have no length.
    for number in range(3):
        headers = [("X-Model", "m"), ("X-Token-Count", "600,20"), ("X-Prefix-Hash", f"{number + 9000:x}:600")]
        body = json.dumps({"events": 2}).encode()
        answer = await send(entry.callers, "/chat/1", f"c{number:015x}", 12_000, headers, body=body)
        record.write(f"short stream {number}: status {answer.status}, complete={answer.complete}")
    clients = []
    for number in range(STREAMS):
        clients.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(0.07)
    # Empty workers are added, so that there is room for the streams.
    others = [await Engine(platform, record, f"i-{zone}", "llm", zone).start() for zone in ("milano-b", "torino-a", "torino-b")]
    await asyncio.sleep(1.5)
    if trouble:
        record.write(f"worker {leaving.id} is reclaimed: draining, leaves in {LEAVES_MS} ms")
        leaving.state, leaving.leaves_ms = "draining", LEAVES_MS
        await leaving.register()
        await asyncio.sleep(LEAVES_MS / 1000)
        await leaving.leave()
        record.write(f"worker {leaving.id} is gone")
    results = await asyncio.gather(*clients)
    for other in others:
        await other.crash()
    wrong = [(id, len(ids)) for id, answer, ids, whole in results
             if answer.status == 200 and answer.complete and not whole]
    whole = sum(1 for _, answer, _, whole in results if answer.complete and whole)
    cut = sum(1 for _, answer, *_ in results if not answer.complete)
    record.write(f"{len(results)} streams: {whole} whole, {cut} cut visibly, {len(wrong)} complete before their last event: {wrong}")
    if not trouble and whole < STREAMS:
        record.write("without the disruption some streams were not served")
    return bool(wrong)


main(case, FOLDER, TROUBLE)
