"""Race of other VMs for the answer to one forwarded request."""

import asyncio
from dataclasses import dataclass, replace

from heathershunt.catalog import Route
from heathershunt.clock import Millis
from heathershunt.discovery import Member
from heathershunt.forwarding.attempts import HopAttempts
from heathershunt.forwarding.choice import HopChooser
from heathershunt.forwarding.hop import HopAnswer, HopClient, HopEnd, HopFailure
from heathershunt.forwarding.messages import encode_forward
from heathershunt.logs.forward_events import Forwarded, ForwardNotTaken
from heathershunt.relay.context import RelayContext
from heathershunt.relay.earlier import EarlierSends
from heathershunt.relay.messages import NOT_RUN_STATUSES, CallerRequest
from heathershunt.relay.resumption import ResumePoint
from heathershunt.verdict import Refusal, may_have_run, not_run

# VMs that are asked for one request.
MAX_VMS = 4
# Fraction of the time left within which VMs are asked that may decline. After that time
# without an answer, a request that may run twice is also given to another VM.
ASK_FRACTION = 0.25
RETRY_AFTER_MS = 300
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class ForwardSpec:
    """A request that is forwarded.

    :param earlier: its sends so far, and how many more there may be.
    :param resume: where a stream goes on that has begun; ``None`` for its start.
    :param deadline: time by which the caller must have the answer.

    .. versionadded:: 0.10
    """

    request: CallerRequest
    route: Route
    is_stream: bool
    deadline: Millis
    earlier: EarlierSends
    resume: ResumePoint | None = None


@dataclass(frozen=True, slots=True)
class _Hop:
    """A VM that has a request.

    :param late_at: time from which its answer is late.
    """

    member: Member
    given: EarlierSends
    late_at: Millis


