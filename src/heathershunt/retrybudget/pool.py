"""Calls of a VM for retries of the pools, and the answers to such calls."""

import asyncio
from collections.abc import Callable, Sequence

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.logs import RepeatLimiter
from heathershunt.retrybudget.grants import GrantId, HeldGrants
from heathershunt.retrybudget.ledger import (
    MAX_RETRIES_PER_GRANT,
    GrantLedger,
)
from heathershunt.retrybudget.messages import (
    RETRIES_PATH,
    RetryAnswer,
    RetryRequest,
    decode_answer,
    decode_request,
)
from heathershunt.retrybudget.pacing import CallPacer, RecentNeeds
from heathershunt.retrybudget.waiting import RetryQueue
from heathershunt.schema.decoding import MalformedError, decode_untrusted

log = logbook.Logger("heathershunt.retrybudget")

# Wait of a request that may not wait for longer.
SHORT_WAIT_MS = 100
# A late answer may still serve streams that wait for longer than others.
CALL_TIMEOUT_MS = 300
MAX_ANSWER_BYTES = 4096
# Coordinators whose terms are kept; it exceeds the groups of the largest fleet.
MAX_TERMS = 64
NO_ANSWER = "no_answer"
NOT_ASKED = "not_asked"


class RetryPool:
    """Asks coordinators for the retries that requests wait for.

    :param vm: name of this VM.
    :param coordinators: returns the addresses of the coordinators by preference, that
        of the own group first; ``None`` stands for this VM itself.
    :param ledger: grants of this VM if it is the coordinator.
    :param held: receives what is granted to this VM.
    :ivar queue: requests that wait.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        vm: str,
        coordinators: Callable[[], Sequence[Address | None]],
        ledger: GrantLedger,
        held: HeldGrants,
    ) -> None:
        self._http = http
        self._clock = clock
        self._vm = vm
        self._read_coordinators = coordinators
        self._coordinators: Sequence[Address | None] = ()
        self._ledger = ledger
        self._held = held
        self._pacer = CallPacer(clock)
        self._needs = RecentNeeds(clock)
        self._lines = RepeatLimiter(clock)
        self._reason_by_service: dict[str, str] = {}
        self._term_by_address: dict[Address | None, str] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self.queue = RetryQueue()

    def update(self) -> None:
        """Take over changes of the coordinators; called at short intervals."""
        self._coordinators = self._read_coordinators()

    def last_reason(self, service: str) -> str:
        """Return what the last call for a service led to."""
        return self._reason_by_service.get(service, NOT_ASKED)

    async def wait(self, service: str, has_begun: bool, limit_ms: float) -> bool:
        """Wait for the turn of a request; return whether it may try to take a retry.

        :param has_begun: whether a part of the answer was already delivered.
        :param limit_ms: longest wait.
        """
        self._needs.record(service, has_begun)
        with self.queue.joined(service, has_begun) as turn:
            self.ask(service)
            done, _ = await asyncio.wait({turn}, timeout=limit_ms / 1000)
            return bool(done)

    def ask(self, service: str) -> None:
        """Ask for what requests of a service wait for, if that may be done now.

        A coordinator of another group is asked if that of the own group has nothing.
        """
        usable = self._pacer.usable(service, self._coordinators)
        if usable[:1] == [None]:
            message = self._request(None, service)
            if message is not None:
                answer, now = self._answer(message), self._clock.now()
                self._apply(None, message, answer, now)
            usable = self._pacer.usable(service, self._coordinators)
        if usable and usable[0] is not None and service in self.queue.services():
            self._pacer.start(service)
            call = asyncio.create_task(self._call(usable[0], service))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _request(self, address: Address | None, service: str) -> RetryRequest | None:
        """Return the request for what is waited for; ``None`` if there is nothing."""
        has_begun = self.queue.count(service, True) > 0
        wanted = self.queue.count(service, has_begun)
        if not wanted:
            return None
        if address is not None:
            wanted += self._needs.count(service, has_begun)
        unused = self._held.take_unused(service, self._term_by_address.get(address))
        return RetryRequest.from_unused(
            self._vm, service, min(wanted, MAX_RETRIES_PER_GRANT), has_begun, unused
        )

    def close(self) -> None:
        """Cancel the calls in flight."""
        for call in self._calls:
            call.cancel()

    async def _call(self, address: Address, service: str) -> None:
        """Call a coordinator for all requests that began to wait in one moment."""
        message = self._request(address, service)
        asked_at = self._clock.now()
        answer = None
        try:
            if message is not None:
                answer = await self._send(address, message)
        finally:
            self._pacer.end(service)
        if answer is not None:
            self._apply(address, message, answer, asked_at)
            self.ask(service)
        elif message is not None:
            self._pacer.record_failure(address)
            self._reason_by_service[service] = NO_ANSWER

    async def _send(
        self, address: Address, message: RetryRequest
    ) -> RetryAnswer | None:
        outcome = await self._http.exchange(
            address,
            "POST",
            RETRIES_PATH,
            body=msgspec.msgpack.encode(message),
            timeout_ms=CALL_TIMEOUT_MS,
            limit=MAX_ANSWER_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            self._log(address, f"no answer on retries: {outcome.err_value.detail}")
            return None
        status, raw = outcome.ok_value
        if status != 200:
            self._log(address, f"no answer on retries: status {status}")
            return None
        try:
            return decode_untrusted(decode_answer, raw)
        except MalformedError as error:
            self._log(address, f"malformed answer on retries: {error}")
            return None

    def _apply(
        self,
        address: Address | None,
        message: RetryRequest,
        answer: RetryAnswer,
        asked_at: Millis,
    ) -> None:
        service = message.service
        self._reason_by_service[service] = answer.reason.value
        if not answer.retries:
            self._pacer.record_empty(service, address)
            return
        self._term_by_address = {
            **dict(list(self._term_by_address.items())[-MAX_TERMS:]),
            address: answer.term,
        }
        grant_id = GrantId(answer.term, answer.number)
        self._held.add(service, grant_id, answer.retries, message.has_begun, asked_at)
        usable = self._held.count(service, message.has_begun)
        self.queue.call_next(service, usable, message.has_begun)

    async def handle(self, request: Request) -> Response:
        """Answer the call of a VM; 400 if it is malformed."""
        try:
            message = decode_untrusted(decode_request, request.body)
        except MalformedError as error:
            self._log("another VM", f"malformed request for retries: {error}")
            return Response(400)
        return Response(200, {}, msgspec.msgpack.encode(self._answer(message)))

    def _answer(self, message: RetryRequest) -> RetryAnswer:
        ledger, vm, service = self._ledger, message.vm, message.service
        ledger.give_back(vm, service, message.unused_by_grant())
        decision = ledger.grant(vm, service, message.retries, message.has_begun)
        return RetryAnswer.from_decision(decision)

    def _log(self, subject: object, detail: str) -> None:
        """Log a failure of a VM, unless one was logged a short time ago."""
        if self._lines.take(str(subject)):
            log.warning("{}: {}", subject, detail)
