"""A part of prompts crashes each runner just after the first event on it."""

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

SHARED_PART = "5c1e07a2"
BAD_PART = "bad0bad0"
GOOD_PART = "900d900d"
BAD_GAP_S = 2.0
SOUND_GAP_S = 0.25
# Time until a runner begins to write.
READ_MS = 100
PLAY_S = 40.0
HEADS = 16
TAILS = 6
GATEWAYS = 4
FIFTH_CRASH = 5
MOST_REQUESTS = 3


def prepare(runner) -> None:
    """Make a runner crash as it begins to write on the part."""
    runner.read_ms = READ_MS
    runner.writes_first = True
    runner.deadly_part = BAD_PART if has_trouble() else None


def prompt(part: str, number: int) -> str:
    """Return the parts of a prompt, of which the last is its own."""
    return f"{SHARED_PART}:40,{part}:500,{number:08x}:200"


def bad_request(number: int) -> tuple[bytes, str]:
    """Return the body and the prompt of a request with the part, no two alike."""
    return b"bad %d" % number, prompt(BAD_PART, 0xB000_0000 + number)


def sound_request(number: int) -> tuple[bytes, str]:
    """Return the body and the prompt of a request without the part."""
    return b"sound %d" % number, prompt(GOOD_PART, number)


async def play(site: Site, record: Record) -> int:
    """Send a request with the part now and then, beside sound ones."""
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
    sound, bad = Drafts(site, "/drafts/x"), Drafts(site, "/drafts/x")
    returns = asyncio.create_task(fleet.bring_back())
    await asyncio.gather(
        sound.repeat(SOUND_GAP_S, sound_request, until),
        bad.repeat(BAD_GAP_S, bad_request, until),
    )
    returns.cancel()
    log.write(record)
    record(f"answers by status (-200: cut): sound {dict(sound.statuses)}")
    record(f"answers to requests with the part: {dict(bad.statuses)}")
    late = log.late_arrivals(FIFTH_CRASH)
    text = (
        f"{len(log.crashes)} crashes; {len(set(late))} requests with the part reached "
        f"runners {len(late)} times later than contact_ms after the fifth one"
    )
    return record.verdict(len(set(late)) > MOST_REQUESTS, text)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
