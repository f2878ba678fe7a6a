"""Dispatch of one call to an address of its service."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

import h11
from result import Err, Ok, Result

from heathershunt.availability import (
    DAEMON_FIELDS,
    AvailabilityTable,
    decode_notice,
)
from heathershunt.bundle import Service
from heathershunt.clock import Clock, Millis
from heathershunt.crashes import PartGuard
from heathershunt.http import Address, ClientResponse, HttpClient, Response
from heathershunt.ratelimits import (
    RATE_LIMIT_HEADER,
    LimitGuard,
    Statement,
    TargetProcess,
    decode_limit,
)
from heathershunt.services.addresses import (
    MIN_COUNTED_WAIT_MS,
    AddressChooser,
    CallRetryBudget,
)
from heathershunt.services.calls import (
    CallOutcome,
    ServiceCall,
    problem_outcome,
    response_headers,
)
from heathershunt.services.crashes import AddressEnds, CallCrashes
from heathershunt.verdict import Progress

MAX_TRIES = 3
RETRY_DELAY_MS = 20
RETRY_AFTER_MS = 1_000
MAX_ANSWER_BYTES = 8_388_608
UNAVAILABLE_STATUSES = frozenset({502, 503, 504})
KNOWN_STATUSES = frozenset(status.value for status in HTTPStatus)


@dataclass(frozen=True)
class _Failure:
    progress: Progress
    detail: str
    is_too_large: bool = False
    is_broken_off: bool = False


@dataclass(frozen=True, slots=True)
class _Try:
    """One send of a call.

    :param sent_at: time when it began.
    """

    address: Address
    sent_at: Millis


class Dispatcher:
    """Sends calls to plain services and retries them within a budget.

    :param addresses: gives the addresses of a service that are not leaving.
    :param limits: keeps to the limits that addresses name.
    :param guard: refuses calls that crash their targets.
    :param availability: addresses that leave or pause by what their answers said.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        addresses: Callable[[str], Sequence[Address]],
        limits: LimitGuard,
        guard: PartGuard,
        availability: AvailabilityTable,
        source: random.Random | None = None,
    ) -> None:
        self._http = http
        self._clock = clock
        self._addresses = addresses
        self._limits = limits
        self._guard = guard
        self._ends = AddressEnds(clock)
        self._availability = availability
        self._random = source or random.Random()
        self._chooser = AddressChooser(self._random)
        self._budget = CallRetryBudget()

    async def run(
        self, call: ServiceCall, service: Service, deadline: Millis
    ) -> CallOutcome:
        """Run one call and return its final outcome.

        An idempotent call may be retried after any failure; any other call only if no
        byte of it was handed to a socket. A try without an answer goes on until the
        deadline or until another one is answered: its address may only be silent.
        """
        idempotent = service.is_idempotent(call.method, call.path)
        self._budget.record_call()
        crashes = CallCrashes(
            call,
            self._guard,
            self._ends,
            self._http,
            self._addresses,
            lambda address: self._availability.is_leaving(_process_at(address)),
        )
        tried: list[Address] = []
        running: dict[asyncio.Task, _Try] = {}
        outcome: CallOutcome | None = None
        sent = False
        try:
            while True:
                refused = crashes.refusal(sent or bool(running))
                if refused is not None and not running:
                    return refused
                address = None
                if refused is None:
                    address = await self._next_address(call.service, tried, deadline)
                if address is not None:
                    tried.append(address)
                    task = self._start_try(call, address, deadline)
                    running[task] = _Try(address, self._clock.now())
                elif not running:
                    return outcome or self._unsent_outcome(call.service)
                patience_ms = None
                if idempotent and address is not None:
                    patience_ms = self._patience_ms(len(tried), deadline)
                results = await self._wait(running, patience_ms)
                for try_, result in results:
                    await _report(crashes, try_, result)
                    outcome, sent = self._outcome(result, sent, deadline)
                    if _is_final(result, idempotent, sent):
                        return outcome
                if not results:
                    self._chooser.suspect(tried[-1], patience_ms, self._clock.now())
        finally:
            for task in running:
                task.cancel()

    async def _next_address(
        self, service: str, tried: list[Address], deadline: Millis
    ) -> Address | None:
        """Return the address of the next try, or ``None`` if there is to be none."""
        address = self._choose(service, tried)
        if address is None or not tried:
            return address
        return address if await self._may_retry(len(tried), deadline) else None

    def _patience_ms(self, attempt: int, deadline: Millis) -> int:
        """Return the time after which another address is tried as well."""
        left = deadline - self._clock.now()
        return max(1, left // (MAX_TRIES + 1 - attempt))

    async def _wait(
        self, running: dict[asyncio.Task, _Try], patience_ms: int | None
    ) -> list[tuple[_Try, Result[Response, _Failure]]]:
        """Wait for results, and remove their tries from ``running``.

        :param patience_ms: longest wait; the result is empty after it.
        """
        timeout = None if patience_ms is None else patience_ms / 1000
        done, _ = await asyncio.wait(
            running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return [(running.pop(task), task.result()) for task in done]

    def _outcome(
        self, result: Result[Response, _Failure], sent: bool, deadline: Millis
    ) -> tuple[CallOutcome, bool]:
        """Return the outcome after one more result, and whether the call was sent.

        :param sent: whether an earlier try was sent.
        """
        if isinstance(result, Ok):
            return CallOutcome(result.ok_value, Progress.ANSWERED), True
        failure = result.err_value
        sent = sent or failure.progress is not Progress.NOT_SENT
        return self._failure_outcome(failure, sent, deadline), sent

    def _unsent_outcome(self, service: str) -> CallOutcome:
        """Return the outcome of a call for which there was no address."""
        processes = [_process_at(address) for address in self._addresses(service)]
        pause_ms = self._availability.first_wait_ms(processes)
        if pause_ms:
            detail = f"all addresses of the service {service!r} leave or pause"
            after = max(RETRY_AFTER_MS, self._availability.retry_after_ms(pause_ms))
            return problem_outcome(Progress.NOT_SENT, 503, "No address", detail, after)
        wait_ms = self._limits.wait_ms(processes)
        detail = f"no address of the service {service!r} is known"
        if wait_ms:
            detail = f"the service {service!r} has the requests that it takes"
        after = max(RETRY_AFTER_MS, wait_ms or 0)
        return problem_outcome(Progress.NOT_SENT, 503, "No address", detail, after)

    def _choose(self, service: str, tried: list[Address]) -> Address | None:
        spent = self._limits.spent()
        by_id = {str(address): address for address in self._addresses(service)}
        processes = [TargetProcess(address) for address in by_id]
        usable = self._availability.usable(service, processes)
        addresses = [by_id[item.id] for item in usable if item.id not in spent]
        return self._chooser.choose(addresses, tried, self._clock.now())

    async def _may_retry(self, tries: int, deadline: Millis) -> bool:
        delay = RETRY_DELAY_MS * 2**tries * self._random.uniform(0.5, 1.0)
        in_time = self._clock.now() + delay < deadline
        if tries >= MAX_TRIES or not in_time or not self._budget.take():
            return False
        await asyncio.sleep(delay / 1000)
        return True

    def _failure_outcome(
        self, failure: _Failure, sent: bool, deadline: Millis
    ) -> CallOutcome:
        progress = failure.progress
        if sent and progress is Progress.NOT_SENT:
            progress = Progress.SENT
        if failure.is_too_large:
            return problem_outcome(progress, 502, "Answer too large", failure.detail)
        late = self._clock.now() >= deadline
        status = 504 if late else 503 if not sent else 502
        after = None if sent else RETRY_AFTER_MS
        return problem_outcome(
            progress, status, "Service failed", failure.detail, after
        )

    def _start_try(
        self, call: ServiceCall, address: Address, deadline: Millis
    ) -> asyncio.Task:
        return asyncio.create_task(self._try(call, address, deadline))

    async def _try(
        self, call: ServiceCall, address: Address, deadline: Millis
    ) -> Result[Response, _Failure]:
        left = deadline - self._clock.now()
        if left <= 0:
            return Err(_Failure(Progress.NOT_SENT, "the deadline has passed"))
        self._chooser.start(address)
        healthy = None
        try:
            result = await self._exchange(call, address, max(1, left))
            healthy = _is_healthy(result, left)
            return result
        finally:
            self._chooser.finish(address, healthy, self._clock.now())

    async def _exchange(
        self, call: ServiceCall, address: Address, timeout_ms: int
    ) -> Result[Response, _Failure]:
        sent_at = self._clock.now()
        end = sent_at + timeout_ms
        process = _process_at(address)
        self._limits.record_send(process)
        # A new connection for each call: an idle one may have been closed by the peer
        # unnoticed, which would leave the outcome unknown, or may still deliver a
        # duplicate of an answer to another caller.
        outcome = await self._http.request(
            address,
            call.method,
            call.target,
            headers={n: v.encode("latin-1") for n, v in call.headers.items()},
            body=call.body,
            timeout_ms=timeout_ms,
            fresh=True,
            may_send=lambda: self._clock.now() < end,
        )
        if isinstance(outcome, Err):
            error = outcome.err_value
            is_broken_off = error.progress is Progress.SENT and self._clock.now() < end
            return Err(
                _Failure(error.progress, error.detail, is_broken_off=is_broken_off)
            )
        response = outcome.ok_value
        per_s = decode_limit(response.headers, RATE_LIMIT_HEADER)
        self._limits.record(process, Statement(per_s, sent_at))
        notice = decode_notice(response.status, response.fields, DAEMON_FIELDS)
        self._availability.record(process, notice)
        try:
            async with asyncio.timeout(max(1, end - self._clock.now()) / 1000):
                return await _read_answer(response)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            response.close()
            reason = str(error) or type(error).__name__
            detail = f"{address}: answer lost: {reason}"
            is_broken_off = not isinstance(error, TimeoutError)
            return Err(_Failure(Progress.SENT, detail, is_broken_off=is_broken_off))
        except BaseException:
            response.close()
            raise


async def _report(
    crashes: CallCrashes, try_: _Try, result: Result[Response, _Failure]
) -> None:
    """Report what the outcome of a try shows about the call."""
    if isinstance(result, Ok):
        crashes.on_answered()
    elif result.err_value.is_broken_off:
        await crashes.on_broken_off(try_.address, try_.sent_at)


def _is_final(result: Result[Response, _Failure], idempotent: bool, sent: bool) -> bool:
    """Return whether no other try may follow, or none is needed."""
    if isinstance(result, Ok) and result.ok_value.status not in UNAVAILABLE_STATUSES:
        return True
    return sent and not idempotent


def _process_at(address: Address) -> TargetProcess:
    return TargetProcess(str(address))


def _is_healthy(result: Result[Response, _Failure], timeout_ms: int) -> bool | None:
    if isinstance(result, Ok):
        return result.ok_value.status not in UNAVAILABLE_STATUSES
    if result.err_value.is_too_large:
        return True
    # One caller's short deadline must not eject an address for all callers.
    return False if timeout_ms >= MIN_COUNTED_WAIT_MS else None


async def _read_answer(response: ClientResponse) -> Result[Response, _Failure]:
    parts: list[bytes] = []
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            response.close()
            detail = f"the service's answer is larger than {MAX_ANSWER_BYTES} bytes"
            return Err(_Failure(Progress.ANSWERED, detail, True))
        parts.append(chunk)
    headers = response_headers(response.headers)
    status = response.status
    if status not in KNOWN_STATUSES:
        headers["x-service-status"], status = str(status), 502
    return Ok(Response(status, headers, b"".join(parts)))
