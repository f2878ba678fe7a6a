"""Figures of the admission queue and of limits split between VMs."""

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
from measure.figures import microseconds_each, print_figure
from measure.pipeline_model import (
    HOP_MS,
    LAYERS,
    PipelineModel,
    make_routers,
    mixed_views,
    router_policy,
)

VMS = 4
MEAN_TOKENS = 32
DEADLINE_MS = 12_000
# Account name under which the VMs send each other their total demand.
ALL_ACCOUNTS = "*"
UNLIMITED = AccountLimits(concurrent=10_000, requests_per_second=1e6, queued=10_000)


def queue_operation_times() -> None:
    """Measure an offer, and a next with its release, on a queue of many tickets."""
    for accounts in (100, 27_000):
        config = AdmissionConfig(queued_total=60_000, default_limits=UNLIMITED)
        queue = AdmissionQueue.from_config(config)
        queue.set_limit(64)
        generator = random.Random(5)
        numbers = iter(range(10**9))

        def offer(queue=queue, numbers=numbers, rng=generator, accounts=accounts):
            account = f"account{rng.randrange(accounts)}"
            rank = rng.randrange(3)
            ticket = Ticket(f"{next(numbers)}", account, rank, Millis(10**9))
            queue.offer(ticket, Millis(0))

        def serve(queue=queue):
            ticket = queue.next(Millis(0))
            queue.release(ticket, Millis(100))

        for _ in range(accounts):
            offer()
        offer_us = microseconds_each(offer, 500)
        serve_us = microseconds_each(serve, 500)
        print_figure(f"offer, {accounts} accounts", offer_us, "us")
        print_figure(f"next and release, {accounts} accounts", serve_us, "us")


@dataclass
class Flood:
    """Simulates one account that offers five times the capacity, and twenty small ones.

    The small accounts together offer a tenth of the capacity.

    :param fair: use the admission queue; first come, first served otherwise.
    :param slots: requests that run at a time.
    :param mean_run_ms: mean run time of a request.
    :param end_ms: simulated time.
    """

    fair: bool
    slots: int = 32
    mean_run_ms: float = 500.0
    end_ms: float = 120_000.0

    def wait_times(self) -> list[float]:
        """Return the waits of the small accounts' requests in milliseconds, sorted."""
        self.clock, self.random = ManualClock(), random.Random(11)
        self.queue = AdmissionQueue.from_config(
            AdmissionConfig(default_limits=UNLIMITED)
        )
        self.queue.set_limit(self.slots)
        self.fifo: deque[Ticket] = deque()
        self.busy, self.arrival_by_ticket, self.waits_ms = 0, {}, []
        capacity = self.slots / self.mean_run_ms
        events = [(0.0, 0, "flood", 5 * capacity)]
        events += [(0.0, i, f"small{i}", 0.1 * capacity / 20) for i in range(1, 21)]
        count = len(events)
        while events and events[0][0] < self.end_ms:
            at, number, source, rate = heapq.heappop(events)
            self.clock.advance(int(at) - self.clock.now())
            if isinstance(source, Ticket):
                self.busy -= 1
                self.queue.release(source, self.clock.now())
            else:
                count += 1
                next_arrival = at + self.random.expovariate(rate)
                heapq.heappush(events, (next_arrival, number, source, rate))
                self._offer(Ticket(f"{count}", source, 0, Millis(int(at) + 5_000)))
            while (ticket := self._next()) is not None:
                count += 1
                end = at + self.random.expovariate(1 / self.mean_run_ms)
                heapq.heappush(events, (end, count, ticket, 0.0))
            self.queue.expire(self.clock.now())
        return sorted(self.waits_ms)

    def _offer(self, ticket: Ticket) -> None:
        self.arrival_by_ticket[ticket.id] = self.clock.now()
        if self.fair:
            self.queue.offer(ticket, self.clock.now())
        else:
            self.fifo.append(ticket)

    def _next(self) -> Ticket | None:
        ticket = None
        if self.fair:
            ticket = self.queue.next(self.clock.now())
        elif self.fifo and self.busy < self.slots:
            ticket = self.fifo.popleft()
        if ticket is not None:
            self.busy += 1
            if ticket.account != "flood":
                self.waits_ms.append(
                    self.clock.now() - self.arrival_by_ticket[ticket.id]
                )
        return ticket


