"""The next order after a reverted one gives the reverted version traffic again."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
# With TROUBLE=0 the same goes on without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "lib"))

from engine import config
from plain import PlainWorker
from standin import CannotRun, main, now, send

RATE, DURATION_S = 200, 10
# Every fifth answer of the bad version is a failure.
WORK_S = {"v1": 0.02, "v2": 0.02, "v3": 0.02}
FAILS_EVERY = {"v1": 0, "v2": 5, "v3": 0}
# Time after `reverted` at which the new workers drain ("some seconds later"), and at which the next order comes.
DRAINED_AFTER_S, NEXT_ORDER_AFTER_S = 3.5, 0.2
FRACTION, TOLERANCE, ROLLBACK_S = 0.1, 50, 5.0


async def case(platform, gateway, record, trouble):
    await platform.put("op", "config", config(1))
    zones = ["milano-a", "milano-b", "torino-a", "torino-b"]
    workers = []

    async def start_workers(version):
        record.write(f"workers of {version} start")
        for zone in zones:
            worker = PlainWorker(platform, record, f"i-{version}-{zone}", "app", zone, version=version, slots=6,
                                 work_s=WORK_S[version], fails_every=FAILS_EVERY[version])
            workers.append(await worker.start())

    await start_workers("v1")
    entries = [gateway(index) for index in range(5)]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(2)
    sent_at, answers, tasks, stopped = {}, {}, [], asyncio.Event()

    async def client(number):
        id = f"{number:016x}"
        sent_at[id] = now()
        # Bookings, which must not be repeated, and lookups by turns.
        path, method = ("/book/1", "POST") if number % 2 else ("/look/1", "GET")
        answer = await send(entries[number % len(entries)].callers, path, id, 3_000, method=method)
        answers[id] = (path, answer.status)

    async def traffic():
        number, began = 0, now()
        while not stopped.is_set():
            tasks.append(asyncio.ensure_future(client(number)))
            number += 1
            await asyncio.sleep(max(0.0, began + number / RATE - now()))

    flow = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    await start_workers("v2")
    await asyncio.sleep(1)
    order = {"service": "app", "to": "v2", "duration_s": DURATION_S}
    ordered_at = await platform.put("op", "rollout/app", order)
    record.write(f"the operator orders {order}")
    reverted_at = None
    while now() < ordered_at + DURATION_S and reverted_at is None:
        await asyncio.sleep(0.05)
        status = platform.get("status", "rollout/app")
        if status and status.get("to") == "v2" and status["state"] == "reverted":
            reverted_at = now()
    record.write(f"status/rollout/app: {platform.get('status', 'rollout/app')}")

    async def drain_bad():
        await asyncio.sleep(DRAINED_AFTER_S)
        bad = [worker for worker in workers if worker.version == "v2"]
        record.write("the workers of v2 drain")
        for worker in bad:
            worker.state = "draining"
            await worker.register()
        await asyncio.sleep(4)
        for worker in bad:
            await worker.leave()
        record.write("the workers of v2 are gone")

    if reverted_at is not None:
        draining = asyncio.ensure_future(drain_bad())
        if trouble:
            await asyncio.sleep(NEXT_ORDER_AFTER_S)
            await start_workers("v3")
            order = {"service": "app", "to": "v3", "duration_s": 30}
            await platform.put("op", "rollout/app", order)
            record.write(f"the operator orders {order}")
        await draining
    await asyncio.sleep(max(0.0, ordered_at + DURATION_S - now()))
    stopped.set()
    await flow
    await asyncio.gather(*tasks)
    for worker in workers:
        await worker.crash()

    window = lambda at: ordered_at <= at <= ordered_at + DURATION_S
    runs = [(at, id, worker.version) for worker in workers for at, id in worker.ran]
    total = len({id for at, id, _ in runs if window(at)})
    bad = sorted((at, id) for at, id, version in runs if version == "v2")
    in_window = sum(1 for at, _ in bad if window(at))
    allowed = FRACTION * total + TOLERANCE
    for second in range(int(ordered_at), int(ordered_at) + 20):
        counts = {v: sum(1 for at, _, version in runs if version == v and second <= at < second + 1) for v in WORK_S}
        record.write(f"second {second}: requests by version {counts}")
    record.write(f"v2 got {in_window} of {total} requests from its order to its deadline; allowed {allowed:.0f}")
    late = []
    failures = sorted(at for worker in workers for at in worker.failed)
    record.write(f"v2 gave {len(failures)} failures")
    if len(failures) >= 50:
        fiftieth = failures[49]
        late = [id for at, id in bad if sent_at[id] > fiftieth + ROLLBACK_S]
        record.write(f"the 50th bad answer of v2 came at {fiftieth:.3f}; {len(late)} requests sent over 5 s later reached v2")
    ok = sum(1 for _, status in answers.values() if status == 200)
    lost = sum(1 for path, status in answers.values() if path == "/book/1" and status != 200)
    record.write(f"{len(answers)} requests, {ok} answered with 200; {lost} bookings failed")
    if not total or reverted_at is None:
        raise CannotRun("the bad version was not reverted")
    return in_window > allowed or bool(late)


main(case, FOLDER, TROUBLE)
