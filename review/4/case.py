"""A server leaves without a word, serves on, and is silent for a moment meanwhile."""

import asyncio
from pathlib import Path

from review.common.site import (
    Channel,
    Record,
    Site,
    call,
    engine,
    has_trouble,
    manifest,
    route,
    run_case,
)
from standins import layer_runner

EVENTS = 84
# An event of a stream every 40 ms: the usual pace of the slower cards of the sites.
EVENT_MS = 40
CHANNELS = 8
SILENCE_S = 1.2
# Time from the removal of the entry to the end of the server, drain_ms and longer.
SERVES_ON_S = 6.0
MOST_CUTS = 3


def configuration(version: int, idle_ms: int = 20_000) -> dict:
    """Return a manifest in which streams may not be resumed."""
    routes = [
        route("drafts", "redactor", "streaming"),
        route("status", "mostrador", "idempotent", timeout_ms=1500),
    ]
    services = [{"name": "redactor", "engine": engine()}, {"name": "mostrador"}]
    made = manifest(version, routes, services)
    made["limits"]["idle_timeout_ms"] = idle_ms
    return made


async def one_client(address, results, record: Record) -> None:
    """Keep a channel, use it for a look-up, then for a stream."""
    channel = await Channel.open(address)
    first = await channel.send("GET", "/status/x", deadline_ms=1500)
    record(f"{first.id} look-up on a new channel: {first.status}")
    answer = await channel.send(
        "POST",
        "/drafts/x",
        body=b"prompt",
        extra={
            "Heathershunt-Model": "m0",
            "Heathershunt-Token-Counts": f"740,{EVENTS * 2}",
            "Heathershunt-Prompt-Prefix": f"5c1e07a2:40,{first.id[1:]}:700",
        },
    )
    results.append(answer)
    channel.close()


async def leave(site: Site, record: Record) -> None:
    """Take away the server with most streams, which is silent for a moment."""
    server = max(
        (t for t in site.targets.values() if t.kind), key=lambda t: len(t.runs)
    )
    record(f"{server.id} has {len(server.runs)} streams")
    if has_trouble():
        site.store.remove(f"servers/{server.id}")
        record(f"the entry of {server.id} is removed, it serves on")
    site.store.put("op/config", configuration(2, 15_000))
    record("the store acknowledged manifest 2")
    await asyncio.sleep(0.4)
    server.fall_silent(SILENCE_S)
    record(f"{server.id} is silent for {SILENCE_S} s")
    await asyncio.sleep(SERVES_ON_S)
    record(f"{server.id} would end now")


async def play(site: Site, record: Record) -> int:
    """Stream on kept channels while a server leaves."""
    layer_runner.EVENT_MS = EVENT_MS
    site.store.put("op/config", configuration(1))
    for zone in ("zone-a", "zone-b"):
        await site.add_target(f"run-{zone}-0", "redactor", zone, "h100", (0, 40))
        await site.add_target(f"run-{zone}-1", "redactor", zone, "h100", (40, 80))
        await site.add_target(f"desk-{zone}", "mostrador", zone)
    for number, zone in enumerate(("zone-a", "zone-b")):
        await site.add_gateway(f"front-{number}", zone)
    await site.until_ready()
    warm = await call(site.gateways[0].front, "GET", "/status/x", deadline_ms=1500)
    record(f"warm-up: {warm.status}")
    results = []
    clients = [
        asyncio.create_task(one_client(gateway.front, results, record))
        for gateway in site.gateways
        for _ in range(CHANNELS)
    ]
    await asyncio.sleep(0.7)
    trouble = asyncio.create_task(leave(site, record))
    await asyncio.gather(*clients)
    await trouble
    return judge(site, results, record)


def judge(site: Site, results, record: Record) -> int:
    """Count the kept channels that ended without a complete answer."""
    start = min(answer.sent_at for answer in results)
    ran = {run.request_id for target in site.targets.values() for run in target.runs}
    cut = []
    for answer in sorted(results, key=lambda item: item.id):
        events = answer.body.count(b"id: ")
        record(
            f"{answer.id} sent at {answer.sent_at - start:.2f}, ended after "
            f"{answer.seconds:.2f} s: status {answer.status}, {events} events, "
            f"complete: {answer.is_complete} {answer.error}"
        )
        if answer.id in ran and not answer.is_complete:
            cut.append(answer.id)
    text = f"{len(cut)} of {len(results)} streams cut on kept channels: {cut}"
    return record.verdict(len(cut) > MOST_CUTS, text)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
