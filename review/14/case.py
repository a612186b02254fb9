"""The operator takes a key away and moves a route, with a version whose new route has a rank above 255.

Both nodes, and one that starts later, have the store and each other all the time.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import kit  # noqa: E402
import plain  # noqa: E402

# With TROUBLE=0 the same goes on without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REVOKE_MS, CONFIG_APPLY_MS = 5_000, 2_000
RANK = 300


async def main(record, folder, trouble, nodes):
    store = kit.Store(record)
    app, new = plain.Worker(record, "w1"), plain.Worker(record, "w2")
    for worker in (app, new):
        await worker.open()
    store.register(app, "app")
    store.register(new, "app-new")
    services = [{"name": name, "health_path": "/healthz", "max_connections": 100} for name in ("app", "app-new")]

    def version(number, service, keys, rank):
        routes = [kit.route("book", "/book/", "non_idempotent", service, timeout_ms=2_500, priority=0),
                  kit.route("bulk", "/bulk/", "non_idempotent", service, timeout_ms=2_500, priority=rank)]
        return kit.config(number, routes, services, [
            {"name": "one", "api_keys": keys}, {"name": "two", "api_keys": ["key-two"]}])

    store.put("op", "config", version(3, "app", ["key-one", "key-one-old"], 2))
    for name in ("edge-a-1", "edge-a-2"):
        node = kit.Node(name, "a", await store.open(name), True, folder)
        nodes.append(node)
        node.start()
    if not all([await node.wait_ready() for node in nodes]):
        return None
    await asyncio.sleep(1)
    for index, node in enumerate(nodes):
        if await plain.ask(record, node.callers, f"before-{index}", "/book/x", "key-one-old") != "200":
            return None
    store.put("op", "config", version(7, "app-new", ["key-one"], RANK if trouble else 3))
    acknowledged = time.monotonic()
    record.line(f"the store has accepted version 7: key-one-old is taken away, routes go to app-new, rank "
                f"{RANK if trouble else 3}")
    await asyncio.sleep(REVOKE_MS / 1_000 + 1)
    late = {}
    for round_ in range(5):
        for index, node in enumerate(nodes):
            name = f"old-key-{index}-{round_}"
            late[name] = time.monotonic()
            await plain.ask(record, node.callers, name, "/book/x", "key-one-old")
            await plain.ask(record, node.callers, f"moved-{index}-{round_}", "/book/x", "key-one")
        await asyncio.sleep(0.3)
    third = kit.Node("edge-a-3", "a", await store.open("edge-a-3"), False, folder)
    nodes.append(third)
    third.start()
    is_ready = await third.wait_ready(15)
    record.line(f"a node that starts now is ready within 15 s: {is_ready}")
    revoked = [name for worker in (app, new) for name in worker.runs if name.startswith("old-key")]
    at_old = [name for name in app.runs if name.startswith("moved")]
    record.line(f"ran with the key that was taken away, sent over {REVOKE_MS} ms after the acknowledgement: {revoked}")
    record.line(f"ran at the old service, sent over {CONFIG_APPLY_MS} ms after the acknowledgement: {at_old}")
    assert all(at - acknowledged > REVOKE_MS / 1_000 for at in late.values())
    return not revoked and not at_old


kit.run(__file__, main, TROUBLE)
