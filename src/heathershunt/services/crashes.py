"""What calls show about requests that crash their targets, and whether one may run."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from functools import cached_property

import logbook

from heathershunt.clock import Clock, Millis
from heathershunt.crashes import (
    Block,
    Evidence,
    PartGuard,
    RequestKeys,
    RunnerCrash,
    request_key,
)
from heathershunt.http import Address, HttpClient
from heathershunt.services.calls import CallOutcome, ServiceCall, problem_outcome
from heathershunt.verdict import Progress

# Targets that may end under one call.
MAX_CRASHES_PER_CALL = 2
CONNECT_MS = 100
MAX_ENDS = 512

log = logbook.Logger("heathershunt.services")


class AddressEnds:
    """Tells apart the processes that end at an address, whose starts are not known.

    .. versionadded:: 0.8
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_at: OrderedDict[Address, Millis] = OrderedDict()

    def record(self, address: Address, sent_at: Millis) -> RunnerCrash:
        """Return the crash under a call that was sent at ``sent_at``.

        Calls that were sent before the last known end broke off with that process.
        """
        ended_at = self._ended_at.get(address)
        if ended_at is None or sent_at > ended_at:
            ended_at = self._ended_at[address] = self._clock.now()
            self._ended_at.move_to_end(address)
            while len(self._ended_at) > MAX_ENDS:
                self._ended_at.popitem(last=False)
        return RunnerCrash(str(address), ended_at)


class CallCrashes:
    """Records the crashes under one call, and checks whether it may be sent.

    The decision is the one for drafts, with the call itself in place of a part.

    :param guard: shared by all requests of this VM.
    :param ends: shared by the calls of this VM.
    :param listed: returns the addresses of the service that are not leaving.
    :param is_leaving: returns whether an answer of the process at an address said that
        it leaves.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        call: ServiceCall,
        guard: PartGuard,
        ends: AddressEnds,
        http: HttpClient,
        listed: Callable[[str], Collection[Address]],
        is_leaving: Callable[[Address], bool],
    ) -> None:
        self._call = call
        self._guard = guard
        self._ends = ends
        self._http = http
        self._listed = listed
        self._is_leaving = is_leaving
        self._draw = guard.draw()
        self._crashes = 0

    @cached_property
    def _key(self) -> str:
        call = self._call
        target = f"/{call.service}{call.target}"
        return request_key(call.method, target, call.account, call.body)

    def _block(self) -> Block | None:
        # Without any evidence, the body need not be hashed.
        if not self._guard.has_evidence:
            return None
        return self._guard.block(self._call.account, (self._key,), self._draw)

    def refusal(self, has_been_sent: bool) -> CallOutcome | None:
        """Return the outcome of a call that is not to be sent; else ``None``.

        :param has_been_sent: whether a target may have run the call already.
        """
        block = self._block()
        if block is None and self._crashes < MAX_CRASHES_PER_CALL:
            return None
        detail = "targets of the service crashed as they began to run this call"
        if has_been_sent or block is None:
            return problem_outcome(Progress.SENT, 502, "Call crashes targets", detail)
        left_ms = self._guard.left_ms(block)
        return problem_outcome(Progress.NOT_SENT, 503, "Call blocked", detail, left_ms)

    def on_answered(self) -> None:
        """Record that a target ran the call to an end."""
        if self._guard.has_evidence:
            self._guard.record_answer(self._key)

    async def on_broken_off(self, address: Address, sent_at: Millis) -> None:
        """Record a call that its target broke off, if the target's process ended."""
        if address not in self._listed(self._call.service):
            return
        if self._is_leaving(address):
            return
        if await self._http.accepts(address, CONNECT_MS) is not False:
            return
        log.info("the process at {} ended under the call {}", address, self._key)
        self._crashes += 1
        self._guard.record_crash(
            self._call.account,
            RequestKeys(self._key),
            self._ends.record(address, sent_at),
            sent_at,
            Evidence.BEGUN,
        )
