"""A machine loses the store while manifests come in quick succession."""

import asyncio
from pathlib import Path

from harness import CONTACT_SECONDS, HOST, Channel, Gateway, Proxy, is_troubled, run
from manifest import KEY, manifest, route

from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn

FOLDER = Path(__file__).resolve().parent
# The platform keeps changes for so long (``history_s``).
HISTORY_SECONDS = 20
# Client accounts, each with a key; the whole manifest stays below ``value_bytes``.
ACCOUNTS = 4000
# Doses of ``core_cut`` and ``config_storm`` in the site file.
CUT_SECONDS = 5.5
STORM_SECONDS, STORM_GAP_SECONDS = 4.0, 0.33
CONFIG_APPLY_SECONDS = 2.0
WATCHED_SECONDS = 30.0


class Store(MetadataStoreStandIn):
    """Store that drops the changes that are older than ``history_s``."""

    async def forget(self) -> None:
        """Drop old changes until cancelled."""
        marks = []
        loop = asyncio.get_running_loop()
        while True:
            marks.append((loop.time(), self._revision))
            while marks[0][0] < loop.time() - HISTORY_SECONDS:
                _, revision = marks.pop(0)
                self._compacted_revision = max(self._compacted_revision, revision)
            history = [
                row for row in self._history if row[0] > self._compacted_revision
            ]
            self._history[:] = history
            await asyncio.sleep(0.1)


def version(number: int, service: str) -> dict:
    """Return a manifest in which ``/open/`` leads to a service."""
    routes = [
        route("open", "idempotent", service, public=True),
        route("orders", "non_idempotent", "desk"),
        route("status", "idempotent", "counter"),
    ]
    owners = [
        {
            "name": f"grower-{n:05}",
            "api_keys": [f"{n:05}n2ctnfzs989anu6w"],
            "priority": 1,
        }
        for n in range(ACCOUNTS)
    ]
    owners.append({"name": "owner", "api_keys": [KEY], "priority": 1})
    return manifest(number, routes, tenants=owners)


async def case(record, folder) -> bool:
    """Return whether the rule was kept."""
    store = Store()
    address = await store.start()
    forgetting = asyncio.create_task(store.forget())
    proxy = Proxy(address)
    gateway = Gateway("front-a-1", folder, await proxy.start())
    fleet, targets = {}, []
    number = 1
    store.put("op/config", version(number, "desk"))
    record.line(f"manifest 1: {len(store.value('op/config'))} bytes")
    try:
        for name, service in (("i-desk", "desk"), ("i-counter", "counter")):
            target = TargetStandIn(name, service, "a", store, fleet)
            await target.start()
            targets.append(target)
        await gateway.start()
        await gateway.until_ready()
        record.line("the gateway is ready")
        channel = await Channel.open(gateway.ports["front"])
        await asyncio.sleep(2)
        if is_troubled():
            proxy.cut()
            record.line("the machine is partitioned from the store")
        cut_at = record.now()
        await asyncio.sleep(0.5)
        # Every change moves the route; the last one leaves it at the new service.
        stop_at = record.now() + STORM_SECONDS
        while record.now() < stop_at:
            number += 1
            store.put("op/config", version(number, "counter"))
            record.line(f"manifest {number} is acknowledged: /open/ leads to counter")
            acked_at = record.now()
            await asyncio.sleep(STORM_GAP_SECONDS)
        await asyncio.sleep(max(0, cut_at + CUT_SECONDS - record.now()))
        proxy.heal()
        healed_at = record.now()
        record.line("the partition has ended")
        due_at = max(acked_at + CONFIG_APPLY_SECONDS, healed_at + CONTACT_SECONDS)
        broken, count = 0, 0
        while record.now() < healed_at + WATCHED_SECONDS:
            count += 1
            sent_at = record.now()
            request = f"request-{count}"
            fields = {
                "host": HOST,
                "heathershunt-request-id": request,
                "heathershunt-deadline-ms": "1500",
            }
            answer = await channel.send("GET", "/open/x", fields)
            ran = [
                t.service
                for t in targets
                if any(r.request_id == request for r in t.runs)
            ]
            is_old = "desk" in ran and sent_at > due_at
            broken += is_old
            record.line(
                f"{request} sent {sent_at:.3f} status {answer.status} run by {ran}"
                f"{' CONFIG: only version 1 allows this' if is_old else ''}"
            )
            await asyncio.sleep(0.2)
        record.line(f"{broken} of {count} requests were handled by the old manifest")
        return not broken
    finally:
        record.line(
            "log of the gateway: "
            + " | ".join(
                line[:220] for line in gateway.log().splitlines() if "store" in line
            )[:4000]
        )
        forgetting.cancel()
        await gateway.stop()
        await proxy.stop()
        for target in targets:
            await target.stop()
        await store.stop()


if __name__ == "__main__":
    run(case, FOLDER)
