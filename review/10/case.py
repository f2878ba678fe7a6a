"""A manifest raises the limit of header fields, and clients keep their channels."""

import asyncio
from pathlib import Path

from harness import HOST, Channel, Gateway, is_troubled, run
from manifest import KEY, LIMITS, manifest, route

from heathershunt.http import HttpLimits
from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn

FOLDER = Path(__file__).resolve().parent
SMALL_LIMIT, LARGE_LIMIT = 8192, 32_768
# Parts of a prompt, which the head of a request names: some 2 KB and 24 KB.
FEW_PARTS, MANY_PARTS = 150, 1900
CLIENTS = 15
CONFIG_APPLY_SECONDS = 2.0
# The rule allows 5 denials, and one in 500 requests.
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


def version(number: int, header_bytes: int) -> dict:
    """Return a manifest with a limit of header fields."""
    limits = LIMITS | {"max_header_bytes": header_bytes}
    return manifest(number, [route("status", "idempotent", "desk")], limits=limits)


async def case(record, folder) -> bool:
    """Return whether the rule was kept."""
    store = MetadataStoreStandIn()
    gateway = Gateway("front-a-1", folder, await store.start())
    first = SMALL_LIMIT if is_troubled() else LARGE_LIMIT
    store.put("op/config", version(1, first))
    targets = [TargetStandIn(f"i-{n}", "desk", "a", store, {}) for n in "ab"]
    statuses: list[int] = []

    async def call(channel: Channel, parts: int) -> int:
        name = f"request-{len(statuses) + 1}"
        prefix = ",".join(f"{number:08x}:1" for number in range(parts))
        fields = {
            "host": HOST,
            "heathershunt-request-id": name,
            "heathershunt-deadline-ms": "1500",
            "authorization": f"Token {KEY}",
            "heathershunt-prompt-prefix": prefix,
        }
        sent_at = record.now()
        answer = await channel.send("GET", "/status/x", fields)
        statuses.append(answer.status)
        record.line(
            f"{name} sent {sent_at:.3f} with {len(prefix)} bytes of parts:"
            f" status {answer.status}"
        )
        return answer.status

    try:
        for target in targets:
            # A sound server takes what the manifest allows.
            target._server.limits = HttpLimits(header_bytes=2 * LARGE_LIMIT)
            await target.start()
        await gateway.start()
        await gateway.until_ready()
        record.line(f"the gateway is ready; the limit is {first} bytes")
        channels = [await Channel.open(gateway.ports["front"]) for _ in range(CLIENTS)]
        for channel in channels:
            await call(channel, FEW_PARTS)
        if is_troubled():
            store.put("op/config", version(2, LARGE_LIMIT))
            record.line(f"manifest 2 is acknowledged: the limit is {LARGE_LIMIT} bytes")
        await asyncio.sleep(CONFIG_APPLY_SECONDS + 1)
        denied = 0
        for number, channel in enumerate(channels):
            status = await call(channel, MANY_PARTS)
            denied += 300 <= status < 500 and status not in (408, 421, 429)
            if status >= 400:
                channels[number] = await Channel.open(gateway.ports["front"])
        for channel in channels:
            await call(channel, MANY_PARTS)
        allowed = ALLOWED + len(statuses) * ALLOWED_SHARE
        record.line(
            f"{denied} of {len(statuses)} denied; the rule allows {allowed:.1f}"
        )
        return denied <= allowed
    finally:
        await gateway.stop()
        for target in targets:
            await target.stop()
        await store.stop()


if __name__ == "__main__":
    run(case, FOLDER)
