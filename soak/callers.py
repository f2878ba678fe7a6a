"""Callers of a soak, and the checks of what they and the targets received."""

import asyncio
import itertools
import random
import re
from dataclasses import dataclass, field

import msgspec
from result import Err

from heathershunt.http import Address, HttpClient
from soak.configurations import HOST, LAYERS, OWNER
from soak.faults import FaultPlan
from soak.site import REVOKE_MS, SoakSite

EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+)\n\n")
# Events of a complete draft.
DRAFT_EVENTS = 40
CALLERS = 8
# Statuses with which a gateway states that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
TIMEOUT_MS = 7000
PAUSE_SECONDS = 0.05


@dataclass(frozen=True)
class RequestResult:
    """One request and the answer that its caller received.

    :param key: API key of the client account.
    :param sent_at: event loop time in seconds.
    :param status: status of the answer, ``None`` if there was none.
    :param receipt: value of the response signature header.
    :param is_whole: whether the body was complete by its HTTP framing.
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
    """Callers that resolve addresses and send requests until ``is_stopping`` is set."""

    site: SoakSite
    rng: random.Random
    results: list[RequestResult] = field(default_factory=list)
    client: HttpClient = field(default_factory=HttpClient)
    is_stopping: bool = False
    ids: itertools.count = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send requests from ``CALLERS`` concurrent callers."""
        await asyncio.gather(*(self._one_caller() for _ in range(CALLERS)))

    async def _one_caller(self) -> None:
        while not self.is_stopping:
            address = await self.resolve()
            if address is not None:
                await self.send(address)
            await asyncio.sleep(PAUSE_SECONDS)

    async def resolve(self) -> Address | None:
        """Resolve ``HOST`` at a random gateway; return ``None`` if that fails."""
        gateway = self.rng.choice(list(self.site.gateways.values()))
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
        return Address.from_text(self.rng.choice(addresses))

    async def send(self, address: Address) -> RequestResult:
        """Send one random request; append its result to ``results`` and return it."""
        kind = self.rng.choice(("drafts", "drafts", "orders", "status"))
        key = self.rng.choice(self.site.keys)
        request_id = f"r{next(self.ids)}"
        headers = {
            "host": HOST,
            "heathershunt-request-id": request_id,
            "heathershunt-deadline-ms": "6000",
            "authorization": f"Token {key}",
            "heathershunt-token-counts": f"100,{DRAFT_EVENTS * 2}",
        }
        sent_at = asyncio.get_running_loop().time()
        result = RequestResult(request_id, kind, key, sent_at, None)
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
            result = await self._read(result, outcome.ok_value)
        self.results.append(result)
        return result

    async def _read(self, result: RequestResult, response) -> RequestResult:
        pieces, is_whole = [], False
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                async for piece in response.chunks():
                    pieces.append(piece)
                is_whole = True
        except (OSError, TimeoutError):
            response.close()
        return RequestResult(
            result.id,
            result.kind,
            result.key,
            result.sent_at,
            response.status,
            response.headers.get("heathershunt-response-signature"),
            b"".join(pieces),
            is_whole,
        )


def find_violations(
    site: SoakSite, callers: Callers, plan: FaultPlan, other_ids: set[str]
) -> list[str]:
    """Return each guarantee that the answers or the targets' runs violate.

    :param other_ids: ids of requests that other callers sent.
    """
    runs_by_id: dict[str, list] = {}
    for target in site.targets.values():
        for run in target.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
    violations = []
    for result in callers.results:
        runs = runs_by_id.get(result.id, [])
        violations += _check_answer(result, runs)
        removed_at = plan.removed_at.get(result.key)
        late = removed_at is not None and result.sent_at > removed_at + REVOKE_MS / 1000
        if late and runs:
            violations.append(f"{result.id} ran with a key past its revocation limit")
        if any(run.headers.get("heathershunt-tenant") != OWNER for run in runs):
            violations.append(f"{result.id} ran for another account")
    sent_ids = other_ids | {result.id for result in callers.results}
    for request_id, runs in runs_by_id.items():
        if request_id not in sent_ids:
            violations.append(f"{request_id} ran, though no caller sent it")
        for run in runs:
            if not all(map(_covers_all_layers, run.chains)):
                violations.append(
                    f"{request_id} did not pass each layer once and in order"
                )
    return violations


def _check_answer(result: RequestResult, runs: list) -> list[str]:
    violations = []
    if result.kind == "orders" and len(runs) > 1:
        violations.append(f"{result.id} ran {len(runs)} times")
    if result.status in NOT_RUN_STATUSES and runs and result.kind == "orders":
        violations.append(f"{result.id} was reported as not run, but ran")
    if result.status != 200 or not result.is_whole:
        return violations
    if result.receipt not in {f"receipt-{run.runner}" for run in runs}:
        violations.append(f"{result.id} has no receipt of a target that ran it")
    if result.kind == "drafts":
        ids = [int(number) for number, _ in EVENT.findall(result.body)]
        if ids != list(range(1, DRAFT_EVENTS + 1)):
            violations.append(f"{result.id} is a complete answer with events {ids}")
    elif result.body != b"done":
        violations.append(f"{result.id} has an unexpected body: {result.body[:40]!r}")
    return violations


def _covers_all_layers(chain: str) -> bool:
    next_layer = 0
    for part in chain.split(","):
        first, _, end = part.partition("=")[2].partition("-")
        if int(first) != next_layer:
            return False
        next_layer = int(end)
    return next_layer == LAYERS
