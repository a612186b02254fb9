"""A roll-out that was taken back is completed after a restart: the acknowledged `reverted` is forgotten."""

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
from standin import CannotRun, main_parallel, now, send

RATE, DURATION_S = 120, 24
# One answer in sixteen of the bad version is a failure.
FAILS_EVERY = {"v1": 0, "v2": 16}
# "some seconds later"
DRAINED_AFTER_S = 3.0
DOWN_S, RECOVERY_S, SERVED = 1.0, 12.0, 0.25


async def case(platform, gateway, record, trouble):
    await platform.put("op", "config", config(1))
    zones = ["milano-a", "milano-b", "torino-a", "torino-b"]
    workers, tasks, outcomes, states = [], [], {}, []

    async def start_workers(version):
        record.write(f"workers of {version} start")
        for zone in zones:
            worker = PlainWorker(platform, record, f"i-{version}-{zone}", "app", zone, version=version, slots=6,
                                 fails_every=FAILS_EVERY[version])
            workers.append(await worker.start())

    await start_workers("v1")
    entries = [gateway(index) for index in (0, 2, 3)]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(2)
    stopped, back_at, last_shifts = asyncio.Event(), [], []

    async def client(number):
        id, sent = f"{number:016x}", now()
        # Bookings, which must not be repeated, and lookups by turns.
        path, method = ("/book/1", "POST") if number % 2 else ("/look/1", "GET")
        answer = await send(entries[number % len(entries)].callers, path, id, 3_000, method=method)
        outcomes[id] = (sent, answer.status or answer.error)

    async def traffic():
        number, began = 0, now()
        while not stopped.is_set():
            tasks.append(asyncio.ensure_future(client(number)))
            number += 1
            await asyncio.sleep(max(0.0, began + number / RATE - now()))

    async def drain_new():
        await asyncio.sleep(DRAINED_AFTER_S)
        record.write("the platform drains the workers of v2")
        new = [worker for worker in workers if worker.version == "v2"]
        for worker in new:
            worker.state = "draining"
            await worker.register()
        await asyncio.sleep(3)
        for worker in new:
            await worker.leave()
        record.write("the workers of v2 are gone")

    async def stop_old():
        for worker in [worker for worker in workers if worker.version == "v1" and not worker.closed]:
            await worker.leave()
        record.write("the platform has stopped the workers of v1")

    async def restart():
        await asyncio.sleep(DOWN_S)
        for entry in entries:
            # `bootstrap` is true only when the whole system starts for the first time.
            entry.settings["first_start"] = False
            entry.start()
        for entry in entries:
            await entry.wait_ready(30)
        back_at.append(now())
        record.write("all processes run again and are ready")

    def written(table, key, value):
        if key == "recent":
            shifts = [(it["reverted"], it["completed"]) for it in value.get("shifts", [])]
            if shifts != last_shifts:
                last_shifts[:] = shifts
                record.write(f"the row `recent` says of roll-outs (reverted, completed): {shifts}")
        if (table, key) != ("status", "rollout/app"):
            return
        record.write(f"status/rollout/app: {value}")
        first = value["state"] not in states
        states.append(value["state"])
        if value["state"] == "reverted" and first:
            if trouble:
                for entry in entries:
                    entry.kill()
                record.write("all processes are killed, immediately after this acknowledgement")
                tasks.append(asyncio.ensure_future(restart()))
            tasks.append(asyncio.ensure_future(drain_new()))
        if value["state"] == "completed" and first:
            tasks.append(asyncio.ensure_future(stop_old()))

    platform.on_write = written
    flow = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    await start_workers("v2")
    # Each deployment gets its order at another time within the half second between two snapshots.
    await asyncio.sleep(1 + 0.07 * int(sys.argv[1]))
    order = {"service": "app", "to": "v2", "duration_s": DURATION_S}
    ordered_at = await platform.put("op", "rollout/app", order)
    record.write(f"the operator orders {order}")
    await asyncio.sleep(DURATION_S + RECOVERY_S)
    stopped.set()
    await flow
    await asyncio.gather(*tasks)
    for worker in workers:
        await worker.crash()
    if "reverted" not in states:
        raise CannotRun("the bad version was not taken back")
    served = lambda sent: [status == 200 for at, status in outcomes.values() if sent(at)]
    for second in range(int(ordered_at), int(now())):
        of = served(lambda at: second <= at < second + 1)
        record.write(f"second {second}: {sum(of)} of {len(of)} requests served")
    before = served(lambda at: ordered_at <= at <= ordered_at + 3)
    since = ordered_at + DURATION_S if not back_at else max(back_at[0] + RECOVERY_S, ordered_at + DURATION_S)
    after = served(lambda at: at > since)
    record.write(f"states: {states}; served before: {sum(before)} of {len(before)}, "
                 f"of the requests after {since:.3f}, over {RECOVERY_S} s after the machines were back: {sum(after)} of {len(after)}")
    return sum(after) < SERVED * len(after) and sum(before) >= SERVED * len(before)


# The gateways lose the state only if they have not stored it yet, about every second time.
main_parallel(case, FOLDER, TROUBLE, 7)
