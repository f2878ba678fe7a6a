"""Model of targets that name limits, before fleets of 4 to 390 VMs.

Callers send requests to VMs at random moments. Each VM sends a request to one of the
targets that it may use, or refuses it. Some of the targets name a limit in their
answers. The VMs exchange what they know as gateways do, through the aggregators of
their groups. What a target receives in any four seconds is compared with the stated
rule.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from heathershunt.clock import ManualClock
from heathershunt.discovery import Member, MemberList, Target
from heathershunt.gateway.topology import Topology
from heathershunt.http import Address
from heathershunt.pipelines.load_exchange import (
    EXCHANGE_PERIOD_MS,
    LARGE_FLEET_PERIOD_MS,
)
from heathershunt.ratelimits import LimitGuard, Statement
from measure._report import emit

ANSWER_MS = 20
PUSH_MS = 20
UPDATE_MS = 100
DOWN_MS = 2000
# The stated rule: in each window, so many times what the limit allows and so many more.
WINDOW_MS = 4000
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
# From this long after the limit was first named.
CONTACT_MS = 3000
# Sends of VMs that know of the limit from an answer for so long.
KNOWN_MS = 500
SEEDS = 1
# VMs, requests a second and targets.
SIZES = ((4, 40, 12), (26, 200, 60), (78, 500, 150), (390, 800, 100))


@dataclass(frozen=True)
class Day:
    """What happens in one run of the model.

    :param rate: requests a second of all callers.
    :param limited: targets that name a limit, from ``named_at`` on.
    :param per_s: limit of each of them, in requests a second.
    :param busiest: requests that the busiest VM receives for each one of the others.
    :param restarts: VMs that are restarted one after the other.
    :param cut: VMs that can't exchange anything with the others.
    :param checks_per_s: checks of each limited target by each VM, a second.
    """

    vms: int = 4
    rate: float = 40.0
    targets: int = 12
    limited: int = 8
    per_s: float = 3.0
    named_at: int = 3000
    withdrawn_at: int = 16_000
    seconds: int = 20
    busiest: float = 1.0
    restarts: int = 0
    cut: int = 0
    checks_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Send:
    """A request to a target that names a limit.

    :param is_counted: whether its VM knew of the limit.
    """

    at: int
    is_counted: bool


@dataclass
class Tally:
    """Counts of one run.

    :ivar worst: most requests in a window from VMs that know of the limit, as a
        fraction of those allowed.
    :ivar worst_of_all: the same from all VMs.
    :ivar used: requests that limited targets received, as a fraction of their limits.
    """

    requests: int = 0
    refused: int = 0
    worst: float = 0.0
    worst_of_all: float = 0.0
    used: float = 0.0
    sends_by_target: dict[str, list[Send]] = field(default_factory=dict)


class Model:
    """One run of the model.

    :param seed: of all random choices.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._members = MemberList(self._clock)
        self._names = [f"vm-{number:03}" for number in range(day.vms)]
        self._name_by_address: dict[Address, str] = {}
        for number, name in enumerate(self._names):
            address = Address("10.0.0.1", 1000 + number)
            self._name_by_address[address] = name
            self._members.put(Member(name, "", "a", address))
        self._topologies = {vm: Topology(self._members, vm, 500) for vm in self._names}
        self._down: set[str] = set()
        self._cut = set(self._random.sample(self._names, day.cut))
        self._weights = [day.busiest] + [1.0] * (day.vms - 1)
        address = Address("10.0.0.2", 80)
        self._targets = [
            Target(f"target-{number}", "s", address, "a", 8, 1)
            for number in range(day.targets)
        ]
        self._target_by_id = {target.id: target for target in self._targets}
        self._guards = {vm: self._new_guard(vm) for vm in self._names}
        self._limited = {target.id for target in self._targets[: day.limited]}
        self._known_at: dict[tuple[int, str], int] = {}
        self.tally = Tally(sends_by_target={name: [] for name in self._limited})

    def _new_guard(self, vm: str) -> LimitGuard:
        guard = LimitGuard(
            self._clock,
            vm,
            self._members.names,
            self._target_by_id.get,
            lambda event: None,
        )
        guard.on_news = lambda: self._after(PUSH_MS, lambda: self._push(vm))
        return guard

    def run(self) -> Tally:
        """Run the day and return its counts."""
        day = self._day
        self._after(0, self._arrive)
        self._after(0, self._update)
        for vm in self._names:
            self._after(self._random.uniform(0, 250), lambda vm=vm: self._exchange(vm))
        for number in range(day.restarts):
            vm = self._names[number % day.vms]
            self._after(5000 + 1500 * number, lambda vm=vm: self._restart(vm))
        if day.checks_per_s:
            self._after(0, self._check)
        while self._queue and self._queue[0][0] < day.seconds * 1000:
            at, _, action = heapq.heappop(self._queue)
            self._clock.advance(int(at) - self._clock.now())
            action()
        self._count()
        return self.tally

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        at = self._clock.now() + delay_ms
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _names_limit(self) -> bool:
        return self._day.named_at <= self._clock.now() < self._day.withdrawn_at

    # Requests

    def _arrive(self) -> None:
        self._after(self._random.expovariate(self._day.rate) * 1000, self._arrive)
        vm = self._random.choices(self._names, self._weights)[0]
        if vm in self._down:
            return
        guard = self._guards[vm]
        guard.record_request()
        self.tally.requests += 1
        spent = guard.spent()
        usable = [target for target in self._targets if target.id not in spent]
        if not usable:
            self.tally.refused += 1
            return
        self._send(guard, self._random.choice(usable))

    def _send(self, guard: LimitGuard, target: Target) -> None:
        now = self._clock.now()
        guard.record_send(target)
        if target.id not in self._limited:
            return
        known_at = self._known_at.get((id(guard), target.id))
        is_counted = known_at is not None and now - known_at >= KNOWN_MS
        self.tally.sends_by_target[target.id].append(Send(now, is_counted))
        self._after(ANSWER_MS, lambda: self._answer(guard, target, now))

    def _answer(self, guard: LimitGuard, target: Target, sent_at: int) -> None:
        per_s = self._day.per_s if self._names_limit() else None
        if per_s is not None:
            self._known_at.setdefault((id(guard), target.id), self._clock.now())
        guard.record(target, Statement(per_s, sent_at))

    def _check(self) -> None:
        self._after(1000 / self._day.checks_per_s, self._check)
        for vm in self._names:
            for target in self._targets[: self._day.limited]:
                if self._guards[vm].may_check(target):
                    self._send(self._guards[vm], target)

    # Exchange

    def _update(self) -> None:
        self._after(UPDATE_MS, self._update)
        for guard in self._guards.values():
            guard.update()

    def _exchange(self, vm: str) -> None:
        is_flat = self._topologies[vm].fleet_factor() <= 1
        period = EXCHANGE_PERIOD_MS if is_flat else LARGE_FLEET_PERIOD_MS
        self._after(period * self._random.uniform(0.8, 1.2), lambda: self._exchange(vm))
        self._merge_with_first(vm, self._topologies[vm].aggregators())

    def _push(self, vm: str) -> None:
        for addresses in self._topologies[vm].news_recipients():
            self._merge_with_first(vm, addresses)

    def _merge_with_first(self, vm: str, addresses: list[Address | None]) -> None:
        unreachable = self._cut | self._down
        if vm in unreachable:
            return
        for address in addresses:
            other = vm if address is None else self._name_by_address[address]
            if other not in unreachable:
                self._guards[other].merge(self._guards[vm].digest())
                self._guards[vm].merge(self._guards[other].digest())
                return

    # Restarts

    def _restart(self, vm: str) -> None:
        self._down.add(vm)
        self._members.remove(vm)
        self._after(DOWN_MS, lambda: self._start(vm))

    def _start(self, vm: str) -> None:
        self._down.discard(vm)
        address = next(a for a, name in self._name_by_address.items() if name == vm)
        self._members.put(Member(vm, "", "a", address))
        self._guards[vm] = self._new_guard(vm)

    # Counts

    def _count(self) -> None:
        day, tally = self._day, self.tally
        first, last = day.named_at + CONTACT_MS, day.withdrawn_at
        allowed = ALLOWED_FACTOR * day.per_s * WINDOW_MS / 1000 + ALLOWED_MORE
        received = 0
        for sends in tally.sends_by_target.values():
            times = [send.at for send in sends if first <= send.at < last]
            received += len(times)
            counted = [s.at for s in sends if first <= s.at < last and s.is_counted]
            tally.worst = max(tally.worst, _most_in_window(counted) / allowed)
            worst_of_all = _most_in_window(times) / allowed
            tally.worst_of_all = max(tally.worst_of_all, worst_of_all)
        limit = day.per_s * (last - first) / 1000 * len(self._limited)
        tally.used = received / max(1.0, limit)


