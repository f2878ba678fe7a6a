"""A fleet of VMs that choose chains over unequal runners with old reports of the load.

The runners hold the layers that the placement gives them. A request takes KV cache on
all runners of its chain while it runs; a runner without room, or a first runner without
a slot, rejects it, and it is sent again on another chain. Its time follows from the
load of its runners when it begins.
"""

import heapq
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from statistics import fmean, pvariance

from heathershunt.catalog import AcceleratorKind, Engine
from heathershunt.clock import ManualClock
from heathershunt.discovery import Target
from heathershunt.http import Address
from heathershunt.pipelines import (
    Chain,
    ChainChooser,
    Job,
    LayoutConfig,
    LoadLedger,
    PaceTracker,
    plan_layout,
)
from heathershunt.pipelines.chooser import HOP_MS
from heathershunt.pipelines.estimates import kv_capacity
from heathershunt.pipelines.load import RunnerLoad
from heathershunt.pipelines.notes import merge_notes

SLOTS = 96
KINDS = {
    "fast": AcceleratorKind("fast", 72_000, 2.4, 2.0),
    "medium": AcceleratorKind("medium", 36_000, 5.6, 4.5),
    "slow": AcceleratorKind("slow", 21_600, 16.0, 8.2),
}
RUNNERS_BY_KIND = {"fast": 8, "medium": 30, "slow": 48}
DOMAINS = "abc"
PROMPT_TOKENS = 760
ANSWER_TOKENS = (170, 280)
MEAN_ANSWER_TOKENS = 225
ENGINE = Engine(
    layers=80,
    layer_mb=1750,
    kv_bytes=1_180_000,
    step_ms=0.85,
    sequence_ms=0.00764,
    context_ms=0.01024,
    prefill_tokens_per_ms=196,
    load_ms=14_000,
    mean_prompt_tokens=PROMPT_TOKENS,
    mean_answer_tokens=MEAN_ANSWER_TOKENS,
    kinds_by_name=KINDS,
)
JOB = Job(PROMPT_TOKENS, MEAN_ANSWER_TOKENS)
GROUP_SIZE = 40
CROSS_HOP_MS = 0.6
# Time from a send to its rejection.
REJECTION_MS = 4
BACKOFF_MS = 300
POLL_MS = 60
CAPACITY_WAIT_MS = 400
MAX_SENDS = 8
SAMPLE_MS = 100


def runners() -> list[Target]:
    """Return the runners, with the layers that the placement orders them to hold."""
    kinds = [kind for kind, count in RUNNERS_BY_KIND.items() for _ in range(count)]
    empty = [
        Target(
            f"r{number:02}",
            "s",
            Address("10.0.0.1", number + 1),
            DOMAINS[number % len(DOMAINS)],
            SLOTS,
            kind=kind,
        )
        for number, kind in enumerate(kinds)
    ]
    plan = plan_layout(ENGINE, empty, LayoutConfig())
    return [replace(item.runner, held=item.layers) for item in plan]


@dataclass
class ModelRunner:
    """Actual load of one runner."""

    target: Target
    kv: float = 0.0
    requests: int = 0
    head_requests: int = 0
    prefill_until: float = 0.0

    def __post_init__(self) -> None:
        self.kind = KINDS[self.target.kind]
        self.kv_capacity = kv_capacity(ENGINE, self.target)

    @property
    def rate(self) -> float:
        """Return the first parts a second that the runner can process when full."""
        count = self.kv_capacity / (JOB.tokens * self.target.held.size)
        return min(count, SLOTS) * 1000 / self.request_ms(count)

    def request_ms(self, running: float) -> float:
        """Return the time of a request if this runner had all layers."""
        context = ENGINE.context_ms * JOB.tokens / 1000
        step = ENGINE.step_ms + running * (ENGINE.sequence_ms + context)
        prefill = self.prefill_ms * ENGINE.layers
        shared = prefill * running / MEAN_ANSWER_TOKENS
        return prefill + MEAN_ANSWER_TOKENS * (self.kind.pace * step + shared)

    @property
    def prefill_ms(self) -> float:
        """Return the time of the prefill of one layer."""
        factor = self.kind.prefill_factor / ENGINE.layers
        return factor * PROMPT_TOKENS / ENGINE.prefill_tokens_per_ms


@dataclass
class ModelVm:
    """Ledger and chooser of one VM, and the runners that it backs off from."""

    ledger: LoadLedger
    chooser: ChainChooser
    reported: dict[str, RunnerLoad] = field(default_factory=dict)
    backed_off_until: dict[str, int] = field(default_factory=dict)


