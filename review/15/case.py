"""The operator takes away all keys of the only tenant, by a version whose list of tenants is empty.

Both nodes have the store and each other all the time. Requests with the key that was taken away, with a key that no
configuration ever held and without a key are sent more than `revoke_ms` after the acknowledgement.
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

REVOKE_MS = 5_000


async def main(record, folder, trouble, nodes):
    store, worker = kit.Store(record), plain.Worker(record, "w1")
    await worker.open()
    store.register(worker, "app")

    def version(number, tenants):
        routes = [kit.route("book", "/book/", "non_idempotent", "app", timeout_ms=2_500)]
        services = [{"name": "app", "health_path": "/healthz", "max_connections": 100}]
        return kit.config(number, routes, services, tenants)

    store.put("op", "config", version(3, [{"name": "one", "api_keys": ["key-one"]}]))
    for name in ("edge-a-1", "edge-a-2"):
        node = kit.Node(name, "a", await store.open(name), True, folder)
        nodes.append(node)
        node.start()
    if not all([await node.wait_ready() for node in nodes]):
        return None
    await asyncio.sleep(1)
    for index, node in enumerate(nodes):
        known = await plain.ask(record, node.callers, f"before-known-{index}", "/book/x", "key-one")
        unknown = await plain.ask(record, node.callers, f"before-unknown-{index}", "/book/x", "key-never-held")
        if (known, unknown) != ("200", "401"):
            return None
    if trouble:
        store.put("op", "config", version(7, []))
        record.line("the store has accepted version 7, which takes key-one away with its tenant")
    acknowledged = time.monotonic()
    await asyncio.sleep(REVOKE_MS / 1_000 + 1)
    assert time.monotonic() - acknowledged > REVOKE_MS / 1_000
    keys = {"unknown": "key-never-held", "none": None, **({"revoked": "key-one"} if trouble else {})}
    for round_ in range(5):
        for index, node in enumerate(nodes):
            for kind, key in keys.items():
                await plain.ask(record, node.callers, f"{kind}-{index}-{round_}", "/book/x", key)
        await asyncio.sleep(0.3)
    broken = {}
    for kind in keys:
        broken[kind] = [name for name in worker.runs if name.startswith(f"{kind}-")]
        record.line(f"ran, key {kind}, sent over {REVOKE_MS} ms after the acknowledgement: {broken[kind]}")
    return not any(broken.values())


kit.run(__file__, main, TROUBLE)
