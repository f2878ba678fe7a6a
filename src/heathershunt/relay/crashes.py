"""What one stream shows about the parts of its prompt, and whether it may be sent."""

import asyncio

from heathershunt.crashes import Block, Evidence, RunnerCrash
from heathershunt.logs.request_events import PartRefused, RunCrashed
from heathershunt.relay.context import RelayContext
from heathershunt.relay.runs import Run
from heathershunt.relay.spec import StreamSpec
from heathershunt.verdict import Refusal, may_have_run, not_run

# Runners that may end as a stream begins at them, whatever its prompt has in common
# with others.
MAX_CRASHES_PER_STREAM = 2
BLOCKED_DETAIL = "a part of the prompt crashes runners"


class CrashWitness:
    """Reports the crashes of one stream's runners, and checks the stream's prompt.

    .. versionadded:: 0.6
    """

    def __init__(self, context: RelayContext, spec: StreamSpec) -> None:
        self._context = context
        self._guard = context.guard
        self._spec = spec
        self._parts = spec.request.prompt_parts
        self._draw = context.guard.draw()
        self._crashes = 0

    def is_blocked(self) -> bool:
        """Return whether the stream is not to be sent, or not again."""
        return self._crashes >= MAX_CRASHES_PER_STREAM or self._block() is not None

    def _block(self) -> Block | None:
        return self._guard.block(self._spec.account, self._parts, self._draw)

    def refusal(self, has_been_sent: bool) -> Refusal | None:
        """Return the answer to a stream that is not to be sent; else ``None``.

        :param has_been_sent: whether a runner may have run the stream already.
        """
        block = self._block()
        if block is None and self._crashes < MAX_CRASHES_PER_STREAM:
            return None
        detail = "runners crashed as the stream began"
        left_ms = None
        if block is not None:
            left_ms = self._guard.left_ms(block)
            detail = f"{BLOCKED_DETAIL}: {block.part}"
            event = PartRefused(self._spec.request.id, block.part, left_ms)
            self._context.events.emit(event)
        if has_been_sent or left_ms is None:
            return may_have_run(502, "Runner failed", detail)
        return not_run(503, "Prompt blocked", detail, left_ms)

    async def wait_for(self, task: asyncio.Future, timeout_ms: float) -> bool:
        """Wait for a reply's head, and return whether it is there.

        The wait also ends when a part of this stream's prompt is blocked.
        """
        now = self._context.clock.now
        deadline = now() + timeout_ms
        while True:
            waiting = {task, self._guard.next_block()} if self._parts else {task}
            await asyncio.wait(
                waiting,
                timeout=max(0.0, deadline - now()) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or now() >= deadline or self.is_blocked():
                return task.done()

    def on_writing(self) -> None:
        """Record that a run of the stream sent its first event."""
        self._guard.record_writing(self._parts)

    async def on_broken_run(self, run: Run) -> None:
        """Report a run that ended without an event, if its first runner ended too."""
        if run.events:
            return
        head = run.chain.head
        now = self._context.clock.now()
        if not await self._context.diagnosis.has_ended(head, now):
            return
        evidence = Evidence.WAITING if run.head is None else Evidence.BEGUN
        has_begun = evidence is Evidence.BEGUN
        event = RunCrashed(self._spec.request.id, head.id, has_begun)
        self._context.events.emit(event)
        if has_begun:
            # Sent again only if others have written on all parts that they share.
            is_known = self._guard.are_sound(self._parts[:-1])
            self._crashes += 1 if is_known else MAX_CRASHES_PER_STREAM
        self._guard.record_crash(
            self._spec.account,
            self._parts,
            RunnerCrash(head.id, head.incarnation),
            run.sent_at,
            evidence,
        )
