"""One part of prompts crashes each runner right after a short answer."""

import asyncio
import itertools
import random
from pathlib import Path

from crashing import CrashingTarget
from harness import CONTACT_SECONDS, HOST, Channel, Gateway, is_troubled, run
from manifest import ENGINE, KEY, manifest, route

from heathershunt.http import Request, Response, StreamResponse
from standins.metadata_store import MetadataStoreStandIn

FOLDER = Path(__file__).resolve().parent
GATEWAYS = 4
RUNNERS = 16
DEADLY_PART = "dead0001"
# From the first event to the crash; the answer has two events 5 ms apart.
CRASH_SECONDS = 0.03
DEADLY_EVENTS, SOUND_EVENTS = 2, 84
DEADLY_PERIOD_SECONDS = 1.5
SOUND_PERIOD_SECONDS = 0.15
SECONDS = 45
# The rule allows so many, later than ``contact_ms`` after the crash with this number.
ALLOWED_LATE, KNOWN_CRASH = 3, 5


class Runner(CrashingTarget):
    """Runner that crashes soon after it has begun to write on the deadly part.

    :ivar deadly: times and ids of the requests with the part that reached it.
    """

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.deadly: list[tuple[float, str]] = []

    async def _stream(self, request: Request) -> Response | StreamResponse:
        response = await super()._stream(request)
        parts = request.headers.get("heathershunt-prompt-prefix", "")
        if DEADLY_PART in parts and isinstance(response, StreamResponse):
            now = asyncio.get_running_loop().time()
            self.deadly.append((now, request.headers["heathershunt-request-id"]))
            if is_troubled():
                self.crash_after(CRASH_SECONDS)
        return response


async def case(record, folder) -> bool:
    """Return whether the rule was kept."""
    store = MetadataStoreStandIn()
    address = await store.start()
    large = {"name": "huge", "mb": 216_000.0, "pace": 1.0, "read_factor": 1.0}
    services = [{"name": "pool", "engine": ENGINE | {"kinds": [large]}}]
    drafts = route(
        "drafts",
        "streaming",
        "pool",
        timeout_ms=20_000,
        target_latency_ms=500,
        target_gap_ms=200,
        resumable=True,
        max_attempts=2,
    )
    store.put("op/config", manifest(1, [drafts], services=services))
    gateways = [Gateway(f"front-a-{n}", folder, address) for n in range(GATEWAYS)]
    fleet, numbers, tasks = {}, itertools.count(1), set()
    runners = [
        Runner(f"i-{n:02}", "pool", "ab"[n % 2], store, fleet, "huge")
        for n in range(RUNNERS)
    ]
    sound: list[str] = []

    async def send(gateway: Gateway, kind: str, part: str, events: int) -> None:
        number = next(numbers)
        name = f"{kind}-{number}"
        fields = {
            "host": HOST,
            "heathershunt-request-id": name,
            "heathershunt-deadline-ms": "20000",
            "heathershunt-token-counts": f"760,{2 * events}",
            "heathershunt-prompt-prefix": f"5c1e07a2:40,{part}:300,{number:08x}:420",
            "authorization": f"Token {KEY}",
        }
        sent_at = record.now()
        try:
            channel = await Channel.open(gateway.ports["front"])
            body = f"prompt {number}".encode()
            answer = await channel.send("POST", "/drafts/x", fields, body)
            channel.close()
            whole = answer.body.count(b"id: ") == events
            outcome = f"{answer.status} {'whole' if whole else 'not whole'}"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            outcome = f"cut: {type(error).__name__}"
        record.line(f"{name} at {gateway.name}, sent {sent_at:.3f}: {outcome}")
        if kind == "sound":
            sound.append(outcome)

    def begin(*arguments) -> None:
        task = asyncio.create_task(send(*arguments))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    try:
        for runner in runners:
            runner.layers = (0, 80)
            await runner.start()
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.gather(*(gateway.until_ready() for gateway in gateways))
        await asyncio.sleep(3)
        record.line("the gateways are ready")
        turn = itertools.cycle(gateways)
        ends_at = record.now() + SECONDS
        deadly_at = record.now() + 3
        while record.now() < ends_at:
            begin(random.choice(gateways), "sound", "91bd3f06", SOUND_EVENTS)
            if record.now() >= deadly_at:
                deadly_at += DEADLY_PERIOD_SECONDS
                begin(next(turn), "deadly", DEADLY_PART, DEADLY_EVENTS)
            await asyncio.sleep(SOUND_PERIOD_SECONDS)
        await asyncio.wait(tasks, timeout=10)
        crashes = sorted(at for runner in runners for at in runner.crashes)
        arrivals = sorted(row for runner in runners for row in runner.deadly)
        late = []
        if len(crashes) >= KNOWN_CRASH:
            known_at = crashes[KNOWN_CRASH - 1] + CONTACT_SECONDS
            late = [name for at, name in arrivals if at > known_at]
        record.line(f"{len(crashes)} crashes, {len(arrivals)} arrivals with the part")
        record.line(f"later than contact_ms after the fifth crash: {len(late)} {late}")
        whole = sum(outcome == "200 whole" for outcome in sound)
        record.line(f"{whole} of {len(sound)} sound streams were served whole")
        blocked = sum(gateway.log().count('"part_blocked"') for gateway in gateways)
        record.line(f"lines part_blocked of the gateways: {blocked}")
        return len(late) <= ALLOWED_LATE
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.end()
        await store.stop()


if __name__ == "__main__":
    run(case, FOLDER)
