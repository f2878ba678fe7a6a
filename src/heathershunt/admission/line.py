"""Order in which streams that wait for capacity search for a chain.

One stream at a time has the turn to search. If it finds a chain, the next one has its
turn at once; if it finds none, the line rests until the next round. A run that ends
begins a short round, in which one search may be in vain. In a full round, those that
may do better than the head search as well: it may fit nowhere, for a reason of its own.
"""

import math
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass

from heathershunt.admission.ranks import RANK_RATIO, RankedQueue
from heathershunt.clock import Millis

# Weight of all accounts: the configuration of the gateway has none.
EQUAL_SHARE = 1.0


@dataclass(frozen=True)
class LineConfig:
    """Constants of a line.

    :param rank_ratio: weight of a priority relative to the next lower one that waits;
        also the largest factor by which rounds are held back for other VMs.
    :param rest_ms: time between two full rounds while no chain has room.
    :param min_rest_ms: shortest time between two rounds when runs end. A search takes
        up to 3 ms of CPU time, and runs may end more often.
    :param vain_searches: most searches of a full round that find no chain.
    :param looked_at: waiters that are looked at for those searches.
    :param smaller: part of the size of a stream that found no chain, below which
        another one may find one. Most streams differ in size, so without it each full
        round would have all its searches.
    :param turns_window_ms: age up to which turns count for the rate of turns.
    :param min_turns: turns from which that rate is known.
    :param late_factor: factor by which the expected wait exceeds what a stream may wait
        when it is refused at once. A rate of 8 turns may be wrong by a third.
    :param min_return_ms: shortest time after which refused callers may return.
    :param max_return_ms: longest such time, before the random part.

    .. versionadded:: 0.10
    """

    rank_ratio: float = RANK_RATIO
    rest_ms: int = 60
    min_rest_ms: int = 10
    vain_searches: int = 4
    looked_at: int = 16
    smaller: float = 0.25
    turns_window_ms: int = 2000
    min_turns: int = 8
    late_factor: float = 1.5
    min_return_ms: int = 500
    max_return_ms: int = 10_000


@dataclass(frozen=True, eq=False, slots=True)
class Waiter:
    """A stream that waits.

    :param account: name of the client account; empty on public routes.
    :param rank: priority; lower goes first.
    :param size: tokens of the stream; a larger one needs more room.
    :param cost: turns that the stream is charged with.

    .. versionadded:: 0.10
    """

    account: str
    rank: int
    deadline: Millis
    size: float = 0.0
    cost: float = 1.0


