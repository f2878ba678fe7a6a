"""Callers of a soak, and what they and the targets must have seen."""

import asyncio
import itertools
import random
import re
from dataclasses import dataclass, field

import msgspec
from result import Err

from heathershunt.http import Address, HttpClient
from soak.faults import FaultPlan
from soak.site import HOST, LAYERS, REVOKE_MS, SoakSite

EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+)\n\n")
EVENTS = 40
CALLERS = 8
PROMISES = frozenset({408, 421, 429, 503})
TIMEOUT_MS = 7000
PAUSE_SECONDS = 0.05


@dataclass(frozen=True)
class Seen:
    """One request as its caller saw it.

    :param status: status of the answer; ``None`` without one.
    :param is_whole: whether the body ended as HTTP says that it does.
    """

    id: str
    kind: str
    key: str
    sent_at: float
    status: int | None
    receipt: str | None = None
    body: bytes = b""
    is_whole: bool = False


@dataclass
class Callers:
    """Callers that ask the directory and send requests until told to stop."""

    site: SoakSite
    draw: random.Random
    seen: list[Seen] = field(default_factory=list)
    client: HttpClient = field(default_factory=HttpClient)
    is_stopping: bool = False
    ids: itertools.count = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send requests from several callers at a time."""
        await asyncio.gather(*(self._one_caller() for _ in range(CALLERS)))

    async def _one_caller(self) -> None:
        while not self.is_stopping:
            address = await self.resolve()
            if address is not None:
                await self.send(address)
            await asyncio.sleep(PAUSE_SECONDS)

    async def resolve(self) -> Address | None:
        """Ask a directory and return one of its addresses, if it gives any."""
        gateway = self.draw.choice(list(self.site.gateways.values()))
        outcome = await self.client.exchange(
            Address("127.0.0.1", gateway.ports["directory"]),
            "GET",
            f"/resolve?name={HOST}",
            timeout_ms=500,
            fresh=True,
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        addresses = msgspec.json.decode(outcome.ok_value[1])["addresses"]
        return Address.from_text(self.draw.choice(addresses))

    async def send(self, address: Address) -> Seen:
        """Send one request and note what came back."""
        kind = self.draw.choice(("drafts", "drafts", "orders", "status"))
        key = self.draw.choice(self.site.keys)
        request_id = f"r{next(self.ids)}"
        headers = {
            "host": HOST,
            "heathershunt-request-id": request_id,
            "heathershunt-deadline-ms": "6000",
            "authorization": f"Token {key}",
            "heathershunt-token-counts": f"100,{EVENTS * 2}",
        }
        sent_at = asyncio.get_running_loop().time()
        seen = Seen(request_id, kind, key, sent_at, None)
        method = "GET" if kind == "status" else "POST"
        outcome = await self.client.request(
            address,
            method,
            f"/{kind}/x",
            headers=headers,
            timeout_ms=TIMEOUT_MS,
            fresh=True,
        )
        if not isinstance(outcome, Err):
            seen = await self._read(seen, outcome.ok_value)
        self.seen.append(seen)
        return seen

    async def _read(self, seen: Seen, response) -> Seen:
        pieces, is_whole = [], False
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                async for piece in response.chunks():
                    pieces.append(piece)
                is_whole = True
        except (OSError, TimeoutError):
            response.close()
        return Seen(
            seen.id,
            seen.kind,
            seen.key,
            seen.sent_at,
            response.status,
            response.headers.get("heathershunt-response-signature"),
            b"".join(pieces),
            is_whole,
        )


def broken_promises(site: SoakSite, callers: Callers, plan: FaultPlan) -> list[str]:
    """Return what callers and targets saw that must not be."""
    runs_by_id: dict[str, list] = {}
    for target in site.targets.values():
        for run in target.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
    found = []
    for seen in callers.seen:
        runs = runs_by_id.get(seen.id, [])
        found += _of_answer(seen, runs)
        removed_at = plan.removed_at.get(seen.key)
        late = removed_at is not None and seen.sent_at > removed_at + REVOKE_MS / 1000
        if late and runs:
            found.append(f"{seen.id} ran with a key removed long before")
    for request_id, runs in runs_by_id.items():
        for run in runs:
            if not all(map(_covers_all_layers, run.chains)):
                found.append(f"{request_id} passed layers not once and in order")
            if run.headers.get("heathershunt-tenant") != "owner":
                found.append(f"{request_id} ran for another account")
    return found


def _of_answer(seen: Seen, runs: list) -> list[str]:
    found = []
    if seen.kind == "orders" and len(runs) > 1:
        found.append(f"{seen.id} ran {len(runs)} times")
    if seen.status in PROMISES and runs and seen.kind == "orders":
        found.append(f"{seen.id} was told not to have run, and ran")
    if seen.status != 200 or not seen.is_whole:
        return found
    if seen.receipt not in {f"receipt-{run.runner}" for run in runs}:
        found.append(f"{seen.id} came without the receipt of a target that ran it")
    if seen.kind == "drafts":
        ids = [int(number) for number, _ in EVENT.findall(seen.body)]
        if ids != list(range(1, EVENTS + 1)):
            found.append(f"{seen.id} looks complete with events {ids}")
    elif seen.body != b"done":
        found.append(f"{seen.id} has another body: {seen.body[:40]!r}")
    return found


def _covers_all_layers(chain: str) -> bool:
    at = 0
    for part in chain.split(","):
        first, _, end = part.partition("=")[2].partition("-")
        if int(first) != at:
            return False
        at = int(end)
    return at == LAYERS
