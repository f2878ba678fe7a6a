"""Relay of plain calls."""

import asyncio
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from heathershunt.catalog import Route
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import Response, TransportError
from heathershunt.logs.request_events import (
    CallEnded,
    RetryDenied,
    SendFailed,
    SendRejected,
    Sent,
)
from heathershunt.ratelimits import Statement
from heathershunt.relay.context import RelayContext
from heathershunt.relay.messages import CallerRequest, Dispatch, ReplyHead, refuse
from heathershunt.verdict import Progress, may_have_run, not_run

CONNECT_MS = 250
# Fraction of the remaining time for a try of an idempotent call that is not the last.
EARLY_TRY_FRACTION = 0.5
# Fraction of the remaining time for which a call waits until a target takes another
# request by its limit.
LIMIT_WAIT_FRACTION = 0.15
# Targets that refuse a connection have received nothing, so these tries do not count as
# sends.
MAX_CONNECT_FAILURES = 3
# Added to the timeout of the HTTP client, so that the timeout around the whole exchange
# expires first.
REQUEST_TIMEOUT_SLACK_MS = 1000
RETRY_AFTER_MS = 300
SERVER_ERROR = 500
# Statuses that state that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BODY_ERRORS = (OSError, ValueError, h11.RemoteProtocolError)
TIMEOUT_DETAIL = "no complete answer in time"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply from a target."""

    head: ReplyHead
    body: bytes

    def response(self) -> Response:
        """Return the reply as a response to the caller."""
        return Response(self.head.status, self.head.headers, self.body)


class CallRelay:
    """Sends plain calls to the targets of a service, with retries.

    .. versionadded:: 0.2
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._running: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    async def relay(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        account: str | None,
        deadline: Millis,
    ) -> Response:
        """Return the response of a target, or a refusal if none answered.

        :param deadline: time by which the caller must have the response.
        """
        context = self._context
        context.budget.record_request(service)
        context.limits.record_request()
        tried: set[str] = set()
        sends = connect_failures = 0
        may_have_started = False
        last: Result[Reply, TransportError] | None = None
        while sends < route.max_attempts and connect_failures < MAX_CONNECT_FAILURES:
            await self._wait_for_limits(service, tried, deadline)
            target = self._choose_target(service, tried)
            left_ms = deadline - context.clock.now()
            if target is None or left_ms <= 0:
                break
            if sends and not context.budget.take(service, context.vm_count()):
                context.events.emit(RetryDenied(request.id, service))
                break
            tried.add(target.id)
            context.limits.record_send(target)
            waited_ms = context.clock.now() - request.received_at
            context.events.emit(Sent(request.id, target.id, (), sends, waited_ms))
            may_retry = route.is_retryable and sends + 1 < route.max_attempts
            try_ms = int(left_ms * EARLY_TRY_FRACTION) if may_retry else left_ms
            last = await self._send(request, target, account, left_ms, try_ms)
            self._record_outcome(request, target, last)
            if isinstance(last, Err):
                if last.err_value.progress is Progress.NOT_SENT:
                    connect_failures += 1
                    continue
                sends += 1
                may_have_started = True
                if not route.is_retryable:
                    break
                continue
            sends += 1
            head = last.ok_value.head
            should_retry = head.is_not_run or (
                route.is_retryable and head.status >= SERVER_ERROR
            )
            if not should_retry:
                break
            may_have_started |= not head.is_not_run
        wait_ms = self._limits_wait_ms(service, tried) if not sends else None
        pause_ms = self._pause_ms(service)
        response = self._answer(
            request, last, deadline, may_have_started, wait_ms, pause_ms
        )
        event = CallEnded(
            request.id,
            status=response.status,
            may_have_run=may_have_started or response.status not in NOT_RUN_STATUSES,
            sends=sends,
            connect_failures=connect_failures,
            targets=tuple(sorted(tried)),
            elapsed_ms=context.clock.now() - request.received_at,
        )
        context.events.emit(event)
        return response

    def _untried(self, service: str, tried: set[str]) -> list[Target]:
        """Return the targets that may be sent the call, whatever their limits are."""
        context = self._context
        targets = context.registry.of_service(service)
        usable = context.availability.usable(service, targets, self._is_any_working)
        return [target for target in usable if target.id not in tried]

    def _pause_ms(self, service: str) -> int:
        """Return the time until a target takes requests again; 0 if one does now."""
        targets = self._context.registry.of_service(service)
        return self._context.availability.first_wait_ms(targets, self._is_any_working)

    def _is_any_working(self, targets: Collection[Target]) -> bool:
        return any(not self._context.suspects.is_ejected(item) for item in targets)

    def _limits_wait_ms(self, service: str, tried: set[str]) -> int | None:
        """Return the time until a target takes a request by its limit; 0 for now."""
        targets = self._untried(service, tried)
        return self._context.limits.wait_ms(targets, self._waiting[service])

    async def _wait_for_limits(
        self, service: str, tried: set[str], deadline: Millis
    ) -> None:
        """Wait until a target takes a request, if that is soon; else return at once."""
        wait_ms = self._limits_wait_ms(service, tried)
        left_ms = deadline - self._context.clock.now()
        if not wait_ms or wait_ms > left_ms * LIMIT_WAIT_FRACTION:
            return
        self._waiting[service] += 1
        try:
            await asyncio.sleep(wait_ms / 1000)
        finally:
            self._waiting[service] -= 1

    def _choose_target(self, service: str, tried: set[str]) -> Target | None:
        """Return the target with the lowest slot usage, preferably a healthy one."""
        context = self._context
        targets = self._untried(service, tried)
        spent = context.limits.spent()
        targets = [target for target in targets if target.id not in spent]
        healthy = [
            target
            for target in targets
            if not context.suspects.is_suspect(target)
            and not context.registry.is_missing(target.id)
        ]

        def cost(target: Target) -> tuple[float, bool, str]:
            used = self._running[target.id] / target.slots
            return (used, target.domain != context.domain, target.id)

        return min(healthy or targets, key=cost, default=None)

    async def _send(
        self,
        request: CallerRequest,
        target: Target,
        account: str | None,
        left_ms: int,
        try_ms: int,
    ) -> Result[Reply, TransportError]:
        self._running[target.id] += 1
        response = None
        sent_at = self._context.clock.now()
        try:
            async with asyncio.timeout(try_ms / 1000):
                outcome = await self._context.http.request(
                    target.address,
                    request.method,
                    request.target,
                    headers=self._context.wire.fields(
                        request, Dispatch(target, left_ms, account)
                    ),
                    body=request.body,
                    timeout_ms=try_ms + REQUEST_TIMEOUT_SLACK_MS,
                    connect_ms=min(CONNECT_MS, try_ms),
                    fresh=True,
                )
                if isinstance(outcome, Err):
                    return outcome
                response = outcome.ok_value
                head = self._context.wire.reply_head(response)
                self._context.limits.record(
                    target, Statement(head.limit_per_s, sent_at)
                )
                self._context.availability.record(target, head.notice)
                return Ok(Reply(head, await response.read()))
        except TimeoutError:
            return Err(TransportError(Progress.SENT, TIMEOUT_DETAIL))
        except BODY_ERRORS as error:
            reason = str(error) or type(error).__name__
            return Err(TransportError(Progress.SENT, reason))
        finally:
            self._running[target.id] -= 1
            if response is not None:
                response.close()

    def _record_outcome(self, request: CallerRequest, target: Target, outcome) -> None:
        """Log the outcome of a send, and eject or readmit its target."""
        context = self._context
        if isinstance(outcome, Err):
            if outcome.err_value.detail == TIMEOUT_DETAIL:
                context.suspects.record_timeout(target)
            else:
                context.suspects.eject(target)
            error = outcome.err_value
            event = SendFailed(
                request.id, target.id, error.progress.value, error.detail
            )
            context.events.emit(event)
            return
        head = outcome.ok_value.head
        if head.is_not_run:
            context.events.emit(SendRejected(request.id, target.id, head.status))
        else:
            context.suspects.record_success(target)

    def _answer(
        self,
        request: CallerRequest,
        last: Result[Reply, TransportError] | None,
        deadline: Millis,
        may_have_started: bool,
        limit_wait_ms: int | None,
        pause_ms: int,
    ) -> Response:
        """Return the response to the caller.

        :param limit_wait_ms: time until a target takes a request by its limit, if the
            call was not sent.
        :param pause_ms: time until a target takes requests, if all of them leave or
            pause by their answers.
        """
        wire = self._context.wire
        detail = "no target takes the request"
        if pause_ms:
            detail = "all targets leave or pause"
        elif limit_wait_ms:
            detail = "all targets have the requests that they take"
        if isinstance(last, Err):
            detail = last.err_value.detail
        elif last is not None and last.ok_value.head.is_not_run:
            detail = f"a target rejected it with status {last.ok_value.head.status}"
        if last is None or isinstance(last, Err) or last.ok_value.head.is_not_run:
            if not may_have_started:
                retry_after_ms = max(RETRY_AFTER_MS, limit_wait_ms or 0)
                if pause_ms:
                    availability = self._context.availability
                    retry_after_ms = availability.retry_after_ms(pause_ms)
                refusal = not_run(503, "No target", detail, retry_after_ms)
            elif self._context.clock.now() >= deadline:
                refusal = may_have_run(504, "Timeout", detail)
            else:
                refusal = may_have_run(502, "Target failed", detail)
            return refuse(wire, refusal, request)
        reply = last.ok_value
        head = reply.head
        is_mismatched = head.request_id != request.id
        if is_mismatched or (head.is_success and not head.has_signature):
            refusal = may_have_run(502, "Target failed", "the reply is not for this id")
            return refuse(wire, refusal, request)
        return reply.response()
