"""Starts of a stream's runs: choice of a chain, send, and the head of the reply."""

import asyncio

from result import Err

from heathershunt.discovery import Target
from heathershunt.http import Response, TransportError
from heathershunt.logs.request_events import SendFailed, SendRejected, Sent
from heathershunt.logs.run_events import StreamBroken, StreamResumed
from heathershunt.pipelines import Chain
from heathershunt.ratelimits import Statement
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.context import RelayContext
from heathershunt.relay.crashes import CrashWitness
from heathershunt.relay.head_wait import HeadWait
from heathershunt.relay.messages import Dispatch
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.reading import read_error_body
from heathershunt.relay.retrying import RequestRetries
from heathershunt.relay.runs import Run, RunPausedError, cancel_request
from heathershunt.relay.selection import ChainSelection
from heathershunt.relay.spec import StreamSpec
from heathershunt.retrybudget import SHORT_WAIT_MS
from heathershunt.verdict import Progress, Refusal, may_have_run, not_run

CONNECT_MS = 250
# Counts all sends of a request; ``Route.max_attempts`` counts only the runners that
# are still listed.
MAX_SENDS = 8
RETRY_AFTER_MS = 500
SUCCESS = 200


class RunStarter:
    """Sends one stream to chains of runners, and records how each run went.

    :ivar detail: reason why the last run failed, or why there was none.
    :ivar may_have_run: whether a runner may have run the stream.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        context: RelayContext,
        spec: StreamSpec,
        attempts: Attempts,
        progress: StreamProgress,
        crashes: CrashWitness,
        selection: ChainSelection,
        head_wait: HeadWait,
    ) -> None:
        self._context = context
        self._spec = spec
        self._request = spec.request
        self._attempts = attempts
        self._progress = progress
        self._crashes = crashes
        self._selection = selection
        self._head_wait = head_wait
        self.may_have_run = spec.earlier.may_have_run
        self._retries = RequestRetries(context, spec.request.id, spec.service)
        self.detail = "no chain of runners holds all layers"
        self._tokens = spec.job.tokens

    # Sending

    async def start(self, is_spare: bool = False) -> Run | Refusal:
        """Send the stream to a chain; return its run, or why it is not sent.

        :param is_spare: whether a silent run is kept that may still answer. It is tried
            again and again, so no chain is searched for it without a retry.
        """
        if self._is_late():
            return self._refusal(is_timeout=True)
        if self._attempts.sends >= MAX_SENDS or not self._may_run_again():
            return self._refusal()
        if not self._context.links.sends_locally:
            return self._refusal()
        if is_spare and not self._may_take_retry() and not await self._wait_for_retry():
            return self._deny()
        while True:
            chain = await self._selection.wait_for_chain()
            blocked = self._crashes.refusal(self.may_have_run)
            if blocked is not None:
                return blocked
            if chain is None:
                self.detail = self._selection.wait_detail or self.detail
                return self._refusal()
            if not self._attempts.deliveries or self._take_retry():
                return self._send(chain)
            # Another chain may be the better one after the wait.
            if not await self._wait_for_retry():
                return self._deny()

    def _deny(self) -> Refusal:
        self._retries.record_denial(self._progress.has_begun)
        return self._refusal()

    def _is_late(self) -> bool:
        """Return whether the deadline has passed; such an end is no sign of a crash."""
        return self._spec.deadline <= self._context.clock.now()

    def _may_run_again(self) -> bool:
        return self._spec.route.is_retryable or not self.may_have_run

    def _may_take_retry(self) -> bool:
        if self._attempts.has_reserved_retry:
            return True
        return self._retries.may_take(self._progress.has_begun)

    def _take_retry(self) -> bool:
        if self._attempts.use_reserved_retry():
            return True
        return self._retries.take(self._progress.has_begun)

    async def _wait_for_retry(self) -> bool:
        """Wait for a retry as long as for capacity; return whether to try again."""
        progress = self._progress
        wait_ms = self._spec.timeouts.capacity_wait_ms - progress.paused_ms
        left_ms = self._spec.deadline - self._context.clock.now()
        limit_ms = min(max(SHORT_WAIT_MS, wait_ms), left_ms)
        was_called = await self._retries.wait(limit_ms, progress.has_begun)
        return was_called and not self._is_late()

    def _refusal(self, is_timeout: bool = False) -> Refusal:
        if self.may_have_run:
            status, title = (504, "Timeout") if is_timeout else (502, "Runner failed")
            return may_have_run(status, title, self.detail)
        wait_ms = max(RETRY_AFTER_MS, self._selection.told_wait_ms())
        return not_run(503, "No chain", self.detail, wait_ms)

    def _send(self, chain: Chain) -> Run:
        context = self._context
        request = self._request
        left_ms = self._spec.deadline - context.clock.now()
        dispatch = Dispatch(
            chain.head,
            left_ms,
            self._spec.account,
            chain,
            self._spec.rank,
            self._progress.last_id,
        )
        context.events.emit(
            Sent(
                request.id,
                target=chain.head.id,
                chain=tuple(part.runner.id for part in chain.parts),
                sends=self._attempts.sends,
                waited_ms=context.clock.now() - request.received_at,
            )
        )
        self._attempts.sends += 1
        sending = context.http.request(
            chain.head.address,
            request.method,
            request.target,
            headers=context.wire.fields(request, dispatch),
            body=request.body,
            timeout_ms=left_ms,
            connect_ms=CONNECT_MS,
            fresh=True,
        )
        context.ledger.add(chain, self._tokens)
        context.limits.record_send(chain.head)
        return Run(
            chain,
            self._tokens,
            context.clock.now(),
            asyncio.ensure_future(sending),
            resumed=self._progress.resume_point,
            is_patient=not self._spec.route.is_retryable,
        )

    def release(self, run: Run | None) -> None:
        """Close the connection of a run, which ends it at its runners."""
        if run is None or run.is_released:
            return
        run.is_released = True
        self._context.ledger.remove(run.chain, run.tokens)
        if run.response is not None:
            run.response.close()
        else:
            cancel_request(run.sending)

    def discard(self, run: Run | None) -> None:
        """Release a run that is not needed; it may have reached its first runner."""
        if run is None or run.is_released:
            return
        self.count_delivery(run)
        self.may_have_run = True
        self.release(run)

    # The head of the reply

    async def receive_head(self, run: Run) -> Response | bool:
        """Wait for the reply to a run.

        :return: whether the run has begun, or a runner's answer for the caller.
        :raises RunPausedError: if the run is silent and another one may take over.
        """
        outcome = await self._head_wait.wait_for(run)
        if isinstance(outcome, Err):
            self.release(run)
            await self._on_send_failure(run, outcome.err_value)
            return False
        context, head_runner = self._context, run.chain.head
        run.response = outcome.ok_value
        run.head = context.wire.reply_head(run.response)
        error = run.head.error_unless_to(self._request.id)
        if error is not None:
            self.release(run)
            await self._on_send_failure(run, error)
            return False
        was_sent_before = self._attempts.has_head(head_runner) and not run.is_delivered
        self.count_delivery(run)
        statement = Statement(run.head.limit_per_s, run.sent_at)
        context.limits.record(head_runner, statement)
        context.availability.record(head_runner, run.head.notice)
        if run.head.starts_stream:
            self.may_have_run = True
            if self._progress.has_begun:
                event = StreamResumed(self._request.id, self._progress.last_id)
                context.events.emit(event)
            return True
        return await self._on_failure_reply(run, was_sent_before)

    def count_delivery(self, run: Run) -> None:
        """Count that a run may have reached its first runner."""
        if not run.is_delivered:
            run.is_delivered = True
            self._attempts.deliveries += 1
            self._attempts.add_head(run.chain.head)

    async def _on_send_failure(self, run: Run, error: TransportError) -> None:
        head_runner = run.chain.head
        self.detail = error.detail
        event = SendFailed(
            self._request.id, head_runner.id, error.progress.value, error.detail
        )
        self._context.events.emit(event)
        if error.progress is Progress.NOT_SENT:
            self._avoid(head_runner)
            return
        self.count_delivery(run)
        self.may_have_run = True
        if self._crashes.is_blocked() or self._is_late():
            return
        await self._crashes.on_broken_run(run)
        faulty = await self._context.diagnosis.find_faulty(run.chain)
        self._attempts.avoided.add((faulty or head_runner).id)

    async def _on_failure_reply(
        self, run: Run, was_sent_before: bool
    ) -> Response | bool:
        chain, head = run.chain, run.head
        if head.is_not_run:
            self._on_rejection(run, was_sent_before)
            return False
        self.may_have_run = True
        # It cannot be the answer once the caller has received events of another run.
        if head.is_final_error and not self._progress.has_begun:
            left_ms = max(0, self._spec.deadline - self._context.clock.now())
            body = await read_error_body(run, left_ms)
            if body is not None:
                self.release(run)
                return Response(head.status, head.headers, body)
        self.detail = f"runner {chain.head.id}: status {head.status}"
        self._avoid(chain.head)
        self.release(run)
        return False

    def _on_rejection(self, run: Run, was_sent_before: bool) -> None:
        chain, head = run.chain, run.head
        runner = chain.runner_at(head.faulty_address or "") or chain.head
        if runner.id != chain.head.id and not was_sent_before:
            # A later runner rejected the request. On another chain the first runner
            # would have accepted it, so this send does not count against it.
            self._attempts.remove_head(chain.head)
        self.detail = f"runner {runner.id} rejected it: {head.status}"
        event = SendRejected(self._request.id, runner.id, head.status)
        self._context.events.emit(event)
        self.release(run)
        if not head.notice:
            # A runner that leaves or pauses is left out for that reason.
            self._context.ledger.rejections.record(runner.id)
        self._context.diagnosis.check_rejection(runner)

    def _avoid(self, runner: Target) -> None:
        self._attempts.avoided.add(runner.id)
        self._context.suspects.eject(runner)

    # Runs that end early or pause

    async def on_broken_run(self, run: Run, error: BaseException) -> None:
        """Log and release a run that ended early, and avoid the runner at fault."""
        self._log_broken(run, str(error) or type(error).__name__)
        self.release(run)
        if self._is_late():
            return
        await self._crashes.on_broken_run(run)
        # The connection to the first runner also breaks when a later runner fails.
        faulty = await self._context.diagnosis.find_faulty(run.chain)
        if faulty is not None:
            self._attempts.avoided.add(faulty.id)

    def on_paused_run(self, run: Run, pause: RunPausedError) -> None:
        """Avoid the silent runner of a run in the runs to come."""
        self.detail = str(pause)
        self.count_delivery(run)
        self.may_have_run = True
        self._attempts.avoided.add((pause.faulty or run.chain.head).id)

    def _log_broken(self, run: Run, detail: str) -> None:
        self.detail = detail
        event = StreamBroken(
            self._request.id,
            target=run.chain.head.id,
            after=self._progress.last_id,
            detail=detail,
            run_events=run.events,
        )
        self._context.events.emit(event)
