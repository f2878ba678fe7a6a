"""Choice of a chain for a stream, and the wait for free capacity."""

import asyncio
import random
from collections.abc import Callable, Collection

from heathershunt.admission import Waiter
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.logs.run_events import LineLeft
from heathershunt.pipelines import Chain
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.capacity import CAPACITY_POLL_MS, CapacityGate, Place
from heathershunt.relay.context import RelayContext
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.spec import StreamSpec

# Largest random factor on the time after which refused callers return, so that they do
# not return together.
RETURN_SPREAD = 1.5


class ChainSelection:
    """Chooses chains for one stream.

    :param capacity: shared by the streams of this VM.
    :param attempts: runners that the stream was sent to.
    :param progress: events that the caller has received.
    :param is_blocked: returns whether the stream is no longer to be sent.
    :ivar limit_wait_ms: time after which a first runner takes requests again, if no
        chain was found as all of them have what they take; else ``None``.
    :ivar wait_detail: why no chain was found, if limits or runners that leave or pause
        are the reason; else empty.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        context: RelayContext,
        capacity: CapacityGate,
        spec: StreamSpec,
        attempts: Attempts,
        progress: StreamProgress,
        is_blocked: Callable[[], bool],
    ) -> None:
        self._is_blocked = is_blocked
        self._context = context
        self._capacity = capacity
        self._spec = spec
        self._attempts = attempts
        self._progress = progress
        self._timeouts = spec.timeouts
        self._job = spec.job
        self.limit_wait_ms: int | None = None
        self.wait_detail = ""
        # Streams of public routes have their turns as those of one account.
        self._waiter = Waiter(
            spec.account or "", spec.rank, spec.deadline, spec.job.tokens
        )

    async def wait_for_chain(self) -> Chain | None:
        """Return a chain, if need be after a short wait; ``None`` if there is none.

        The wait also ends when the stream is blocked.

        Streams end all the time, so a full chain often has capacity again soon, and
        sooner than a refused caller would retry.
        """
        service = self._spec.service
        self.wait_detail = ""
        if self._is_held_up():
            return None
        if not self._attempts.sends and not self._has_layers():
            return None
        self.limit_wait_ms = self._wait_for_limits_ms()
        if self.limit_wait_ms is not None:
            self.wait_detail = "all runners have the requests that they take"
            return None
        with self._capacity.counted(service):
            if self._spec.is_ordered and not self._was_sent:
                return await self._wait_in_line(service)
            return await self._wait_for_capacity(service)

    async def _wait_in_line(self, service: str) -> Chain | None:
        """Return a chain when the turn of this stream comes, or the fallback."""
        line, waiter = self._capacity.line(service), self._waiter
        left_ms = self._wait_left_ms(self._timeouts.capacity_wait_ms)
        # After a failed connection little or none of the time is left; such a stream
        # still has its fallback.
        if not self._attempts.sends and line.is_too_late(waiter, left_ms):
            waiting = self._capacity.waiting(service)
            self.wait_detail = f"its turn would come too late, {waiting} streams wait"
            self._emit_line_left("refused", self._context.clock.now())
            return None
        joined_at = self._context.clock.now()
        outcome = "left"
        with line.place(waiter) as place:
            try:
                chain, outcome = await self._wait_for_turn(place)
            finally:
                if place.has_waited or outcome != "placed":
                    self._emit_line_left(outcome, joined_at)
        return chain

    async def _wait_for_turn(self, place: Place) -> tuple[Chain | None, str]:
        """Return a chain, if any, and how the wait ended."""
        while not self._is_blocked() and not self._is_held_up():
            if place.has_turn:
                chain = self._choose(self._suspects(), needs_room=True)
                if chain is not None:
                    place.take()
                    return chain, "placed"
                place.pass_on(self._is_restricted())
            left_ms = self._wait_left_ms(self._timeouts.capacity_wait_ms)
            if left_ms <= 0:
                chain = self._choose_fallback()
                if chain is None:
                    return None, "unplaced"
                place.take()
                return chain, "fallback"
            await place.wait(min(CAPACITY_POLL_MS, left_ms))
        return None, "left"

    def _emit_line_left(self, outcome: str, joined_at: Millis) -> None:
        """Log how a wait in line ended."""
        waited_ms = self._context.clock.now() - joined_at
        spec = self._spec
        event = LineLeft(spec.request.id, outcome, spec.service, spec.rank, waited_ms)
        self._context.events.emit(event)

    def _is_restricted(self) -> bool:
        """Return whether this stream may not use all runners that others may."""
        attempts = self._attempts
        return bool(attempts.avoided) or attempts.allowed_heads() is not None

    async def _wait_for_capacity(self, service: str) -> Chain | None:
        while not self._is_blocked() and not self._is_held_up():
            if self._capacity.may_search(service):
                chain = self._choose(self._suspects(), needs_room=True)
                if chain is not None:
                    return chain
                self._capacity.record_full(service)
            if self._wait_left_ms(self._timeouts.capacity_wait_ms) <= 0:
                chain = self._choose_fallback()
                if chain is not None:
                    return chain
                if not self._may_wait_longer():
                    return self._choose_avoided()
            await asyncio.sleep(CAPACITY_POLL_MS / 1000)
        return None

    def find_replacement(self, chain: Chain, dead: set[str]) -> Chain | None:
        """Return a chain with the same first part and without the dead runners.

        :param dead: ids of the dead runners.
        """
        context = self._context
        # The run goes on with runners of the chain that leave or pause by now.
        may_add = {runner.id for runner in self._usable()}
        may_add.update(part.runner.id for part in chain.parts)
        runners = [runner for runner in self._listed() if runner.id in may_add]
        dead = dead | self._ids_of(context.suspects.is_ejected)
        avoided = self._suspects() | dead
        repaired = context.chooser.repair(
            self._spec.engine,
            runners,
            self._job,
            context.vm_count(),
            chain,
            dead,
            avoided,
        )
        return repaired or context.chooser.choose(
            self._spec.engine,
            runners,
            self._job,
            context.vm_count(),
            avoided,
            chain.parts[0],
        )

    def is_new_run_faster(self, repaired: Chain, before: Chain) -> bool:
        """Return whether a new run would continue sooner than a repaired chain.

        All tokens of a repaired chain cross the link to another failure domain twice,
        one stream after another, before the next token is generated.

        :param repaired: chain with replacements.
        :param before: chain with the dead runner.
        """
        if repaired.domains <= before.domains:
            return False
        if not self._attempts.may_reroute(before.head):
            return False
        new_chain = self._choose(self._suspects(), needs_room=True)
        return new_chain is not None and len(new_chain.domains) < len(repaired.domains)

    def told_wait_ms(self) -> int:
        """Return the time for which the caller of a stream that was not run waits."""
        availability = self._context.availability
        pause_ms = availability.first_wait_ms(self._listed(), self._hold_layers)
        if pause_ms:
            return availability.retry_after_ms(pause_ms)
        return self.limit_wait_ms or self._return_ms()

    def _return_ms(self) -> int:
        """Return the time that what waits before this stream is expected to take."""
        if not self._spec.is_ordered:
            return 0
        return_ms = self._capacity.line(self._spec.service).return_ms(self._waiter)
        return int(return_ms * random.uniform(1, RETURN_SPREAD))

    def _is_held_up(self) -> bool:
        """Return whether pauses hold up the stream for longer than it may wait.

        A stream that has begun waits in any case: it can no longer be refused.
        """
        if self._progress.has_begun:
            return False
        availability = self._context.availability
        heads = self._attempts.allowed_heads()

        def can_serve(runners: Collection[Target]) -> bool:
            usable = [r for r in runners if r.id not in self._attempts.avoided]
            may_begin = heads is None or any(r.id in heads for r in usable)
            return may_begin and self._context.chooser.has_layers(
                self._spec.engine, usable, ()
            )

        wait_ms = availability.first_wait_ms(self._listed(), can_serve)
        if wait_ms <= self._timeouts.capacity_wait_ms:
            return False
        self.wait_detail = "the runners with some of the layers leave or pause"
        return True

    def _hold_layers(self, runners: Collection[Target]) -> bool:
        """Return whether those of the runners that work hold all layers."""
        suspects = self._context.suspects
        ejected = {runner.id for runner in runners if suspects.is_ejected(runner)}
        return self._context.chooser.has_layers(self._spec.engine, runners, ejected)

    def _listed(self) -> list[Target]:
        """Return the listed runners of the service, also those that leave or pause."""
        return self._context.registry.of_service(self._spec.service)

    def _usable(self) -> list[Target]:
        """Return the listed runners that may be sent something new."""
        return self._context.availability.usable(
            self._spec.service, self._listed(), self._hold_layers
        )

    def _wait_for_limits_ms(self) -> int | None:
        """Return how long the limits of all first runners would hold up the stream.

        It is ``None`` if the stream may be sent soon enough. A stream that was sent
        waits for its runners in any case.
        """
        context, service = self._context, self._spec.service
        if self._was_sent or not context.limits.limited_count:
            return None
        avoided = self._attempts.avoided | self._suspects()
        heads = [
            runner
            for runner in self._usable()
            if runner.held is not None
            and runner.held.first == 0
            and runner.id not in avoided
        ]
        wait_ms = context.limits.wait_ms(heads, self._capacity.waiting(service))
        if wait_ms is None or wait_ms <= self._timeouts.capacity_wait_ms:
            return None
        return wait_ms

    def _has_layers(self) -> bool:
        return self._context.chooser.has_layers(
            self._spec.engine, self._listed(), self._attempts.avoided
        )

    def _choose_fallback(self) -> Chain | None:
        """Return a chain that seems full, or else one with suspect runners.

        The loads are estimates; only the runners have the actual figures. A runner that
        has just rejected a request would reject this one too, and each rejection costs
        a retry from the budget.
        """
        chain = self._choose(self._suspects(), needs_room=False)
        if chain is not None:
            return chain
        backed_off = self._ids_of(self._context.suspects.is_backed_off)
        return self._choose(backed_off, needs_room=False)

    def _choose_avoided(self) -> Chain | None:
        """Return a chain that may use runners that failed this request, if it was sent.

        A pause that looked like a failure may be over, and without a chain the request
        fails.
        """
        if not self._was_sent:
            return None
        suspects, registry = self._context.suspects, self._context.registry
        unusable = self._ids_of(
            lambda item: suspects.is_backed_off(item) or registry.has_refused(item)
        )
        return self._choose_excluding(unusable, needs_room=False)

    @property
    def _was_sent(self) -> bool:
        return self._progress.has_begun or self._attempts.deliveries > 0

    def _choose(self, avoided: set[str], needs_room: bool) -> Chain | None:
        return self._choose_excluding(self._attempts.avoided | avoided, needs_room)

    def _choose_excluding(self, avoided: set[str], needs_room: bool) -> Chain | None:
        context = self._context
        return context.chooser.choose(
            self._spec.engine,
            self._usable(),
            self._job,
            context.vm_count(),
            avoided,
            heads=self._attempts.allowed_heads(),
            needs_room=needs_room,
            barred_heads=context.limits.spent(),
        )

    def _wait_left_ms(self, limit_ms: float) -> float:
        """Return the rest of a wait since the last event, bounded by the deadline."""
        left_ms = self._spec.deadline - self._context.clock.now()
        return min(limit_ms - self._progress.paused_ms, left_ms)

    def _may_wait_longer(self) -> bool:
        """Return whether a stream that was sent may wait for runners to recover."""
        if not self._was_sent:
            return False
        return self._wait_left_ms(self._timeouts.reroute_ms) > 0

    def _suspects(self) -> set[str]:
        """Return ids of runners that are suspect or may have left in a store outage."""
        suspects, registry = self._context.suspects, self._context.registry
        return self._ids_of(
            lambda runner: suspects.is_suspect(runner) or registry.is_missing(runner.id)
        )

    def _ids_of(self, condition: Callable[[Target], bool]) -> set[str]:
        return {runner.id for runner in self._listed() if condition(runner)}
