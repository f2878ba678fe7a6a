"""Figures of the admission queue."""

import heapq
import random
from collections import deque
from dataclasses import dataclass

from heathershunt.admission import (
    AccountLimits,
    AdmissionConfig,
    AdmissionQueue,
    Demand,
    ShareConfig,
    ShareSplitter,
    Ticket,
)
from heathershunt.clock import ManualClock, Millis
from heathershunt.routing import RoutingConfig, pipeline_capacity
from measure.figures import figure, microseconds_each
from measure.pipeline_model import (
    HOP_MS,
    LAYERS,
    PipelineModel,
    chain_choice,
    mixed_views,
    routers_for,
)

VMS = 4
MEAN_TOKENS = 32
DEADLINE_MS = 12_000
# Name under which the VMs tell each other their whole demand.
ALL_ACCOUNTS = "*"
OPEN = AccountLimits(concurrent=10_000, requests_per_second=1e6, queued=10_000)


def offer_and_next_time() -> None:
    """Measure one offer, and one next with its release, on a long queue."""
    for accounts in (100, 27_000):
        config = AdmissionConfig(queued_total=60_000, default_limits=OPEN)
        queue = AdmissionQueue.from_config(config)
        queue.set_limit(64)
        chooser = random.Random(5)
        numbers = iter(range(10**9))

        def offer(queue=queue, numbers=numbers, pick=chooser, accounts=accounts):
            account = f"account{pick.randrange(accounts)}"
            rank = pick.randrange(3)
            ticket = Ticket(f"{next(numbers)}", account, rank, Millis(10**9))
            queue.offer(ticket, Millis(0))

        def serve(queue=queue):
            ticket = queue.next(Millis(0))
            queue.release(ticket, Millis(100))

        for _ in range(accounts):
            offer()
        offered = microseconds_each(offer, 500)
        served = microseconds_each(serve, 500)
        figure(f"offer, {accounts} accounts", offered, "us")
        figure(f"next and release, {accounts} accounts", served, "us")


@dataclass
class Flood:
    """One account at five times the capacity beside twenty small ones.

    :param fair: use the admission queue; first come, first served otherwise.
    """

    fair: bool
    places: int = 32
    hold_ms: float = 500.0
    end_ms: float = 120_000.0

    def waits(self) -> list[float]:
        """Return the waiting times of the small accounts' requests, sorted."""
        self.clock, self.random = ManualClock(), random.Random(11)
        self.queue = AdmissionQueue.from_config(AdmissionConfig(default_limits=OPEN))
        self.queue.set_limit(self.places)
        self.line: deque[Ticket] = deque()
        self.busy, self.arrived, self.waited = 0, {}, []
        capacity = self.places / self.hold_ms
        events = [(0.0, 0, "flood", 5 * capacity)]
        events += [(0.0, i, f"small{i}", 0.1 * capacity / 20) for i in range(1, 21)]
        count = len(events)
        while events and events[0][0] < self.end_ms:
            at, number, account, rate = heapq.heappop(events)
            self.clock.advance(int(at) - self.clock.now())
            if isinstance(account, Ticket):
                self.busy -= 1
                self.queue.release(account, self.clock.now())
            else:
                count += 1
                again = at + self.random.expovariate(rate)
                heapq.heappush(events, (again, number, account, rate))
                self._offer(Ticket(f"{count}", account, 0, Millis(int(at) + 5_000)))
            while (ticket := self._next()) is not None:
                count += 1
                done = at + self.random.expovariate(1 / self.hold_ms)
                heapq.heappush(events, (done, count, ticket, 0.0))
            self.queue.expire(self.clock.now())
        return sorted(self.waited)

    def _offer(self, ticket: Ticket) -> None:
        self.arrived[ticket.id] = self.clock.now()
        if self.fair:
            self.queue.offer(ticket, self.clock.now())
        else:
            self.line.append(ticket)

    def _next(self) -> Ticket | None:
        ticket = None
        if self.fair:
            ticket = self.queue.next(self.clock.now())
        elif self.line and self.busy < self.places:
            ticket = self.line.popleft()
        if ticket is not None:
            self.busy += 1
            if ticket.account != "flood":
                self.waited.append(self.clock.now() - self.arrived[ticket.id])
        return ticket