def _most_in_window(times: list[int]) -> int:
    most = 0
    window: deque[int] = deque()
    for time in times:
        window.append(time)
        while window[0] <= time - WINDOW_MS:
            window.popleft()
        most = max(most, len(window))
    return most


def main() -> None:
    """Print the figures of all days at each size of the fleet."""
    for vms, rate, targets in SIZES:
        common = {"vms": vms, "rate": rate, "targets": targets}
        most = rate / targets
        days = {
            "some": Day(**common, limited=targets * 2 // 3, per_s=most / 2),
            "all": Day(**common, limited=targets, per_s=most / 2),
            "all_uneven": Day(**common, limited=targets, per_s=most / 2, busiest=vms),
            "restarts": Day(**common, limited=targets, per_s=most / 2, restarts=8),
            "cut": Day(**common, limited=targets, per_s=most / 2, cut=vms // 4),
            "tiny": Day(**common, limited=targets * 2 // 3, per_s=0.3),
            "checks": Day(
                **common, limited=targets * 2 // 3, per_s=1.0, checks_per_s=0.5
            ),
        }
        for name, day in days.items():
            tallies = [Model(day, seed).run() for seed in range(SEEDS)]
            prefix = f"rate_limits.{vms}.{name}"
            worst = max(tally.worst for tally in tallies)
            emit(f"{prefix}.worst", worst, "of the allowed", "1")
            worst = max(tally.worst_of_all for tally in tallies)
            emit(f"{prefix}.worst_of_all", worst, "of the allowed")
            used = sum(tally.used for tally in tallies) / SEEDS
            emit(f"{prefix}.used", used, "of the limits", "1")
            refused = sum(t.refused for t in tallies) / sum(t.requests for t in tallies)
            emit(f"{prefix}.refused", refused, "of the requests")


if __name__ == "__main__":
    main()
