"""Runners as candidates for a chain, with their costs and limits for one request."""

from collections.abc import Collection
from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.estimates import (
    MIN_FREE_KV_FRACTION,
    Job,
    kv_capacity,
    request_ms,
)
from heathershunt.pipelines.load import NO_LOAD, LoadLedger
from heathershunt.pipelines.pace import PaceTracker
from heathershunt.pipelines.search import Candidate
from heathershunt.pipelines.spread import RunnerUse, Spread


@dataclass(frozen=True, slots=True)
class Heads:
    """Ids of the runners that may come first in a chain, ``None`` for all but some.

    .. versionadded:: 0.10
    """

    allowed: Collection[str] | None = None
    barred: Collection[str] = ()

    def may_be_first(self, runner: Target) -> bool:
        """Return whether a runner may come first."""
        if self.allowed is not None:
            return runner.id in self.allowed
        return runner.id not in self.barred


ANY_HEAD = Heads()


class CandidateMaker:
    """Makes candidates by the load and the pace of the runners.

    :param ledger: load of all VMs on each runner.
    :param paces: how slow each runner is now.
    :ivar mean_use: part of all KV caches that was reserved at the last choice of a
        large fleet, as far as it was known; ``None`` before the first one.
    :ivar largest_use: the same of the fullest runner.

    .. versionadded:: 0.10
    """

    def __init__(self, ledger: LoadLedger, paces: PaceTracker) -> None:
        self._ledger = ledger
        self._paces = paces
        self.mean_use: float | None = None
        self.largest_use: float | None = None

    def by_time(
        self, engine: Engine, runner: Target, job: Job, vms: int, heads: Heads
    ) -> Candidate:
        """Return a candidate that costs the estimated time of the request.

        :param vms: number of VMs that share the runners.
        """
        load = self._ledger.total(runner.id, vms)
        free = kv_capacity(engine, runner) * (1 - MIN_FREE_KV_FRACTION) - load.kv
        pace = self._paces.pace(runner.id)
        total_ms = request_ms(engine, runner.kind, job, load.requests, pace)
        return Candidate(
            runner,
            runner.held.first,
            min(runner.held.end, engine.layers),
            total_ms / engine.layers,
            free / max(1.0, job.tokens),
            heads.may_be_first(runner),
            load.head_requests < runner.slots,
        )

    def spread(
        self,
        engine: Engine,
        runners: Collection[Target],
        job: Job,
        vms: int,
        heads: Heads,
    ) -> list[Candidate]:
        """Return candidates whose costs spread the requests of many VMs.

        :param vms: number of VMs that share the runners.
        """
        tokens = max(1.0, job.tokens)
        uses, head_requests = self._uses(engine, runners, job)
        spread = Spread(uses, vms, self._ledger.report_age_ms)
        candidates = []
        total = capacity = largest = 0.0
        for runner, use, running in zip(runners, uses, head_requests, strict=True):
            held = runner.held
            reserved = spread.reserved(use)
            total += reserved
            capacity += use.capacity
            part = reserved / use.capacity
            largest = max(largest, part)
            free = 1 - part
            if held.first == 0:
                free = min(free, 1 - running / max(1, runner.slots))
            candidates.append(
                Candidate(
                    runner,
                    held.first,
                    min(held.end, engine.layers),
                    spread.cost_ms(use, free),
                    spread.room(use, reserved) / tokens,
                    heads.may_be_first(runner),
                    running < runner.slots,
                )
            )
        self.mean_use = total / capacity if capacity else None
        self.largest_use = largest if capacity else None
        return candidates

    def _uses(
        self, engine: Engine, runners: Collection[Target], job: Job
    ) -> tuple[list[RunnerUse], list[int]]:
        """Return what is known of each runner, and its requests as the first one."""
        own_by_id, others_by_id = self._ledger.own(), self._ledger.last_others()
        rejections = self._ledger.rejections
        rejected_ms_by_id, full = rejections.ages(), rejections.full()
        usual = _UsualFigures(engine, job)
        uses, head_requests = [], []
        for runner in runners:
            name = runner.id
            own = own_by_id.get(name, NO_LOAD)
            others = others_by_id.get(name, NO_LOAD)
            layer_ms, capacity = usual.of(runner, self._paces.pace(name))
            uses.append(
                RunnerUse(
                    layer_ms,
                    capacity,
                    own.kv,
                    others.kv,
                    rejected_ms_by_id.get(name),
                    name in full,
                )
            )
            head_requests.append(own.head_requests + others.head_requests)
        return uses, head_requests


class _UsualFigures:
    """Time of a layer and size of the KV cache, which few kinds of runners share."""

    def __init__(self, engine: Engine, job: Job) -> None:
        self._engine = engine
        self._job = job
        self._figures_by_key: dict[tuple, tuple[float, float]] = {}

    def of(self, runner: Target, pace: float) -> tuple[float, float]:
        """Return the time of a layer on a half full runner, and its KV cache."""
        key = runner.kind, runner.held.size, runner.slots, pace
        figures = self._figures_by_key.get(key)
        if figures is None:
            figures = self._figures_by_key[key] = self._compute(runner, pace)
        return figures

    def _compute(self, runner: Target, pace: float) -> tuple[float, float]:
        engine, tokens = self._engine, max(1.0, self._job.tokens)
        size = max(1, runner.held.size)
        capacity = kv_capacity(engine, runner) * (1 - MIN_FREE_KV_FRACTION)
        if capacity == float("inf"):
            # Nothing is known of its KV cache, but it does not take more requests.
            capacity = runner.slots * tokens * size
        # A runner without room counts as full, not as one of unknown size.
        capacity = max(1.0, capacity)
        running = capacity / tokens / size / 2
        total_ms = request_ms(engine, runner.kind, self._job, running, pace)
        return total_ms / engine.layers, capacity
