"""Model of targets that leave or ask for pauses, before fleets of 4 to 390 VMs.

Callers send requests to VMs at random moments. Each VM sends a request to one of the
targets that it may use, and to another one if it is turned away, or refuses it. Some
targets turn requests away for a while and ask for a pause, or say in their answers that
they leave while the list still calls them live. Callers that are refused come back
after the time that they were told.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from heathershunt.availability import AvailabilityTable, Notice
from heathershunt.clock import ManualClock
from heathershunt.ratelimits import TargetProcess
from heathershunt.relay.calls import RETRY_AFTER_MS
from measure._report import emit

ANSWER_MS = 20
EXPIRE_MS = 100
# The stated rule: at most so many requests of a VM reach a target from so long after it
# asked that VM for a pause to the end of the pause.
ALLOWED = 2
SLACK_MS = 500
# Targets to which a request is sent at most, as on a route that may be retried.
MAX_SENDS = 2
# A target serves for so long after it said first that it leaves.
DRAIN_MS = 3000
# Work counts as spread again once the targets that paused get this fraction of their
# share of the requests in each window.
SPREAD_FRACTION = 0.8
WINDOW_MS = 500
BEGIN_MS = 2000
# VMs, requests a second and targets.
SIZES = ((4, 200, 12), (78, 1000, 120), (390, 1500, 200))


@dataclass(frozen=True)
class Day:
    """What happens in one run of the model.

    :param rate: requests a second of all callers.
    :param away: fraction of the targets that pause or leave.
    :param pause_ms: pause that they ask for; 0 if they leave instead.
    :param busy_ms: time for which they turn requests away.
    """

    vms: int
    rate: float
    targets: int
    away: float = 0.5
    pause_ms: int = 2000
    busy_ms: int = 2000
    seconds: int = 12


@dataclass
class Tally:
    """Counts of one run.

    :ivar within_pause: most requests of a VM that reached a target in a pause.
    :ivar refused: requests that were refused, also when they came back.
    :ivar refused_beside_free: of these, the ones while the VM could have sent them to a
        target that was neither busy nor pausing for it nor leaving.
    :ivar turned_away: sends that a target turned away.
    :ivar spread_ms: time from the end of the busy time until work was spread again.
    :ivar peak: most requests that a target that paused got in a tenth of a second after
        its busy time, as a multiple of its share.
    :ivar empty_ms: time from the end of the busy time to the first request served.
    :ivar to_leaving: requests that reached leaving targets after they said it first.
    :ivar known_to_leaving: of these, the ones from VMs that had been told.
    :ivar to_ended: sends to targets that had ended.
    """

    requests: int = 0
    within_pause: int = 0
    refused: int = 0
    refused_beside_free: int = 0
    turned_away: int = 0
    spread_ms: float = 0.0
    peak: float = 0.0
    empty_ms: float = 0.0
    to_leaving: int = 0
    known_to_leaving: int = 0
    to_ended: int = 0
    arrivals: list[tuple[int, int]] = field(default_factory=list)


class Model:
    """One run of the model.

    :param seed: of all random choices.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(seed)
        self._clock = ManualClock()
        # The clock counts whole milliseconds, in which several requests may arrive.
        self._time = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._targets = [TargetProcess(str(n), 1) for n in range(day.targets)]
        by_id = {target.id: target for target in self._targets}
        self._tables = [
            AvailabilityTable(
                self._clock, by_id.get, lambda event: None, random.Random(f"{seed} {n}")
            )
            for n in range(day.vms)
        ]
        self._away = {str(n) for n in range(round(day.targets * day.away))}
        self._pauses: dict[tuple[int, str], list[int]] = {}
        self._told: set[tuple[int, str]] = set()
        self._said_at: dict[str, int] = {}
        self._in_pause: Counter[tuple[int, str]] = Counter()
        self.tally = Tally()

    def run(self) -> Tally:
        """Run the day and return its counts."""
        self._after(0, self._arrive)
        self._after(0, self._expire)
        while self._queue and self._queue[0][0] < self._day.seconds * 1000:
            at, _, action = heapq.heappop(self._queue)
            self._time = at
            self._clock.advance(int(at) - self._clock.now())
            action()
        self._count()
        return self.tally

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        at = self._time + delay_ms
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _expire(self) -> None:
        self._after(EXPIRE_MS, self._expire)
        for table in self._tables:
            table.expire()

    # Requests

    def _arrive(self) -> None:
        self._after(self._random.expovariate(self._day.rate) * 1000, self._arrive)
        self.tally.requests += 1
        self._receive()

    def _receive(self) -> None:
        self._serve(self._random.randrange(self._day.vms), frozenset())

    def _serve(self, vm: int, tried: frozenset[str]) -> None:
        table = self._tables[vm]
        usable = [t for t in table.usable("s", self._targets) if t.id not in tried]
        if usable and len(tried) < MAX_SENDS:
            self._send(vm, self._random.choice(usable), tried)
            return
        self.tally.refused += 1
        if any(self._is_free(vm, target) for target in self._targets):
            self.tally.refused_beside_free += 1
        wait_ms = table.first_wait_ms(self._targets)
        told_ms = table.retry_after_ms(wait_ms) if wait_ms else RETRY_AFTER_MS
        self._after(told_ms, self._receive)

    def _is_busy(self, target: TargetProcess) -> bool:
        begin = BEGIN_MS
        if target.id not in self._away or not self._day.pause_ms:
            return False
        return begin <= self._clock.now() < begin + self._day.busy_ms

    def _is_free(self, vm: int, target: TargetProcess) -> bool:
        return not self._is_busy(target) and self._tables[vm].wait_ms(target) == 0

    def _send(self, vm: int, target: TargetProcess, tried: frozenset[str]) -> None:
        now = self._clock.now()
        if target.id in self._away:
            self._record_arrival(vm, target, now)
        if self._is_busy(target):
            self.tally.turned_away += 1
            self._after(ANSWER_MS, lambda: self._turn_away(vm, target, tried))
        elif self._is_leaving(target, now):
            self._after(ANSWER_MS, lambda: self._say_leaving(vm, target))

    def _is_leaving(self, target: TargetProcess, now: int) -> bool:
        is_away = target.id in self._away and not self._day.pause_ms
        return is_away and now >= BEGIN_MS

    def _turn_away(self, vm: int, target: TargetProcess, tried: frozenset[str]) -> None:
        notice = Notice(pause_ms=self._day.pause_ms)
        self._pauses.setdefault((vm, target.id), []).append(self._clock.now())
        self._tables[vm].record(target, notice)
        self._serve(vm, tried | {target.id})

    def _say_leaving(self, vm: int, target: TargetProcess) -> None:
        self._told.add((vm, target.id))
        self._said_at.setdefault(target.id, self._clock.now())
        self._tables[vm].record(target, Notice(is_leaving=True))

    def _record_arrival(self, vm: int, target: TargetProcess, now: int) -> None:
        tally = self.tally
        tally.arrivals.append((now, int(target.id)))
        for asked in self._pauses.get((vm, target.id), ()):
            if asked + SLACK_MS < now < asked + self._day.pause_ms:
                self._in_pause[vm, target.id] += 1
        said_at = self._said_at.get(target.id)
        if said_at is None:
            return
        tally.to_leaving += 1
        tally.known_to_leaving += (vm, target.id) in self._told
        tally.to_ended += now >= said_at + DRAIN_MS

    # Counts

    def _count(self) -> None:
        day, tally = self._day, self.tally
        tally.within_pause = max(self._in_pause.values(), default=0)
        if not day.pause_ms:
            return
        end = BEGIN_MS + day.busy_ms
        after = [(at - end, target) for at, target in tally.arrivals if at >= end]
        tally.empty_ms = min((at for at, _ in after), default=float("inf"))
        per_ms = day.rate / 1000 / day.targets
        by_window = Counter(at // WINDOW_MS for at, _ in after)
        wanted = per_ms * WINDOW_MS * len(self._away) * SPREAD_FRACTION
        windows = range((day.seconds * 1000 - end) // WINDOW_MS)
        first = next((w for w in windows if by_window[w] >= wanted), len(windows))
        tally.spread_ms = first * WINDOW_MS
        tenths = Counter((at // 100, target) for at, target in after)
        share = max(1.0, per_ms * 100)
        tally.peak = max(tenths.values(), default=0) / share


def main() -> None:
    """Print the figures of all days at each size of the fleet."""
    for vms, rate, targets in SIZES:
        common = {"vms": vms, "rate": rate, "targets": targets}
        days = {
            f"half_{pause}ms": Day(
                **common, pause_ms=pause, busy_ms=pause, seconds=8 + 2 * pause // 1000
            )
            for pause in (500, 5000, 20_000)
        }
        days["all_2000ms"] = Day(**common, away=1.0)
        days["leaving"] = Day(**common, away=0.25, pause_ms=0)
        for name, day in days.items():
            prefix = f"availability.{vms}.{name}"
            tally = Model(day, seed=1).run()
            if not day.pause_ms:
                emit(f"{prefix}.known", tally.known_to_leaving, "requests")
                emit(f"{prefix}.after_word", tally.to_leaving, "requests")
                emit(f"{prefix}.to_ended", tally.to_ended, "requests")
                continue
            emit(f"{prefix}.within_pause", tally.within_pause, "requests", str(ALLOWED))
            emit(f"{prefix}.turned_away", tally.turned_away, "sends")
            emit(f"{prefix}.refused", tally.refused / tally.requests, "of the requests")
            emit(f"{prefix}.beside_free", tally.refused_beside_free, "requests")
            emit(f"{prefix}.spread", tally.spread_ms, "ms")
            emit(f"{prefix}.empty", tally.empty_ms, "ms")
            emit(f"{prefix}.peak", tally.peak, "shares")


if __name__ == "__main__":
    main()
