"""A stream that crashes runners comes again, beside sound streams of its session."""

import asyncio
import time
from pathlib import Path

from review.common.crashes import ZONES, CrashingFleet, CrashLog, Drafts
from review.common.site import (
    Record,
    Site,
    engine,
    has_trouble,
    manifest,
    route,
    run_case,
)

# The prompts of the session: a part that many share, and the part of the session.
PARTS = "5c1e07a2:40,0051be55:700"
DEADLY_BODY = b"the request that crashes runners"
REPEAT_S = 2.0
SOUND_GAP_S = 0.2
PLAY_S = 40.0
# Time until a runner begins to write.
READ_MS = 100
HEADS = 12
TAILS = 6
GATEWAYS = 4
THIRD_CRASH = 3
MOST_RETRIES = 3


def prepare(runner) -> None:
    """Make a runner crash as it begins to run the request."""
    runner.read_ms = READ_MS
    runner.deadly_body = DEADLY_BODY if has_trouble() else None


async def play(site: Site, record: Record) -> int:
    """Repeat the request for a while, beside sound ones with the same parts."""
    routes = [route("drafts", "redactor", "streaming", resumable=True)]
    made = manifest(1, routes, [{"name": "redactor", "engine": engine()}])
    site.store.put("op/config", made)
    log = CrashLog()
    fleet = CrashingFleet(site, record, log, prepare)
    await fleet.start(HEADS, TAILS)
    for number in range(GATEWAYS):
        await site.add_gateway(f"front-{number}", ZONES[number % 2])
    await site.until_ready()
    until = time.monotonic() + PLAY_S
    sound = Drafts(site, "/drafts/session-7")
    deadly = Drafts(site, "/drafts/session-7")
    returns = asyncio.create_task(fleet.bring_back())
    await asyncio.gather(
        sound.repeat(SOUND_GAP_S, lambda n: (b"sound %d" % n, PARTS), until),
        deadly.repeat(REPEAT_S, lambda n: (DEADLY_BODY, PARTS), until),
    )
    returns.cancel()
    log.write(record)
    record(f"answers by status (-200: cut): sound {dict(sound.statuses)}")
    record(f"answers to the request that crashes runners: {dict(deadly.statuses)}")
    late = log.late_arrivals(THIRD_CRASH)
    text = (
        f"{len(log.crashes)} crashes; the request reached runners {len(late)} times "
        f"later than contact_ms after the third one"
    )
    return record.verdict(len(late) > MOST_RETRIES, text)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
