"""What one request shows about its keys of evidence, and whether it may be sent."""

import asyncio
from functools import cached_property

from heathershunt.crashes import (
    MAX_WRITING_MS,
    Block,
    Evidence,
    RequestKeys,
    RunnerCrash,
    request_key,
)
from heathershunt.discovery import Target
from heathershunt.logs.request_events import PartRefused
from heathershunt.logs.run_events import RunCrashed
from heathershunt.relay.context import RelayContext
from heathershunt.relay.endings import Ending
from heathershunt.relay.messages import CallerRequest
from heathershunt.relay.runs import Run
from heathershunt.relay.spec import StreamSpec
from heathershunt.verdict import Refusal, may_have_run, not_run

# Weight of the targets that may end under a request, whatever it has in common with
# others.
MAX_CRASHES_PER_REQUEST = 2.0
BLOCKED_DETAIL = "a part of the prompt crashes runners"


class Witness:
    """Checks one request by the evidence on its keys.

    :param request: request of a caller.
    :param account: name of the client account; ``None`` on public routes.
    :param prompt_parts: ids of the parts of the prompt, if the request has a prompt.
    :cvar blocked_title: title of the refusal of a request that was not sent.
    :cvar blocked_detail: reason of a refusal, before the key that is blocked.
    :cvar crashed_detail: reason of a refusal after crashes alone.

    .. versionadded:: 0.8
    """

    blocked_title = "Request blocked"
    blocked_detail = "the request crashes its targets"
    crashed_detail = "targets crashed as the request began"

    def __init__(
        self,
        context: RelayContext,
        request: CallerRequest,
        account: str | None,
        prompt_parts: tuple[str, ...] = (),
    ) -> None:
        self._context = context
        self._guard = context.guard
        self._request = request
        self._account = account
        self._prompt_parts = prompt_parts
        self._draw = context.guard.draw()
        self._crashes = 0.0

    @cached_property
    def _keys(self) -> RequestKeys:
        request = self._request
        own = request_key(request.method, request.target, self._account, request.body)
        return RequestKeys(own, self._prompt_parts)

    def is_blocked(self) -> bool:
        """Return whether the request is not to be sent, or not again."""
        return self._crashes >= MAX_CRASHES_PER_REQUEST or self._block() is not None

    def _block(self) -> Block | None:
        # Without any evidence, the body need not be hashed.
        if not self._guard.has_evidence:
            return None
        return self._guard.block(self._account, self._keys.all, self._draw)

    def on_answered(self) -> None:
        """Record that a target ran the request to its end."""
        if self._guard.has_evidence:
            self._guard.record_answer(self._keys.own)

    def refusal(self, has_been_sent: bool) -> Refusal | None:
        """Return the answer to a request that is not to be sent; else ``None``.

        :param has_been_sent: whether a target may have run the request already.
        """
        block = self._block()
        if block is None and self._crashes < MAX_CRASHES_PER_REQUEST:
            return None
        detail = self.crashed_detail
        left_ms = None
        if block is not None:
            left_ms = self._guard.left_ms(block)
            detail = f"{self.blocked_detail}: {block.part}"
            event = PartRefused(self._request.id, block.part, left_ms)
            self._context.events.emit(event)
        if has_been_sent or left_ms is None:
            return may_have_run(502, "Runner failed", detail)
        return not_run(503, self.blocked_title, detail, left_ms)


class CrashWitness(Witness):
    """Reports the crashes of one stream's runners, and checks the stream's prompt.

    .. versionadded:: 0.6
    """

    blocked_title = "Prompt blocked"
    blocked_detail = BLOCKED_DETAIL
    crashed_detail = "runners crashed as the stream began"

    def __init__(self, context: RelayContext, spec: StreamSpec) -> None:
        request = spec.request
        super().__init__(context, request, spec.account, request.prompt_parts)

    async def wait_for(self, task: asyncio.Future, timeout_ms: float) -> bool:
        """Wait for a reply's head, and return whether it is there.

        The wait also ends when a part of this stream's prompt is blocked.
        """
        now = self._context.clock.now
        deadline = now() + timeout_ms
        while True:
            await asyncio.wait(
                {task, self._guard.next_block()},
                timeout=max(0.0, deadline - now()) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or now() >= deadline or self.is_blocked():
                return task.done()

    def on_events(self, run: Run) -> None:
        """Record that a run of the stream has sent events."""
        now = self._context.clock.now()
        if run.began_at is None:
            run.began_at = now
            self._guard.record_writing(self._written_keys)
            return
        lasted_ms = now - run.began_at
        if lasted_ms > MAX_WRITING_MS and not run.has_outlasted:
            run.has_outlasted = True
            self._guard.record_outlasting(self._written_keys, run.began_at, lasted_ms)

    def on_whole(self, run: Run) -> None:
        """Record that a run of the stream came to its end."""
        if run.began_at is None:
            return
        lasted_ms = max(1, self._context.clock.now() - run.began_at)
        self._guard.record_outlasting(self._prompt_parts, run.began_at, lasted_ms)
        self.on_answered()

    @property
    def _written_keys(self) -> tuple[str, ...]:
        # Without any evidence, the body need not be hashed.
        return self._keys.all if self._guard.has_evidence else self._prompt_parts

    async def on_broken_run(self, run: Run) -> None:
        """Report a run that ended early, if its first runner ended too."""
        head = run.chain.head
        broken_at = self._context.clock.now()
        self._context.endings.check(head)
        if not await self._has_crashed(head):
            return
        evidence = _evidence(run)
        wrote_ms = 0 if run.began_at is None else broken_at - run.began_at
        event = RunCrashed(self._request.id, head.id, evidence.name.lower(), wrote_ms)
        self._context.events.emit(event)
        self._count(evidence)
        self._guard.record_crash(
            self._account,
            self._keys,
            RunnerCrash(head.id, head.incarnation),
            run.sent_at,
            evidence,
            wrote_ms,
        )

    def _count(self, evidence: Evidence) -> None:
        """Count a crash towards those after which the stream is not sent again."""
        if evidence is Evidence.WAITING:
            return
        is_known = self._guard.are_sound(self._keys.shared_parts)
        if evidence is Evidence.BEGUN and not is_known:
            # No other run has written on all parts that they share.
            self._crashes = MAX_CRASHES_PER_REQUEST
        self._crashes += evidence.value

    async def _has_crashed(self, head: Target) -> bool:
        """Return whether the process of a first runner ended unannounced.

        One without a report may only be silent.
        """
        context = self._context
        if not await context.diagnosis.has_ended(head, context.clock.now()):
            return False
        ending = await context.endings.find(head)
        if ending is Ending.RUNS:
            return await context.diagnosis.has_restarted(head)
        return ending is Ending.CRASHED


def _evidence(run: Run) -> Evidence:
    """Return how far a run had come."""
    if run.began_at is not None:
        return Evidence.WRITING
    return Evidence.WAITING if run.head is None else Evidence.BEGUN