class Goodput:
    """Simulates drafts with deadlines on mixed runners.

    :param load: offered drafts relative to those that the runners can serve.
    :param admission: use an admission queue at each VM; start drafts at once otherwise.
    :param vm_weights: how the drafts are distributed over the VMs.
    :param shares: split the runs between the VMs by demand; equally if None.
    :ivar bound: drafts per second that the runners can serve.
    :ivar in_time: drafts that finished before their deadline while ``measuring``.
    :ivar rejected: drafts that the queue refused on arrival.
    :ivar expired: drafts that were refused after waiting.
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
        routers = make_routers(VMS, RoutingConfig())
        self.model = PipelineModel(views, VMS, 500, router_policy(routers), routers)
        self.bound = capacity.tokens_per_second / MEAN_TOKENS
        self.max_runs = int(1.1 * capacity.runs)
        self.weights, self.splitters = vm_weights, []
        if shares is not None:
            self.splitters = [ShareSplitter(shares, f"vm{vm}") for vm in range(VMS)]
        self.rate = load * self.bound / 1000
        self.admission = admission
        config = AdmissionConfig(default_limits=UNLIMITED, hold_ms=6000.0)
        self.queues = [AdmissionQueue.from_config(config) for _ in range(VMS)]
        for queue in self.queues:
            queue.set_limit(self.max_runs // VMS)
        self.tickets: dict[str, tuple[Ticket, int]] = {}
        self.in_time = self.offered = self.rejected = self.expired = 0
        self.measuring = False

    def run(self) -> float:
        """Return the drafts per second that finished in time, over the bound."""
        self.model.on_end = self._on_end
        self._arrive()
        self.model.schedule(0, self._expire)
        if self.splitters:
            self._update_limits()
        self.model.run_until(20_000)
        self.measuring = True
        self.model.run_until(60_000)
        return self.in_time / 40 / self.bound

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
            self.rejected += 1
        self._start_admitted(vm)
        model.schedule(model.random.expovariate(self.rate), self._arrive)

    def _start(self, vm: int, ticket: Ticket) -> None:
        tokens = self.model.random.randint(MEAN_TOKENS // 2, MEAN_TOKENS * 3 // 2)
        self.tickets[self.model.start(vm, tokens).id] = (ticket, vm)

    def _start_admitted(self, vm: int) -> None:
        while (ticket := self.queues[vm].next(self.model.clock.now())) is not None:
            self._start(vm, ticket)

    def _on_end(self, run) -> None:
        ticket, vm = self.tickets.pop(run.id)
        now = self.model.clock.now()
        if self.measuring and now <= ticket.deadline:
            self.in_time += 1
        self.queues[vm].release(ticket, now)
        self.model.schedule(0, lambda: self._start_admitted(vm))

    def _update_limits(self) -> None:
        now = self.model.clock.now()
        vms = frozenset(splitter.vm for splitter in self.splitters)
        for splitter in self.splitters:
            demand = splitter.measure(now)
            for other in self.splitters:
                other.observe(demand)
        for splitter, queue in zip(self.splitters, self.queues, strict=True):
            limit = splitter.integer_share(ALL_ACCOUNTS, self.max_runs, now, vms)
            queue.set_limit(limit)
        self.model.schedule(1000, self._update_limits)

    def _expire(self) -> None:
        for queue in self.queues:
            self.expired += len(queue.expire(self.model.clock.now()))
        self.model.schedule(50, self._expire)


def share_time() -> None:
    """Measure the split of a rate and of an integer limit with demand of 390 VMs."""
    vms = frozenset(f"vm{number}" for number in range(390))
    splitter = ShareSplitter.from_config(ShareConfig(), "vm0")
    splitter.measure(Millis(0))
    rates = {f"account{number}": 1.0 for number in range(64)}
    for number in range(1, 390):
        splitter.observe(Demand(f"vm{number}", Millis(0), rates))

    def share() -> None:
        splitter.share("account1", 100.0, Millis(1), vms)

    def concurrency_share() -> None:
        splitter.integer_share("account1", 64, Millis(1), vms)

    print_figure("share of a rate, 390 VMs", microseconds_each(share, 100), "us")
    print_figure(
        "whole share, 390 VMs", microseconds_each(concurrency_share, 100), "us"
    )


def usable_limit() -> None:
    """Measure the part of a limit that a VM gets if it receives all requests.

    The case is 390 VMs of which 8, or all others, have sent their demand.
    """
    vms = frozenset(f"vm{number}" for number in range(390))
    for reporting in (8, 389):
        splitter = ShareSplitter.from_config(ShareConfig(), "vm0")
        for second in range(30):
            now = Millis(second * 1000)
            splitter.record("account", 100)
            splitter.measure(now)
            for number in range(1, reporting + 1):
                splitter.observe(Demand(f"vm{number}", now, {}))
        usable = splitter.share("account", 100.0, Millis(29_001), vms)
        name = f"limit usable at one of 390 VMs, {reporting} heard"
        print_figure(name, usable / 100, "of limit", f"equal split {1 / 390:.4f}")


def small_accounts() -> None:
    """Measure the wait of small accounts while another account floods the queue."""
    fair, fifo = Flood(True).wait_times(), Flood(False).wait_times()
    for name, quantile in (("mean", None), ("p99", 0.99)):
        values = [
            sum(wait_times) / len(wait_times)
            if quantile is None
            else wait_times[int(quantile * len(wait_times))]
            for wait_times in (fair, fifo)
        ]
        baseline = f"no admission {values[1]:.0f}"
        print_figure(f"wait of small accounts, {name}", values[0], "ms", baseline)


def goodput() -> None:
    """Measure the drafts in time below, at and above the capacity."""
    for load in (0.5, 0.9, 1.0, 1.5, 3.0):
        with_queue, without_queue = Goodput(load, True), Goodput(load, False)
        good, unlimited = with_queue.run(), without_queue.run()
        late = with_queue.expired / max(1, with_queue.expired + with_queue.rejected)
        baseline = f"no admission {unlimited:.3f}; {late:.2f} of refusals after waiting"
        print_figure(f"goodput at {load} x capacity", good, "of bound", baseline)
    skewed = (7, 1, 1, 1)
    for load in (1.0, 3.0):
        split = Goodput(load, True, skewed, ShareConfig()).run()
        equal = Goodput(load, True, skewed).run()
        name = f"goodput at {load} x capacity, 70 % at one VM"
        print_figure(name, split, "of bound", f"equal split {equal:.3f}")


def main() -> None:
    """Print the figures of admission."""
    queue_operation_times()
    share_time()
    usable_limit()
    small_accounts()
    goodput()