class Goodput:
    """Drafts on mixed runners that finish before their deadline.

    :param load: offered drafts over the bound.
    :param vm_weights: how the drafts are spread over the VMs.
    :param shares: how the VMs split the runs; equally if there is none.
    """

    def __init__(
        self,
        load: float,
        admission: bool,
        vm_weights: tuple[float, ...] = (1, 1, 1, 1),
        shares: ShareConfig | None = None,
    ) -> None:
        views = mixed_views()
        capacity = pipeline_capacity(views, LAYERS, HOP_MS)
        routers = routers_for(VMS, RoutingConfig())
        self.model = PipelineModel(views, VMS, 500, chain_choice(routers), routers)
        self.bound = capacity.tokens_per_second / MEAN_TOKENS
        self.runs = int(1.1 * capacity.runs)
        self.weights, self.splitters = vm_weights, []
        if shares is not None:
            self.splitters = [ShareSplitter(shares, f"vm{vm}") for vm in range(VMS)]
        self.rate = load * self.bound / 1000
        self.admission = admission
        config = AdmissionConfig(default_limits=OPEN, hold_ms=6000.0)
        self.queues = [AdmissionQueue.from_config(config) for _ in range(VMS)]
        for queue in self.queues:
            queue.set_limit(self.runs // VMS)
        self.tickets: dict[str, tuple[Ticket, int]] = {}
        self.good = self.offered = self.at_once = self.late = 0
        self.measuring = False

    def run(self) -> float:
        """Return drafts in time per second over the bound."""
        self.model.on_end = self._ended
        self._arrive()
        self.model.at(0, self._expire)
        if self.splitters:
            self._split()
        self.model.run_until(20_000)
        self.measuring = True
        self.model.run_until(60_000)
        return self.good / 40 / self.bound

    def _arrive(self) -> None:
        model, now = self.model, self.model.clock.now()
        self.offered += 1
        vm = model.random.choices(range(VMS), self.weights)[0]
        if self.splitters:
            self.splitters[vm].record(ALL_ACCOUNTS)
        ticket = Ticket(f"{self.offered}", "a", 0, Millis(now + DEADLINE_MS))
        if not self.admission:
            self._start(vm, ticket)
        elif self.queues[vm].offer(ticket, now).is_err():
            self.at_once += 1
        self._fill(vm)
        model.at(model.random.expovariate(self.rate), self._arrive)

    def _start(self, vm: int, ticket: Ticket) -> None:
        tokens = self.model.random.randint(MEAN_TOKENS // 2, MEAN_TOKENS * 3 // 2)
        self.tickets[self.model.start(vm, tokens).id] = (ticket, vm)

    def _fill(self, vm: int) -> None:
        while (ticket := self.queues[vm].next(self.model.clock.now())) is not None:
            self._start(vm, ticket)

    def _ended(self, run) -> None:
        ticket, vm = self.tickets.pop(run.id)
        now = self.model.clock.now()
        if self.measuring and now <= ticket.deadline:
            self.good += 1
        self.queues[vm].release(ticket, now)
        self.model.at(0, lambda: self._fill(vm))

    def _split(self) -> None:
        now = self.model.clock.now()
        names = frozenset(splitter.vm for splitter in self.splitters)
        for splitter in self.splitters:
            demand = splitter.measure(now)
            for other in self.splitters:
                other.observe(demand)
        for splitter, queue in zip(self.splitters, self.queues, strict=True):
            limit = splitter.integer_share(ALL_ACCOUNTS, self.runs, now, names)
            queue.set_limit(limit)
        self.model.at(1000, self._split)

    def _expire(self) -> None:
        for queue in self.queues:
            self.late += len(queue.expire(self.model.clock.now()))
        self.model.at(50, self._expire)


def share_time() -> None:
    """Measure one share and one whole share among 390 VMs that are all heard."""
    vms = frozenset(f"vm{number}" for number in range(390))
    splitter = ShareSplitter.from_config(ShareConfig(), "vm0")
    splitter.measure(Millis(0))
    rates = {f"account{number}": 1.0 for number in range(64)}
    for number in range(1, 390):
        splitter.observe(Demand(f"vm{number}", Millis(0), rates))

    def share() -> None:
        splitter.share("account1", 100.0, Millis(1), vms)

    def whole_share() -> None:
        splitter.integer_share("account1", 64, Millis(1), vms)

    figure("share of a rate, 390 VMs", microseconds_each(share, 100), "us")
    figure("whole share, 390 VMs", microseconds_each(whole_share, 100), "us")


def usable_limit() -> None:
    """Measure what an account gets at one VM that receives all its requests."""
    vms = frozenset(f"vm{number}" for number in range(390))
    for heard in (8, 389):
        splitter = ShareSplitter.from_config(ShareConfig(), "vm0")
        for second in range(30):
            now = Millis(second * 1000)
            splitter.record("account", 100)
            splitter.measure(now)
            for number in range(1, heard + 1):
                splitter.observe(Demand(f"vm{number}", now, {}))
        used = splitter.share("account", 100.0, Millis(29_001), vms)
        name = f"limit usable at one of 390 VMs, {heard} heard"
        figure(name, used / 100, "of limit", f"equal split {1 / 390:.4f}")


def small_accounts() -> None:
    """Measure the wait of small accounts beside a flood."""
    fair, line = Flood(True).waits(), Flood(False).waits()
    for name, place in (("mean", None), ("p99", 0.99)):
        found = [
            sum(waits) / len(waits) if place is None else waits[int(place * len(waits))]
            for waits in (fair, line)
        ]
        baseline = f"no admission {found[1]:.0f}"
        figure(f"wait of small accounts, {name}", found[0], "ms", baseline)


def goodput() -> None:
    """Measure drafts in time below, at and above the capacity."""
    for load in (0.5, 0.9, 1.0, 1.5, 3.0):
        with_it, without = Goodput(load, True), Goodput(load, False)
        good, bare = with_it.run(), without.run()
        late = with_it.late / max(1, with_it.late + with_it.at_once)
        baseline = f"no admission {bare:.3f}; {late:.2f} of refusals after waiting"
        figure(f"goodput at {load} x capacity", good, "of bound", baseline)
    skewed = (7, 1, 1, 1)
    for load in (1.0, 3.0):
        split = Goodput(load, True, skewed, ShareConfig()).run()
        equal = Goodput(load, True, skewed).run()
        name = f"goodput at {load} x capacity, 70 % at one VM"
        figure(name, split, "of bound", f"equal split {equal:.3f}")


def main() -> None:
    """Print the figures of the admission queue."""
    offer_and_next_time()
    share_time()
    usable_limit()
    small_accounts()
    goodput()
