"""Ejection of failing and slow runners, with probation and a minimum capacity."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median

from heathershunt.clock import Millis


@dataclass(frozen=True)
class EjectionConfig:
    """Constants of the ejection policy.

    :param failures: consecutive failures that eject a runner.
    :param slow_factor: ratio of a runner's mean latency to the median of its peers that
        ejects the runner.
    :param slow_min_ms: difference to the median that is required as well.
    :param min_peers: peers required to compute the median.
    :param min_samples: latencies of a runner required to compare it with its peers.
    :param latency_weight: weight of a new latency in a runner's moving average.
    :param base_ms: duration of the first ejection; it doubles with each further one.
    :param max_ms: longest duration of an ejection.
    :param reset_ms: time without an ejection after which the duration starts again at
        ``base_ms``.
    :param max_trials: maximum of concurrent requests to a runner on probation.
    :param trial_timeout_ms: time after which a trial without a result no longer counts.
    :param required_passes: successful trials that end the probation.
    :param min_capacity: share of each layer's capacity that must stay usable.

    .. versionadded:: 0.1
    """

    failures: int = 3
    slow_factor: float = 3.0
    slow_min_ms: float = 20.0
    min_peers: int = 3
    min_samples: int = 10
    latency_weight: float = 0.2
    base_ms: int = 5_000
    max_ms: int = 300_000
    reset_ms: int = 600_000
    max_trials: int = 1
    trial_timeout_ms: int = 60_000
    required_passes: int = 3
    min_capacity: float = 0.5


@dataclass(frozen=True, slots=True)
class RunnerRange:
    """Layers and capacity of a runner, and the group of its peers.

    :param capacity: tokens per second with full batches.
    :param group: key of the runners with the same model, layers and accelerator kind,
        whose latencies are comparable.

    .. versionadded:: 0.1
    """

    model: str
    first_layer: int
    end_layer: int
    capacity: float
    group: str


class _Phase(Enum):
    ACTIVE = "used"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(eq=False, slots=True)
class _Record:
    """Health record of one runner.

    :param failures: consecutive failures.
    :param latency_ms: moving average of the latency.
    :param ejections: ejections since the last reset.
    :param until: end of the latest ejection, later of the probation after it.
    :param trials: trials in progress.
    """

    phase: _Phase = _Phase.ACTIVE
    failures: int = 0
    latency_ms: float = 0.0
    samples: int = 0
    ejections: int = 0
    until: Millis = Millis(0)
    trials: int = 0
    last_trial_at: Millis = Millis(0)
    passed_trials: int = 0

    def reset_latency(self) -> None:
        self.latency_ms, self.samples = 0.0, 0


class EjectionPolicy:
    """Excludes failing and slow runners from new chains for increasing durations.

    .. versionadded:: 0.1
    """

    def __init__(self, config: EjectionConfig) -> None:
        self.config = config
        self._records_by_runner: dict[str, _Record] = {}
        self._ranges_by_runner: dict[str, RunnerRange] = {}
        self._runners_by_group: dict[str, list[str]] = {}
        self._runners_by_model: dict[str, list[str]] = {}
        # Runners that are ejected or on probation: few, while there may be thousands of
        # records.
        self._restricted: set[str] = set()

    @classmethod
    def from_config(cls, config: EjectionConfig) -> "EjectionPolicy":
        """Return a policy without ejected runners."""
        return cls(config)

    def set_ranges(self, ranges_by_runner: Mapping[str, RunnerRange]) -> None:
        """Replace the ranges of the live runners; drop the records of all others.

        Where too little capacity is left, ejected runners are readmitted, those whose
        ejection ends first before the others.
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
        self._restricted &= records.keys()
        for runner in sorted(self._restricted, key=lambda name: records[name].until):
            if not self._leaves_min_capacity(runner):
                records[runner].phase = _Phase.ACTIVE
                self._restricted.discard(runner)

    def started(self, runner: str, now: Millis) -> None:
        """Record the start of a request; on probation, it counts as a trial."""
        record = self._records_by_runner.get(runner)
        if record is not None:
            self._update_phase(record, now)
            if record.phase is _Phase.PROBATION:
                record.trials += 1
                record.last_trial_at = now

    def succeeded(self, runner: str, latency_ms: float, now: Millis) -> None:
        """Record a request that the runner completed."""
        record = self._records_by_runner.get(runner)
        if record is None:
            return
        self._update_phase(record, now)
        record.failures = 0
        record.samples += 1
        weight = max(self.config.latency_weight, 1 / record.samples)
        record.latency_ms += weight * (latency_ms - record.latency_ms)
        if record.phase is _Phase.PROBATION:
            self._record_trial_success(runner, record, now)
        elif record.phase is _Phase.ACTIVE and self._is_slow(runner, record):
            self._eject(runner, record, now)

    def failed(self, runner: str, now: Millis) -> None:
        """Record a request that failed because of the runner."""
        record = self._records_by_runner.get(runner)
        if record is None:
            return
        self._update_phase(record, now)
        record.failures += 1
        if record.phase is _Phase.PROBATION:
            record.trials = max(0, record.trials - 1)
            self._eject(runner, record, now)
        elif record.phase is _Phase.ACTIVE and record.failures >= self.config.failures:
            self._eject(runner, record, now)

    def abandoned(self, runner: str) -> None:
        """Record a request whose end does not show whether the runner is healthy."""
        record = self._records_by_runner.get(runner)
        if record is not None:
            record.trials = max(0, record.trials - 1)

    def excluded(self, now: Millis) -> frozenset[str]:
        """Return the runners that must get no new requests now."""
        found = set()
        for runner in self._restricted:
            record = self._records_by_runner[runner]
            self._update_phase(record, now)
            if now - record.last_trial_at > self.config.trial_timeout_ms:
                record.trials = 0
            has_all_trials = record.trials >= self.config.max_trials
            if record.phase is _Phase.EJECTED or has_all_trials:
                found.add(runner)
        return frozenset(found)

    def _update_phase(self, record: _Record, now: Millis) -> None:
        if record.phase is _Phase.EJECTED and now >= record.until:
            record.phase = _Phase.PROBATION
            record.trials = record.passed_trials = 0
            record.reset_latency()
        elif record.phase is _Phase.ACTIVE and record.ejections:
            if now >= record.until + self.config.reset_ms:
                record.ejections = 0

    def _record_trial_success(self, runner: str, record: _Record, now: Millis) -> None:
        record.trials = max(0, record.trials - 1)
        record.passed_trials += 1
        if record.passed_trials < self.config.required_passes:
            return
        if self._is_slow(runner, record, min_samples=record.passed_trials):
            self._eject(runner, record, now)
        else:
            record.phase = _Phase.ACTIVE
            record.until = now
            self._restricted.discard(runner)

    def _is_slow(
        self, runner: str, record: _Record, min_samples: int | None = None
    ) -> bool:
        config = self.config
        needed = config.min_samples
        if record.samples < (needed if min_samples is None else min_samples):
            return False
        group = self._ranges_by_runner[runner].group
        peers = [
            other.latency_ms
            for name in self._runners_by_group[group]
            if name != runner
            and (other := self._records_by_runner[name]).phase is _Phase.ACTIVE
            and other.samples >= needed
        ]
        if len(peers) < config.min_peers:
            return False
        peer_median = median(peers)
        limit = max(config.slow_factor * peer_median, peer_median + config.slow_min_ms)
        return record.latency_ms > limit

    def _eject(self, runner: str, record: _Record, now: Millis) -> None:
        if record.phase is _Phase.ACTIVE and not self._leaves_min_capacity(runner):
            return
        record.phase = _Phase.EJECTED
        self._restricted.add(runner)
        duration = self.config.base_ms << min(record.ejections, 20)
        record.until = Millis(now + min(duration, self.config.max_ms))
        record.ejections += 1
        record.failures = 0
        record.reset_latency()

    def _leaves_min_capacity(self, runner: str) -> bool:
        """Return whether every layer keeps the minimum capacity without ``runner``.

        Runners on probation count as ejected, since they only get trials.
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
                if name != runner
                and self._records_by_runner[name].phase is _Phase.ACTIVE
            )
            if left < self.config.min_capacity * sum(c for _, c in here):
                return False
        return True
