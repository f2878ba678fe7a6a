"""Relay of plain calls."""

import asyncio
from collections import Counter
from collections.abc import Collection, Sequence
from functools import partial

import h11
from result import Err, Ok, Result

from heathershunt.catalog import Route
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import Response, StreamResponse, TransportError
from heathershunt.logs.request_events import (
    CallEnded,
    SendFailed,
    SendRejected,
    Sent,
)
from heathershunt.ratelimits import Statement
from heathershunt.relay.call import (
    SERVER_ERROR,
    TIMEOUT_DETAIL,
    Call,
    Reply,
    is_answer,
    is_server_error,
    report_outcome,
)
from heathershunt.relay.call_crashes import CallWitness
from heathershunt.relay.context import RelayContext
from heathershunt.relay.earlier import (
    NO_SENDS,
    EarlierSends,
    Fallback,
    Unserved,
    no_fallback,
)
from heathershunt.relay.handover import hand_over
from heathershunt.relay.messages import (
    NOT_RUN_STATUSES,
    CallerRequest,
    Dispatch,
    refuse,
)
from heathershunt.relay.retrying import RequestRetries
from heathershunt.retrybudget import SHORT_WAIT_MS
from heathershunt.verdict import Progress, Refusal, may_have_run, not_run

CONNECT_MS = 250
# Fraction of the remaining time after which an idempotent call is sent to a second
# target too.
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
BODY_ERRORS = (OSError, ValueError, h11.RemoteProtocolError)


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
        earlier: EarlierSends = NO_SENDS,
        fallback: Fallback = no_fallback,
    ) -> Response | StreamResponse:
        """Return the response of a target, or a refusal if none answered.

        :param deadline: time by which the caller must have the response.
        :param earlier: sends of the call by other VMs.
        :param fallback: asked for an answer before the call is refused.
        """
        context = self._context
        if not earlier.is_counted:
            context.budget.record_request(service)
        context.limits.record_request()
        witness = CallWitness(context, request, account)
        retries = RequestRetries(context, request.id, service)
        call = Call(request, route, service, account, deadline, witness, retries)
        call.add_earlier(earlier)
        outcome = await self._try_targets(call)
        if isinstance(outcome, Refusal):
            if not witness.is_blocked():
                answer = await fallback(Unserved(outcome, call.all_sends()))
                if isinstance(answer, (Response, StreamResponse)):
                    return answer
                outcome = answer or outcome
            response = refuse(context.wire, outcome, request)
        else:
            response = outcome.response()
        event = CallEnded(
            request.id,
            status=response.status,
            may_have_run=call.may_have_started
            or response.status not in NOT_RUN_STATUSES,
            sends=call.sends,
            connect_failures=call.connect_failures,
            targets=tuple(sorted(call.tried)),
            elapsed_ms=context.clock.now() - request.received_at,
        )
        context.events.emit(event)
        return response

    async def _try_targets(self, call: Call) -> Reply | Refusal:
        """Send a call to targets until one answers it; return why none does."""
        context = self._context
        last: Result[Reply, TransportError] | None = None
        while call.may_be_sent and call.connect_failures < MAX_CONNECT_FAILURES:
            await self._wait_for_limits(call)
            if not context.links.sends_locally:
                break
            refused = call.witness.refusal(call.may_have_started)
            if refused is not None:
                return refused
            target = self._choose_target(call)
            left_ms = call.deadline - context.clock.now()
            if target is None or left_ms <= 0:
                break
            if call.sends and not call.retries.take(has_begun=False):
                if await call.retries.wait(min(SHORT_WAIT_MS, left_ms), False):
                    continue
                call.retries.record_denial(has_begun=False)
                break
            self._record_send(call, target)
            sent_at = context.clock.now()
            exchange = asyncio.ensure_future(self._send(call, target, left_ms))
            if not await self._is_done_early(call, exchange, left_ms):
                return await self._hand_over(call, target, exchange, sent_at)
            last = await exchange
            self._record_outcome(call.request, target, last)
            await report_outcome(call.witness, target, sent_at, last)
            if not self._should_retry(call, target, last):
                break
        if call.held is not None and is_server_error(last):
            # The silent target may still give a better answer.
            await asyncio.wait({call.held})
        return self._conclude(call, last)

    def _record_send(self, call: Call, target: Target) -> None:
        context, request = self._context, call.request
        call.tried.add(target.id)
        context.limits.record_send(target)
        waited_ms = context.clock.now() - request.received_at
        event = Sent(request.id, target.id, (), call.sends, waited_ms)
        context.events.emit(event)

    async def _is_done_early(
        self, call: Call, exchange: asyncio.Future, left_ms: int
    ) -> bool:
        """Return whether an exchange ends before another target is to be tried."""
        if not call.may_be_repeated or call.held is not None:
            return True
        try:
            await asyncio.wait({exchange}, timeout=left_ms * EARLY_TRY_FRACTION / 1000)
        except asyncio.CancelledError:
            exchange.cancel()
            raise
        return exchange.done()

    async def _hand_over(
        self, call: Call, target: Target, exchange: asyncio.Future, sent_at: Millis
    ) -> Reply | Refusal:
        """Wait for a silent target, and try others meanwhile."""
        self._context.suspects.record_timeout(target)
        call.record_send(target)
        call.may_have_started = True
        call.held = exchange
        outcome, _ = await hand_over(
            self._held_reply(call, target, exchange, sent_at),
            partial(self._try_targets, call),
        )
        return outcome

    async def _held_reply(
        self, call: Call, target: Target, exchange: asyncio.Future, sent_at: Millis
    ) -> Reply | None:
        """Return the reply of a silent target; ``None`` if it has no answer."""
        outcome = await exchange
        # Its timeout was counted when the second send was due.
        self._record_outcome(call.request, target, outcome, counts_timeout=False)
        await report_outcome(call.witness, target, sent_at, outcome)
        if isinstance(outcome, Err) or not is_answer(outcome.ok_value):
            return None
        return outcome.ok_value

    def _should_retry(
        self, call: Call, target: Target, last: Result[Reply, TransportError]
    ) -> bool:
        """Count a try, and return whether its outcome calls for another one."""
        if isinstance(last, Err):
            if last.err_value.progress is Progress.NOT_SENT:
                call.connect_failures += 1
                return True
            call.record_send(target)
            call.may_have_started = True
            return call.route.is_retryable
        call.record_send(target)
        head = last.ok_value.head
        if head.is_not_run:
            return True
        if not call.route.is_retryable or head.status < SERVER_ERROR:
            return False
        call.may_have_started = True
        return True

    def _untried(self, call: Call) -> list[Target]:
        """Return the targets that may be sent the call, whatever their limits are."""
        context = self._context
        targets = context.registry.of_service(call.service)
        usable = context.availability.usable(
            call.service, targets, self._is_any_working
        )
        return [target for target in usable if target.id not in call.tried]

    def _pause_ms(self, service: str) -> int:
        """Return the time until a target takes requests again; 0 if one does now."""
        targets = self._context.registry.of_service(service)
        return self._context.availability.first_wait_ms(targets, self._is_any_working)

    def _is_any_working(self, targets: Collection[Target]) -> bool:
        return any(not self._context.suspects.is_ejected(item) for item in targets)

    def running(self, target: Target) -> int:
        """Return the calls of this VM that run at a target.

        .. versionadded:: 0.10
        """
        return self._running[target.id]

    def usage(self, target: Target) -> float:
        """Return the calls of this VM that run at a target, for each of its slots.

        .. versionadded:: 0.10
        """
        return self.running(target) / target.slots

    def waiting(self, service: str) -> int:
        """Return how many calls of a service wait for the limits of its targets.

        .. versionadded:: 0.10
        """
        return self._waiting[service]

    def _limits_wait_ms(self, call: Call) -> int | None:
        """Return the time until a target takes a request by its limit; 0 for now."""
        waiting = self._waiting[call.service]
        return self._context.limits.wait_ms(self._untried(call), waiting)

    async def _wait_for_limits(self, call: Call) -> None:
        """Wait until a target takes a request, if that is soon; else return at once."""
        wait_ms = self._limits_wait_ms(call)
        left_ms = call.deadline - self._context.clock.now()
        if not wait_ms or wait_ms > left_ms * LIMIT_WAIT_FRACTION:
            return
        self._waiting[call.service] += 1
        try:
            await asyncio.sleep(wait_ms / 1000)
        finally:
            self._waiting[call.service] -= 1

    def _choose_target(self, call: Call) -> Target | None:
        """Return the target with the lowest slot usage, preferably a healthy one."""
        return self.preferred(self._untried(call))

    def preferred(self, targets: Sequence[Target]) -> Target | None:
        """Return the target to send a call to; ``None`` if no limit leaves one.

        :param targets: targets that may be sent the call, whatever their limits are.

        .. versionadded:: 0.10
        """
        context = self._context
        spent = context.limits.spent()
        targets = [target for target in targets if target.id not in spent]
        healthy = [
            target
            for target in targets
            if not context.suspects.is_suspect(target)
            and not context.registry.is_missing(target.id)
        ]

        def cost(target: Target) -> tuple[float, bool, str]:
            return (self.usage(target), target.domain != context.domain, target.id)

        return min(healthy or targets, key=cost, default=None)

    async def _send(
        self, call: Call, target: Target, left_ms: int
    ) -> Result[Reply, TransportError]:
        request = call.request
        self._running[target.id] += 1
        response = None
        sent_at = self._context.clock.now()
        try:
            async with asyncio.timeout(left_ms / 1000):
                outcome = await self._context.http.request(
                    target.address,
                    request.method,
                    request.target,
                    headers=self._context.wire.fields(
                        request, Dispatch(target, left_ms, call.account)
                    ),
                    body=request.body,
                    timeout_ms=left_ms + REQUEST_TIMEOUT_SLACK_MS,
                    connect_ms=min(CONNECT_MS, left_ms),
                    fresh=True,
                )
                if isinstance(outcome, Err):
                    return outcome
                response = outcome.ok_value
                head = self._context.wire.reply_head(response)
                error = head.error_unless_to(request.id)
                if error is not None:
                    return Err(error)
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

    def _record_outcome(
        self,
        request: CallerRequest,
        target: Target,
        outcome: Result[Reply, TransportError],
        counts_timeout: bool = True,
    ) -> None:
        """Log the outcome of a send, and eject or readmit its target."""
        context = self._context
        if isinstance(outcome, Err):
            if outcome.err_value.detail == TIMEOUT_DETAIL:
                if counts_timeout:
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

    def _conclude(
        self, call: Call, last: Result[Reply, TransportError] | None
    ) -> Reply | Refusal:
        """Return the reply for the caller, or why there is none."""
        if isinstance(last, Ok) and not last.ok_value.head.is_not_run:
            head = last.ok_value.head
            if is_answer(last.ok_value):
                return last.ok_value
            detail = f"it replied {head.status}"
            if head.is_success:
                detail = "the reply has no signature"
            return may_have_run(502, "Target failed", detail)
        limit_wait_ms = self._limits_wait_ms(call) if not call.sends else None
        pause_ms = self._pause_ms(call.service)
        detail = "no target takes the request"
        if pause_ms:
            detail = "all targets leave or pause"
        elif limit_wait_ms:
            detail = "all targets have the requests that they take"
        if isinstance(last, Err):
            detail = last.err_value.detail
        elif last is not None:
            detail = f"a target rejected it with status {last.ok_value.head.status}"
        if not call.may_have_started:
            retry_after_ms = max(RETRY_AFTER_MS, limit_wait_ms or 0)
            if pause_ms:
                availability = self._context.availability
                retry_after_ms = availability.retry_after_ms(pause_ms)
            return not_run(503, "No target", detail, retry_after_ms)
        if self._context.clock.now() >= call.deadline:
            return may_have_run(504, "Timeout", detail)
        return may_have_run(502, "Target failed", detail)
