"""Callers of the fuzzing machine: drafts that are resumed, orders that are repeated."""

import asyncio
import itertools
import json
from dataclasses import dataclass, field

from heathershunt.http import Address
from standins.caller import Caller, Transcript
from tests.fuzz.fleet import DAEMONS, FuzzFleet

ORDERS = "/v1/services/orders/orders"
# A caller that has heard nothing for this long takes its connection for lost. It is
# longer than the progress deadline of a draft that is being recovered.
SILENCE_SECONDS = 4.0
ORDER_SECONDS = 12
REST_SECONDS = 0.2


@dataclass
class Post:
    """One request for a draft.

    :param was_drained: the drain bound of the daemon had passed when the request was
        sent, and the daemon was not admitted again before the answer began.
    """

    vm: str
    was_drained: bool
    transcript: Transcript


@dataclass
class DraftRecord:
    """One draft as its caller saw it.

    :param prefix: tokens of earlier requests, handed over as ``received``.
    :param posts: every ``POST``, in order.
    """

    prompt: str
    count: int
    prefix: list[str] = field(default_factory=list)
    posts: list[Post] = field(default_factory=list)
    final: Transcript | None = None
    resumes: int = 0

    @property
    def tokens(self) -> list[str]:
        """Return all tokens that the caller has."""
        return self.prefix + (self.final.tokens if self.final else [])


@dataclass
class Attempt:
    """One request for an order.

    :param marker: header whose name appears in the ledger, unique to the attempt.
    """

    number: int
    marker: str
    key: str
    body: str
    status: int = -1
    verdict: str = ""
    began: float = 0.0
    ended: float = 0.0


