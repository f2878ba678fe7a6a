"""A target leaves shortly after a machine has come back to the store."""

import asyncio
from pathlib import Path

from harness import CONTACT_SECONDS, HOST, Channel, Gateway, Proxy, is_troubled, run
from manifest import KEY, manifest, route

from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn

FOLDER = Path(__file__).resolve().parent
# Dose of ``core_cut`` in the site file.
CUT_SECONDS = 5.5
# The target leaves so long after the machine has reached the store again.
LEAVES_AFTER_SECONDS = 2.2
DRAIN_SECONDS = 2.0
# It serves for ``drain_ms`` and a little longer.
SERVES_SECONDS = 4.0


async def case(record, folder) -> bool:
    """Return whether the rule was kept."""
    store = MetadataStoreStandIn()
    proxy = Proxy(await store.start())
    gateway = Gateway("front-a-1", folder, await proxy.start())
    store.put("op/config", manifest(1, [route("status", "idempotent", "desk")]))
    target = TargetStandIn("i-1", "desk", "a", store, {})
    try:
        await target.start()
        await gateway.start()
        await gateway.until_ready()
        record.line("the gateway is ready")
        await asyncio.sleep(2)
        if is_troubled():
            proxy.cut()
            record.line("the machine is partitioned from the store")
        await asyncio.sleep(CUT_SECONDS)
        proxy.heal()
        healed_at = record.now()
        record.line("the machine reaches the store")
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        store.remove("servers/i-1")
        acked_at = record.now()
        record.line(
            "the store acknowledges that i-1 is gone; i-1 serves on for a while"
        )
        due_at = max(acked_at + DRAIN_SECONDS, healed_at + CONTACT_SECONDS)
        channel = await Channel.open(gateway.ports["front"])
        count, broken = 0, 0
        while record.now() < acked_at + SERVES_SECONDS:
            count += 1
            sent_at = record.now()
            name = f"request-{count}"
            fields = {
                "host": HOST,
                "heathershunt-request-id": name,
                "heathershunt-deadline-ms": "1500",
                "authorization": f"Token {KEY}",
            }
            answer = await channel.send("GET", "/status/x", fields)
            has_run = any(run.request_id == name for run in target.runs)
            is_late = has_run and sent_at > due_at
            broken += is_late
            record.line(
                f"{name} sent {sent_at - acked_at:.3f} s after the ack: status"
                f" {answer.status}, {'run by i-1' if has_run else 'not run'}"
                f"{' DRAIN: later than drain_ms' if is_late else ''}"
            )
            await asyncio.sleep(0.05)
        record.line(f"{broken} of {count} requests reached i-1 later than drain_ms")
        return not broken
    finally:
        await gateway.stop()
        await proxy.stop()
        await target.stop()
        await store.stop()


if __name__ == "__main__":
    run(case, FOLDER)
