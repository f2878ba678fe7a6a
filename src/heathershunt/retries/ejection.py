"""Ejection of failing and slow runners, with probation and a floor of capacity."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median

from heathershunt.clock import Millis


@dataclass(frozen=True)
class EjectionConfig:
    """Constants of the ejection policy.

    :param failures: consecutive failures that eject a runner.
    :param slow_factor: latency over the median of its peers that ejects a runner.
    :param slow_least_ms: smallest difference to the median that ejects a runner.
    :param peers_needed: peers needed for a median.
    :param samples_needed: latencies of a runner needed to compare it.
    :param latency_weight: weight of one latency in the mean of a runner.
    :param base_ms: time of the first ejection; it doubles with each further one.
    :param most_ms: longest ejection.
    :param forgiven_ms: time without ejection after which the count starts anew.
    :param trials: requests on probation that run at a time.
    :param trial_limit_ms: time after which a trial without any result is forgotten.
    :param trials_passed: successful trials that end the probation.
    :param floor: part of a layer's capacity that must stay usable.

    .. versionadded:: 0.1
    """

    failures: int = 3
    slow_factor: float = 3.0
    slow_least_ms: float = 20.0
    peers_needed: int = 3
    samples_needed: int = 10
    latency_weight: float = 0.2
    base_ms: int = 5_000
    most_ms: int = 300_000
    forgiven_ms: int = 600_000
    trials: int = 1
    trial_limit_ms: int = 60_000
    trials_passed: int = 3
    floor: float = 0.5


@dataclass(frozen=True, slots=True)
class RunnerRange:
    """Layers and capacity of a runner, and the group whose latencies compare.

    :param capacity: tokens per second with full batches.
    :param group: same model, layers and accelerator kind.

    .. versionadded:: 0.1
    """

    model: str
    first_layer: int
    end_layer: int
    capacity: float
    group: str


class _Phase(Enum):
    USED = "used"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(eq=False, slots=True)
class _Record:
    """History of one runner."""

    phase: _Phase = _Phase.USED
    failures: int = 0
    latency_ms: float = 0.0
    samples: int = 0
    ejections: int = 0
    until: Millis = Millis(0)
    trials: int = 0
    trial_at: Millis = Millis(0)
    passed: int = 0

    def restart_latency(self) -> None:
        self.latency_ms, self.samples = 0.0, 0


class EjectionPolicy:
    """Keeps failing and slow runners out of new chains for growing times.

    .. versionadded:: 0.1
    """

    def __init__(self, config: EjectionConfig) -> None:
        self.config = config
        self._records_by_runner: dict[str, _Record] = {}
        self._ranges_by_runner: dict[str, RunnerRange] = {}
        self._runners_by_group: dict[str, list[str]] = {}
        self._runners_by_model: dict[str, list[str]] = {}
        # Ejected or on probation; few, while there may be thousands of records.
        self._out: set[str] = set()

    @classmethod
    def from_config(cls, config: EjectionConfig) -> "EjectionPolicy":
        """Return a policy that has ejected nothing."""
        return cls(config)

    def set_ranges(self, ranges_by_runner: Mapping[str, RunnerRange]) -> None:
        """Replace what the live runners hold; others are forgotten.

        Ejected runners come back, those nearest to their end first, where too little
        capacity is left without them.
        """
        self._ranges_by_runner = dict(ranges_by_runner)
        records = self._records_by_runner
        self._records_by_runner = {
            runner: records.get(runner) or _Record() for runner in ranges_by_runner
        }
        self._runners_by_group, self._runners_by_model = {}, {}
        for runner, held in ranges_by_runner.items():
            self._runners_by_group.setdefault(held.group, []).append(runner)
            self._runners_by_model.setdefault(held.model, []).append(runner)
        records = self._records_by_runner
        self._out &= records.keys()
        for runner in sorted(self._out, key=lambda name: records[name].until):
            if not self._leaves_enough(runner):
                records[runner].phase = _Phase.USED
                self._out.discard(runner)

    def started(self, runner: str, now: Millis) -> None:
        """Count a request that starts at a runner, for the limit on trials."""
        record = self._records_by_runner.get(runner)
        if record is not None:
            self._advance(record, now)
            if record.phase is _Phase.PROBATION:
                record.trials += 1
                record.trial_at = now

    def succeeded(self, runner: str, latency_ms: float, now: Millis) -> None:
        """Record a request that the runner served."""
        record = self._records_by_runner.get(runner)
        if record is None:
            return
        self._advance(record, now)
        record.failures = 0
        record.samples += 1
        weight = max(self.config.latency_weight, 1 / record.samples)
        record.latency_ms += weight * (latency_ms - record.latency_ms)
        if record.phase is _Phase.PROBATION:
            self._trial_succeeded(runner, record, now)
        elif record.phase is _Phase.USED and self._is_slow(runner, record):
            self._eject(runner, record, now)

    def failed(self, runner: str, now: Millis) -> None:
        """Record a request that failed because of the runner."""
        record = self._records_by_runner.get(runner)
        if record is None:
            return
        self._advance(record, now)
        record.failures += 1
        if record.phase is _Phase.PROBATION:
            record.trials = max(0, record.trials - 1)
            self._eject(runner, record, now)
        elif record.phase is _Phase.USED and record.failures >= self.config.failures:
            self._eject(runner, record, now)

    def abandoned(self, runner: str) -> None:
        """Record a request that ended without saying anything about the runner."""
        record = self._records_by_runner.get(runner)
        if record is not None:
            record.trials = max(0, record.trials - 1)

    def excluded(self, now: Millis) -> frozenset[str]:
        """Return the runners that must get no new work now."""
        found = set()
        for runner in self._out:
            record = self._records_by_runner[runner]
            self._advance(record, now)
            if now - record.trial_at > self.config.trial_limit_ms:
                record.trials = 0
            busy = record.trials >= self.config.trials
            if record.phase is _Phase.EJECTED or busy:
                found.add(runner)
        return frozenset(found)

    def _advance(self, record: _Record, now: Millis) -> None:
        if record.phase is _Phase.EJECTED and now >= record.until:
            record.phase = _Phase.PROBATION
            record.trials = record.passed = 0
            record.restart_latency()
        elif record.phase is _Phase.USED and record.ejections:
            if now >= record.until + self.config.forgiven_ms:
                record.ejections = 0

    def _trial_succeeded(self, runner: str, record: _Record, now: Millis) -> None:
        record.trials = max(0, record.trials - 1)
        record.passed += 1
        if record.passed < self.config.trials_passed:
            return
        if self._is_slow(runner, record, samples_needed=record.passed):
            self._eject(runner, record, now)
        else:
            record.phase = _Phase.USED
            record.until = now
            self._out.discard(runner)

    def _is_slow(
        self, runner: str, record: _Record, samples_needed: int | None = None
    ) -> bool:
        config = self.config
        needed = config.samples_needed
        if record.samples < (needed if samples_needed is None else samples_needed):
            return False
        group = self._ranges_by_runner[runner].group
        peers = [
            other.latency_ms
            for name in self._runners_by_group[group]
            if name != runner
            and (other := self._records_by_runner[name]).phase is _Phase.USED
            and other.samples >= needed
        ]
        if len(peers) < config.peers_needed:
            return False
        middle = median(peers)
        limit = max(config.slow_factor * middle, middle + config.slow_least_ms)
        return record.latency_ms > limit

    def _eject(self, runner: str, record: _Record, now: Millis) -> None:
        if record.phase is _Phase.USED and not self._leaves_enough(runner):
            return
        record.phase = _Phase.EJECTED
        self._out.add(runner)
        duration = self.config.base_ms << min(record.ejections, 20)
        record.until = Millis(now + min(duration, self.config.most_ms))
        record.ejections += 1
        record.failures = 0
        record.restart_latency()

    def _leaves_enough(self, runner: str) -> bool:
        """Return whether every layer keeps its floor of capacity without a runner.

        Runners on probation count as ejected, since they serve only trials.
        """
        out = self._ranges_by_runner[runner]
        peers = [
            (name, other)
            for name in self._runners_by_model[out.model]
            if (other := self._ranges_by_runner[name]).first_layer < out.end_layer
            and other.end_layer > out.first_layer
        ]
        # Capacity changes only where a range starts.
        starts = {max(out.first_layer, other.first_layer) for _, other in peers}
        for layer in starts:
            here = [
                (name, other.capacity)
                for name, other in peers
                if other.first_layer <= layer < other.end_layer
            ]
            left = sum(
                capacity
                for name, capacity in here
                if name != runner and self._records_by_runner[name].phase is _Phase.USED
            )
            if left < self.config.floor * sum(c for _, c in here):
                return False
        return True