class WaitingLine:
    """Streams of one service that wait at this VM, and whose turn it is.

    :ivar turn: the stream that is to search now; ``None`` if none is.
    :ivar next_at: time at which the next round may begin.
    :ivar held_rounds: rounds that were left to other VMs so far.

    .. versionadded:: 0.10
    """

    def __init__(self, config: LineConfig) -> None:
        self.config = config
        self._queue: RankedQueue[Waiter] = RankedQueue(
            config.rank_ratio, order=lambda waiter: waiter.deadline
        )
        self.turn: Waiter | None = None
        self.next_at = Millis(0)
        self.held_rounds = 0
        self._is_open = False
        self._is_full_round = True
        self._next_full_at = Millis(0)
        self._tried: set[Waiter] = set()
        self._stuck: set[Waiter] = set()
        # Size from which no stream without restrictions is tried in this round.
        self._hopeless_size = math.inf
        self._has_new_room = False
        self._rested_at = Millis(-config.min_rest_ms)
        self._credit = 0.0
        self._turns: deque[Millis] = deque()

    @classmethod
    def from_config(cls, config: LineConfig) -> "WaitingLine":
        """Return an empty line."""
        return cls(config)

    def __len__(self) -> int:
        """Return the number of streams that wait."""
        return len(self._queue)

    @property
    def best_rank(self) -> int | None:
        """Return the highest priority that waits; ``None`` if none does."""
        return min(self._queue.counts(), default=None)

    def stuck(self) -> Counter[int]:
        """Return how many wait for a reason of their own, by priority.

        There was room that they could not use, so room that others leave to them would
        stay unused.
        """
        return Counter(waiter.rank for waiter in self._stuck)

    def join(self, waiter: Waiter) -> None:
        """Add a stream."""
        self._queue.add(waiter, EQUAL_SHARE, ready=True)

    def leave(self, waiter: Waiter) -> None:
        """Remove a stream that no longer waits and has no chain."""
        self._queue.remove(waiter)
        self._on_gone(waiter)

    def take(self, waiter: Waiter, now: Millis) -> None:
        """Remove a stream that has a chain, and charge its account with a turn."""
        self._queue.take(waiter, EQUAL_SHARE)
        if self.turn is waiter:
            self._stuck |= self._tried
            self._turns.append(now)
            # Each turn counts as a round when rounds are held back for other VMs. Those
            # that searched in this round are left out of the next: there is less room.
            self._is_open = False
            self.next_at = now
        self._on_gone(waiter)

    def pass_on(self, waiter: Waiter, is_restricted: bool) -> None:
        """Record that the stream whose turn it is found no chain; it keeps its place.

        :param is_restricted: whether it may not use all runners that the others may.
        """
        if self.turn is not waiter:
            return
        self.turn = None
        self._tried.add(waiter)
        if is_restricted:
            self._stuck.add(waiter)
        else:
            hopeless_size = waiter.size * self.config.smaller
            self._hopeless_size = min(self._hopeless_size, hopeless_size)

    def on_room(self, now: Millis) -> None:
        """Let the next round begin soon, as a run has ended."""
        if self._is_open:
            self._has_new_room = True
        else:
            earliest = max(now, self._rested_at + self.config.min_rest_ms)
            self.next_at = Millis(min(self.next_at, earliest))

    def next_turn(self, now: Millis, elsewhere: Mapping[int, int]) -> Waiter | None:
        """Return the stream that gets the turn now; ``None`` if none does.

        :param elsewhere: streams that wait at other VMs, by priority.
        """
        if self.turn is not None or not self._queue:
            return None
        if not self._is_open:
            self._is_full_round = now >= self._next_full_at
            if now < self.next_at or not self._may_begin(now, elsewhere):
                return None
            self._is_open = True
        self.turn = self._next_candidate()
        if self.turn is None:
            self._rest(now)
        return self.turn

    def wait_ms(self, waiter: Waiter, now: Millis) -> float | None:
        """Return how long a stream that joins now would wait; ``None`` if unknown."""
        turn_ms = self._turn_ms(now)
        if turn_ms is None:
            return None
        return self._queue.work_before(waiter, EQUAL_SHARE) * turn_ms

    def is_too_late(self, waiter: Waiter, left_ms: float, now: Millis) -> bool:
        """Return whether the turn of a stream that joins now would come too late.

        :param left_ms: time for which the stream may wait.
        """
        wait_ms = self.wait_ms(waiter, now)
        return wait_ms is not None and wait_ms > left_ms * self.config.late_factor

    def return_ms(self, waiter: Waiter, now: Millis) -> int:
        """Return the time after which the caller of a refused stream may return."""
        turn_ms = self._turn_ms(now) or self.config.rest_ms
        wait_ms = self._queue.work_before(waiter, EQUAL_SHARE) * turn_ms
        return int(min(self.config.min_return_ms + wait_ms, self.config.max_return_ms))

    def _turn_ms(self, now: Millis) -> float | None:
        """Return the mean time between two turns while streams wait, if it is known."""
        while self._turns and now - self._turns[0] > self.config.turns_window_ms:
            self._turns.popleft()
        if len(self._turns) < self.config.min_turns:
            return None
        return max(1.0, (now - self._turns[0]) / len(self._turns))

    def _may_begin(self, now: Millis, elsewhere: Mapping[int, int]) -> bool:
        """Return whether a round begins, or is left to more urgent streams elsewhere.

        The fraction of rounds is added up, so that a low priority gets its part in any
        case.
        """
        best = self.best_rank
        urgent = sum(count for rank, count in elsewhere.items() if rank < best)
        waiting = len(self._queue) + sum(elsewhere.values())
        share = 1 - urgent / waiting
        self._credit += max(1 / self.config.rank_ratio, share)
        if self._credit >= 1:
            self._credit -= 1
            return True
        self.held_rounds += 1
        self._rest(now)
        return False

    def _next_candidate(self) -> Waiter | None:
        config = self.config
        if len(self._tried) >= (config.vain_searches if self._is_full_round else 1):
            return None
        head = self._queue.peek(lambda account: True)
        if self._may_search(head):
            return head
        candidates = self._queue.first(config.looked_at)
        return next(filter(self._may_search, candidates), None)

    def _may_search(self, waiter: Waiter) -> bool:
        if waiter in self._tried or (not self._is_full_round and waiter in self._stuck):
            return False
        return waiter.size < self._hopeless_size

    def _rest(self, now: Millis) -> None:
        """End the round; the next one begins later, or when a run ends."""
        config = self.config
        self._is_open = False
        self._tried.clear()
        self._hopeless_size = math.inf
        self._rested_at = now
        if self._is_full_round:
            self._next_full_at = Millis(now + config.rest_ms)
        soonest = Millis(now + config.min_rest_ms)
        self.next_at = (
            soonest if self._has_new_room else max(soonest, self._next_full_at)
        )
        self._has_new_room = False

    def _on_gone(self, waiter: Waiter) -> None:
        self._tried.discard(waiter)
        self._stuck.discard(waiter)
        if self.turn is waiter:
            self.turn = None
        if not self._queue:
            self._is_open = False
            self._hopeless_size = math.inf
            # The rate of turns says something about the capacity only while streams
            # wait; without them it equals the rate of arrivals.
            self._turns.clear()
            self._queue.remove_idle()