@dataclass
class Figures:
    """What is measured after the start of the measurement."""

    requests: int = 0
    sends: int = 0
    rejections: int = 0
    refused: int = 0
    first_event_ms: list[float] = field(default_factory=list)
    request_ms: list[float] = field(default_factory=list)
    variances: list[float] = field(default_factory=list)
    kind_variances: list[float] = field(default_factory=list)
    peaks: list[float] = field(default_factory=list)
    busiest: list[float] = field(default_factory=list)
    search_s: float = 0.0
    searches: int = 0


class LoadFleet:
    """Simulates the fleet.

    :param vms: number of VMs.
    :param report_ms: mean age of a report when it is used.
    :param has_oracle: all VMs decide with one ledger, which holds all loads.
    :param rates: requests a second of the whole fleet, by second.
    :param warmup_ms: time before the measurement.
    :param silent_vms: number of VMs that send and receive no reports.
    """

    def __init__(
        self,
        vms: int,
        report_ms: int,
        has_oracle: bool,
        rates: list[int],
        warmup_ms: int,
        seed: int,
        silent_vms: int = 0,
    ) -> None:
        random.seed(seed)
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._targets = runners()
        self.runners = {item.id: ModelRunner(item) for item in self._targets}
        self._known_vms = 1 if has_oracle else vms
        self._report_ms = report_ms
        self._has_oracle = has_oracle
        self._rates = rates
        self._warmup_ms = warmup_ms
        count = 1 if has_oracle else vms
        self._vms = [self._start_vm() for _ in range(count)]
        groups = -(-vms // GROUP_SIZE)
        heard = self._vms[silent_vms:]
        self._groups = [heard[number::groups] for number in range(groups)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._sends: Counter[str] = Counter()
        self.figures = Figures()

    def _start_vm(self) -> ModelVm:
        ledger = LoadLedger(self._clock)
        paces = PaceTracker(self._clock, print)
        return ModelVm(ledger, ChainChooser(ledger, paces))

    def run(self) -> Figures:
        """Simulate all seconds and return the figures."""
        end_ms = 1000 * len(self._rates)
        if self._has_oracle:
            for at in range(0, end_ms, 100):
                self._at(at, lambda: self._vms[0].ledger.set_others({}))
        else:
            self._schedule_exchanges(end_ms)
        for at in self._arrivals():
            self._at(at, lambda: self._admit(self._random.choice(self._vms)))
        for at in range(0, end_ms, SAMPLE_MS):
            self._at(at, self._sample)
        for at in range(1000, end_ms + 1, 1000):
            self._at(at, self._count_second)
        while self._events and self._events[0][0] <= end_ms:
            at, _, call = heapq.heappop(self._events)
            self._clock.advance(int(at) - self._clock.now())
            call()
        return self.figures

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), call))

    def _arrivals(self) -> Iterator[float]:
        for second, rate in enumerate(self._rates):
            for _ in range(rate):
                yield 1000 * (second + self._random.random())

    @property
    def _is_measured(self) -> bool:
        return self._clock.now() >= self._warmup_ms

    # Exchange of loads

    def _schedule_exchanges(self, end_ms: int) -> None:
        for group in self._groups:
            totals: dict[str, RunnerLoad] = {}
            for vm in group:
                at = self._random.uniform(0, self._report_ms)
                while at < end_ms:
                    self._at(
                        at, lambda v=vm, g=group, t=totals: self._exchange(v, g, t)
                    )
                    at += self._report_ms * self._random.uniform(0.8, 1.2)

    def _exchange(
        self, vm: ModelVm, group: list[ModelVm], totals: dict[str, RunnerLoad]
    ) -> None:
        _add(totals, vm.reported, -1)
        vm.reported = {name: replace(load) for name, load in vm.ledger.own().items()}
        others = {name: replace(load) for name, load in totals.items()}
        _add(totals, vm.reported, 1)
        factor = (len(self._vms) - 1) / max(1, len(group) - 1)
        if factor > 1:
            others = {name: load.scaled(factor) for name, load in others.items()}
        notes = [
            note
            for other in group
            if other is not vm
            for note in other.ledger.rejections.notes()
        ]
        vm.ledger.set_others(others, merge_notes([notes]))

    # Requests

    def _admit(self, vm: ModelVm) -> None:
        if self._is_measured:
            self.figures.requests += 1
        answer_tokens = self._random.randint(*ANSWER_TOKENS)
        self._start(vm, PROMPT_TOKENS + answer_tokens, self._clock.now(), 0)

    def _start(self, vm: ModelVm, tokens: int, arrived_at: int, sends: int) -> None:
        now = self._clock.now()
        chain = self._choose(vm, now - arrived_at < CAPACITY_WAIT_MS)
        if chain is None and now - arrived_at < CAPACITY_WAIT_MS:
            self._at(now + POLL_MS, lambda: self._start(vm, tokens, arrived_at, sends))
            return
        if chain is None or sends >= MAX_SENDS:
            self.figures.refused += self._is_measured
            return
        self._sends[chain.head.id] += 1
        self.figures.sends += self._is_measured
        vm.ledger.add(chain, JOB.tokens)
        full = self._full_runner(chain, tokens)
        if full is None:
            self._serve(vm, chain, tokens, arrived_at)
            return
        self.figures.rejections += self._is_measured
        vm.backed_off_until[full.id] = now + BACKOFF_MS
        vm.ledger.rejections.record(full.id)

        def send_again() -> None:
            vm.ledger.remove(chain, JOB.tokens)
            self._start(vm, tokens, arrived_at, sends + 1)

        self._at(now + REJECTION_MS, send_again)

    def _choose(self, vm: ModelVm, needs_room: bool) -> Chain | None:
        now = self._clock.now()
        avoided = {name for name, at in vm.backed_off_until.items() if at > now}
        began_at = time.process_time()
        chain = vm.chooser.choose(
            ENGINE,
            self._targets,
            JOB,
            self._known_vms,
            avoided,
            needs_room=needs_room,
        )
        self.figures.search_s += time.process_time() - began_at
        self.figures.searches += 1
        return chain

    def _full_runner(self, chain: Chain, tokens: int) -> Target | None:
        head = self.runners[chain.head.id]
        if head.head_requests >= SLOTS:
            return head.target
        for part in chain.parts:
            runner = self.runners[part.runner.id]
            if runner.kv + tokens * part.size > runner.kv_capacity:
                return part.runner
        return None

    def _serve(self, vm: ModelVm, chain: Chain, tokens: int, arrived_at: int) -> None:
        now = self._clock.now()
        first_event_at, duration_ms = float(now), 0.0
        domain = chain.head.domain
        for part in chain.parts:
            runner = self.runners[part.runner.id]
            first_event_at += HOP_MS if part.runner.domain == domain else CROSS_HOP_MS
            domain = part.runner.domain
            begin = max(first_event_at, runner.prefill_until)
            first_event_at = begin + runner.prefill_ms * part.size
            runner.prefill_until = first_event_at
            part_ms = runner.request_ms(runner.requests + 1) * part.size / ENGINE.layers
            duration_ms += part_ms
            first_event_at += part_ms / MEAN_ANSWER_TOKENS
            runner.kv += tokens * part.size
            runner.requests += 1
        self.runners[chain.head.id].head_requests += 1
        if self._is_measured:
            self.figures.first_event_ms.append(first_event_at - arrived_at)
            self.figures.request_ms.append(duration_ms)
        self._at(now + duration_ms, lambda: self._end(vm, chain, tokens))

    def _end(self, vm: ModelVm, chain: Chain, tokens: int) -> None:
        vm.ledger.remove(chain, JOB.tokens)
        for part in chain.parts:
            runner = self.runners[part.runner.id]
            runner.kv -= tokens * part.size
            runner.requests -= 1
        self.runners[chain.head.id].head_requests -= 1

    # Figures

    def _sample(self) -> None:
        if not self._is_measured:
            return
        by_kind: dict[str, list[float]] = {}
        for runner in self.runners.values():
            use = runner.kv / runner.kv_capacity
            by_kind.setdefault(runner.target.kind, []).append(use)
        uses = list(itertools.chain(*by_kind.values()))
        self.figures.variances.append(pvariance(uses))
        within = fmean(pvariance(each) * len(each) for each in by_kind.values())
        self.figures.kind_variances.append(within * len(by_kind) / len(uses))
        self.figures.peaks.append(max(uses))

    def _count_second(self) -> None:
        """Compare the shares of the first runners in the sends with their capacity."""
        total = sum(self._sends.values())
        if self._clock.now() > self._warmup_ms and total:
            heads = [r for r in self.runners.values() if r.target.held.first == 0]
            capacity = math.fsum(runner.rate for runner in heads)
            self.figures.busiest.append(
                max(
                    self._sends[r.target.id] / total / (r.rate / capacity)
                    for r in heads
                )
            )
        self._sends.clear()


def _add(
    totals: dict[str, RunnerLoad], loads: dict[str, RunnerLoad], sign: int
) -> None:
    for name, load in loads.items():
        total = totals.setdefault(name, RunnerLoad())
        total.requests += sign * load.requests
        total.head_requests += sign * load.head_requests
        total.kv += sign * load.kv
