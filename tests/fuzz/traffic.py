"""Callers of the fleet machine, which resume drafts and repeat orders."""

import asyncio
import itertools
import json
from dataclasses import dataclass, field

from heathershunt.http import Address
from standins.caller import Caller, Transcript
from tests.fuzz.fleet import DAEMONS, FuzzFleet

ORDERS_PATH = "/v1/services/orders/orders"
# A caller that receives nothing for this long treats its connection as lost. The limit
# exceeds the progress deadline of a draft that is being recovered.
SILENCE_SECONDS = 4.0
ORDER_TIMEOUT_SECONDS = 12
RETRY_PAUSE_SECONDS = 0.2


@dataclass
class Post:
    """One ``POST`` request for a draft.

    :param vm: daemon that it was sent to.
    :param was_drained: the drain bound of the daemon had passed when the request was
        sent, and the daemon was not admitted again before the answer began.
    """

    vm: str
    was_drained: bool
    transcript: Transcript


@dataclass
class DraftRecord:
    """One draft and what its caller received.

    :param count: number of tokens asked for.
    :param prefix: tokens from earlier requests, sent as ``received`` in the next one.
    :param posts: every ``POST``, in order.
    :param final: transcript of the last request, ``None`` until the draft has ended.
    :param resumes: number of requests to resume the stream.
    """

    prompt: str
    count: int
    prefix: list[str] = field(default_factory=list)
    posts: list[Post] = field(default_factory=list)
    final: Transcript | None = None
    resumes: int = 0

    @property
    def tokens(self) -> list[str]:
        """Return all tokens that the caller has received."""
        return self.prefix + (self.final.tokens if self.final else [])


@dataclass
class Attempt:
    """One request for an order.

    :param marker: name of a header unique to the attempt, by which the ledger shows it.
    :param key: idempotency key, empty for none.
    :param status: status of the answer; -1 before its end, 0 without an answer.
    :param began: event loop time in seconds when the request was sent.
    :param ended: event loop time in seconds when the answer or a failure came.
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
    """Sends drafts and orders to a fleet and records what the callers receive.

    :param prefix: start of the prompts, orders and keys, unique to the example.
    """

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
        """Check that a drained daemon refuses a draft sent to it without a proxy."""
        address = self.fleet.deployment.ports_by_daemon[vm].callers
        prompt = f"{self._prefix} draft for {vm}, which is drained"
        async with asyncio.timeout(SILENCE_SECONDS):
            transcript = await Caller("parish-token").draft(address, prompt, 2)
        assert transcript.problem and transcript.problem["verdict"] == "not_run", (
            f"drained {vm} did not refuse: {transcript}"
        )

    async def finish(self, seconds: float) -> None:
        """Wait until every caller has its final answer; fail after ``seconds``."""
        if not self._tasks:
            return
        done, pending = await asyncio.wait(self._tasks, timeout=seconds)
        unfinished = [d.prompt for d in self.drafts if d.final is None]
        assert not pending, f"no final answer within {seconds} s: {unfinished}"
        for task in done:
            task.result()

    async def cancel(self) -> None:
        """Cancel all callers."""
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
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            elif self._is_resume_refused(transcript):
                # Another VM, or this one once it is ready, can still resume the stream.
                transcript.problem = None
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            elif transcript.problem and transcript.problem.get("status") == 410:
                # The owner of the draft is lost: request the rest by a new POST.
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
        """Read a stream until its end or ``SILENCE_SECONDS`` without data."""
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
        """Request an idempotency key from a daemon; return ``None`` on failure."""
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
        """Return a new idempotency key made by the caller."""
        return f"{self._prefix}-key-{next(self._numbers)}"

    def order(self, vm: str, key: str, body: str = "", delay_ms: int = 0) -> None:
        """Place an order in the background, without a key if ``key`` is empty."""
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
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                status, _, body = await Caller("parish-token").call(
                    self.fleet.callers_by_daemon[vm],
                    "POST",
                    ORDERS_PATH,
                    attempt.body.encode(),
                    **headers,
                )
        except (TimeoutError, ConnectionError):
            status = 0
        attempt.ended, attempt.status = loop.time(), status
        if status not in (0, 200):
            attempt.verdict = json.loads(body)["verdict"]