class Traffic:
    """Starts drafts and orders against a fleet and keeps what the callers saw."""

    def __init__(self, fleet: FuzzFleet, prefix: str) -> None:
        self.fleet = fleet
        self.drafts: list[DraftRecord] = []
        self.attempts: list[Attempt] = []
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    async def check_refuses(self, vm: str) -> None:
        """Check that a drained daemon refuses a draft that is sent straight to it."""
        address = self.fleet.deployment.ports_by_daemon[vm].callers
        prompt = f"{self._prefix} draft for {vm}, which is drained"
        async with asyncio.timeout(SILENCE_SECONDS):
            got = await Caller("parish-token").draft(address, prompt, 2)
        assert got.problem and got.problem["verdict"] == "not_run", f"{vm}: {got}"

    async def finish(self, seconds: float) -> None:
        """Wait until every caller has its final answer, within ``seconds``."""
        if not self._tasks:
            return
        done, pending = await asyncio.wait(self._tasks, timeout=seconds)
        unfinished = [d.prompt for d in self.drafts if d.final is None]
        assert not pending, f"no final answer within {seconds} s: {unfinished}"
        for task in done:
            task.result()

    async def cancel(self) -> None:
        """End all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Drafts

    def start_draft(self, vm: str, count: int) -> None:
        """Start a draft in the background."""
        prompt = f"{self._prefix} draft {next(self._numbers)} for the harbour office"
        record = DraftRecord(prompt, count)
        self.drafts.append(record)
        self._spawn(self._draft(record, vm))

    async def _draft(self, record: DraftRecord, vm: str) -> None:
        caller = Caller("parish-token")
        vms = itertools.cycle(DAEMONS[DAEMONS.index(vm) :] + DAEMONS)
        transcript = None
        while record.final is None:
            vm = next(vms)
            if transcript is None or not transcript.request_id:
                transcript = await self._post(caller, record, vm)
            else:
                transcript = await self._resume(caller, record, vm, transcript)
            if not transcript.is_complete and transcript.problem is None:
                await asyncio.sleep(REST_SECONDS)
            elif self._is_resume_refused(transcript):
                # Another VM, or this one when it is ready, still owes the answer.
                transcript.problem = None
                await asyncio.sleep(REST_SECONDS)
            elif transcript.problem and transcript.problem.get("status") == 410:
                # The owner is gone: the answer goes on after the text received.
                record.prefix += transcript.tokens
                transcript = None
            else:
                record.final = transcript

    @staticmethod
    def _is_resume_refused(transcript: Transcript) -> bool:
        problem = transcript.problem or {}
        return bool(transcript.request_id) and problem.get("status") == 503

    async def _post(self, caller, record: DraftRecord, vm: str) -> Transcript:
        transcript = Transcript(last_event_id=len(record.prefix) - 1)
        post = Post(vm, self.fleet.is_drained(vm), transcript)
        record.posts.append(post)

        def on_begun():
            post.was_drained &= self.fleet.is_drained(vm)

        payload = {"model": "m", "prompt": record.prompt, "stream": True}
        payload |= {"max_tokens": record.count}
        payload |= {"heathershunt": {"received": record.prefix}}
        target = "/v1/completions"
        return await self._stream(
            caller, vm, "POST", target, {}, payload, transcript, on_begun
        )

    async def _resume(self, caller, record, vm: str, transcript) -> Transcript:
        record.resumes += 1
        transcript.broken = ""
        headers = {"last-event-id": str(transcript.last_event_id)}
        target = f"/v1/completions/{transcript.request_id}"
        return await self._stream(caller, vm, "GET", target, headers, None, transcript)

    async def _stream(
        self, caller, vm, method, target, headers, payload, transcript, on_begun=None
    ) -> Transcript:
        """Read a stream until its end, or until it has been silent for too long."""
        loop = asyncio.get_running_loop()
        address: Address = self.fleet.callers_by_daemon[vm]

        def on_token(_):
            nonlocal on_begun
            limit.reschedule(loop.time() + SILENCE_SECONDS)
            if on_begun:
                on_begun()
            on_begun = None

        try:
            async with asyncio.timeout(SILENCE_SECONDS) as limit:
                return await caller.stream(
                    address,
                    method,
                    target,
                    headers,
                    payload,
                    transcript,
                    on_token,
                )
        except TimeoutError:
            transcript.broken = "silent"
            return transcript

    # Orders

    async def issued_key(self, vm: str) -> str | None:
        """Ask a daemon for an idempotency key."""
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                address = self.fleet.callers_by_daemon[vm]
                status, _, body = await Caller("parish-token").call(
                    address, "GET", "/v1/address"
                )
        except (TimeoutError, ConnectionError):
            return None
        return json.loads(body).get("idempotency_key") if status == 200 else None

    def own_key(self) -> str:
        """Return a new key of the caller's own."""
        return f"{self._prefix}-key-{next(self._numbers)}"

    def order(self, vm: str, key: str, body: str = "", delay_ms: int = 0) -> None:
        """Place an order in the background; an empty ``key`` sends none."""
        number = next(self._numbers)
        body = body or f"{self._prefix} order {number}"
        attempt = Attempt(number, f"x-attempt-{self._prefix}-{number}", key, body)
        self.attempts.append(attempt)
        self._spawn(self._order(attempt, vm, delay_ms))

    async def _order(self, attempt: Attempt, vm: str, delay_ms: int) -> None:
        headers = {attempt.marker: "1", "x-delay-ms": str(delay_ms)}
        if attempt.key:
            headers["idempotency-key"] = attempt.key
        loop = asyncio.get_running_loop()
        attempt.began, status, body = loop.time(), 0, b""
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                status, _, body = await Caller("parish-token").call(
                    self.fleet.callers_by_daemon[vm],
                    "POST",
                    ORDERS,
                    attempt.body.encode(),
                    **headers,
                )
        except (TimeoutError, ConnectionError):
            status = 0
        attempt.ended, attempt.status = loop.time(), status
        if status not in (0, 200):
            attempt.verdict = json.loads(body)["verdict"]