class HopRace:
    """Gives one request to other VMs until one of them answers.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        context: RelayContext,
        vm: str,
        chooser: HopChooser,
        client: HopClient,
        spec: ForwardSpec,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._vm = vm
        self._chooser = chooser
        self._client = client
        self._spec = spec
        self._request = spec.request
        if spec.resume is not None:
            self._request = replace(spec.request, last_event_id=spec.resume.last_id)
        self._attempts = HopAttempts(
            spec.earlier, spec.route.is_retryable, may_reuse=spec.is_stream
        )
        self._asked: list[str] = []
        self._not_reached: set[str] = set()
        self._hops_by_task: dict[asyncio.Task, _Hop] = {}
        self._is_late = False
        self._may_ask_late = False
        self._refusal: tuple[Member, HopAnswer] | None = None
        self._detail = "no other VM took the request"
        self._ask_until = Millis(
            self._clock.now() + int(self._left_ms() * ASK_FRACTION)
        )

    async def resume(
        self, lost: Member, last_id: int, detail: str
    ) -> tuple[Member, HopAnswer] | Refusal:
        """Return the answer of another VM that continues a stream.

        :param lost: VM that no longer sends the stream.
        :param last_id: id of the last event that the caller has.
        :param detail: reason why the VM is left.
        """
        self._log(lost, HopFailure.LOST.value, detail)
        self._chooser.leave_out(lost.vm)
        self._attempts.record_lost()
        self._request = replace(self._request, last_event_id=last_id)
        self._asked = [lost.vm]
        self._may_ask_late = True
        self._is_late = False
        self._refusal = None
        self._not_reached = set()
        return await self.run()

    async def run(self) -> tuple[Member, HopAnswer] | Refusal:
        """Return the answer to pass on and the VM that gave it, or a refusal."""
        try:
            while True:
                if self._may_ask():
                    self._ask_next()
                if not self._hops_by_task:
                    return self._conclude()
                won = await self._wait()
                if won is not None:
                    return self._pass_on(*won)
        finally:
            for task in self._hops_by_task:
                _abandon(task)

    # Asking

    def _left_ms(self) -> int:
        return max(0, self._spec.deadline - self._clock.now())

    def _may_ask(self) -> bool:
        now = self._clock.now()
        if len(self._asked) >= MAX_VMS or now >= self._spec.deadline:
            return False
        if not self._attempts.may_ask:
            return False
        if self._hops_by_task:
            return self._is_late and len(self._hops_by_task) == 1
        return self._may_ask_late or now < self._ask_until

    def _ask_next(self) -> None:
        member = self._choose()
        if member is None:
            # No further VM is known.
            self._asked.extend([""] * MAX_VMS)
            return
        self._asked.append(member.vm)
        given = self._attempts.give()
        left_ms = self._left_ms()
        message = encode_forward(self._vm, self._request, given, left_ms)
        late_at = Millis(self._clock.now() + int(left_ms * ASK_FRACTION))
        asking = asyncio.create_task(self._client.ask(member, message, left_ms))
        self._hops_by_task[asking] = _Hop(member, given, late_at)

    def _choose(self) -> Member | None:
        """Return the VM to ask next; one that was not reached comes last."""
        member = self._chooser.choose(self._asked)
        if member is not None:
            return member
        return self._chooser.choose(
            [vm for vm in self._asked if vm not in self._not_reached]
        )

    async def _wait(self) -> tuple[Member, HopAnswer] | None:
        """Wait until a VM answers or is late; return an answer to pass on."""
        timeout = None
        if not self._is_late and self._spec.route.is_retryable:
            late_at = min(hop.late_at for hop in self._hops_by_task.values())
            timeout = max(0, late_at - self._clock.now()) / 1000
        done, _ = await asyncio.wait(
            self._hops_by_task, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            self._record_late()
        for task in done:
            hop = self._hops_by_task.pop(task)
            won = self._on_end(hop, task.result())
            if won is not None:
                return won
        return None

    def _record_late(self) -> None:
        """Give up on VMs whose answer is late, though it may still come."""
        self._is_late = True
        self._attempts.record_lost()
        for hop in self._hops_by_task.values():
            self._chooser.leave_out(hop.member.vm)
            self._log(hop.member, "late", "no answer yet")

    # Ends of hops

    def _on_end(
        self, hop: _Hop, outcome: HopAnswer | HopEnd
    ) -> tuple[Member, HopAnswer] | None:
        """Return the answer of a VM if it is to be passed on."""
        if isinstance(outcome, HopEnd):
            self._on_failure(hop, outcome)
            return None
        won = hop.member, outcome
        was_lost = self._attempts.may_have_run and not hop.given.may_have_run
        if outcome.sent_to is not None:
            is_used_up = self._attempts.record_sent(hop.given, outcome.sent_to)
            is_run = outcome.response.status not in NOT_RUN_STATUSES
            self._attempts.may_have_run |= is_run
            if is_used_up and self._attempts.may_ask:
                self._refusal = won
                self._may_ask_late = True
                return None
        is_failure = _is_failure(outcome.response.status)
        if is_failure and (self._hops_by_task or was_lost):
            # Another VM may still answer, or may have run the request without this one
            # knowing of it.
            self._refusal = won
            return None
        return won

    def _on_failure(self, hop: _Hop, end: HopEnd) -> None:
        self._detail = end.detail
        self._log(hop.member, end.failure.value, end.detail)
        if end.failure is not HopFailure.LOST:
            self._attempts.take_back(hop.given)
            if end.failure is HopFailure.NOT_SENT:
                self._not_reached.add(hop.member.vm)
            return
        self._may_ask_late = True
        if not self._is_late:
            self._attempts.record_lost()

    def _log(self, member: Member, progress: str, detail: str) -> None:
        event = ForwardNotTaken(self._request.id, member.vm, progress, detail)
        self._context.events.emit(event)

    def _pass_on(self, member: Member, answer: HopAnswer) -> tuple[Member, HopAnswer]:
        event = Forwarded(
            self._request.id,
            through=member.vm,
            status=answer.response.status,
            asked=len([vm for vm in self._asked if vm]),
            elapsed_ms=self._clock.now() - self._request.received_at,
        )
        self._context.events.emit(event)
        return member, answer

    def _conclude(self) -> tuple[Member, HopAnswer] | Refusal:
        """Return the last refusal of a VM, or a refusal of this one."""
        is_run = self._attempts.may_have_run
        if self._refusal is not None:
            member, answer = self._refusal
            if not (is_run and answer.response.status in NOT_RUN_STATUSES):
                return self._pass_on(member, answer)
        if not is_run:
            return not_run(503, "No VM", self._detail, RETRY_AFTER_MS)
        if self._clock.now() >= self._spec.deadline:
            return may_have_run(504, "Timeout", self._detail)
        return may_have_run(502, "VM failed", self._detail)


def _abandon(task: asyncio.Task) -> None:
    """Close a hop whose answer is not used, which cancels the request there."""
    if not task.done():
        task.cancel()
        return
    outcome = task.result()
    if isinstance(outcome, HopAnswer) and outcome.stream is not None:
        outcome.stream.close()


def _is_failure(status: int) -> bool:
    return status >= SERVER_ERROR or status in NOT_RUN_STATUSES
