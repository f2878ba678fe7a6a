"""Load on each runner: requests of this VM, and those that the other VMs report."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.pipelines.chain import Chain
from heathershunt.pipelines.notes import RunnerNote
from heathershunt.pipelines.rejections import Rejections
from heathershunt.pipelines.waiting import WaitingLedger

# Load received from the other VMs is used for this long; after that, each of them is
# assumed to have the same load as this VM.
LOAD_MAX_AGE_MS = 1500
# The sum over all runners changes more slowly than the load of each. In a large fleet
# it is used for this long, and the load of each runner counts less the older it is.
SUM_MAX_AGE_MS = 4000
# Time after its start for which a VM's view of the other VMs is incomplete: VMs that
# start together discover each other and exchange their loads only then.
WARMUP_MS = 1500


@dataclass(slots=True)
class RunnerLoad:
    """Load on one runner.

    :param requests: requests with the runner in their chain.
    :param head_requests: requests with the runner as the first of their chain.
    :param kv: reserved KV cache, in tokens times layers.
    """

    requests: int = 0
    head_requests: int = 0
    kv: float = 0.0

    def scaled(self, factor: float) -> "RunnerLoad":
        """Return this load multiplied by ``factor``, with whole requests."""
        requests = round(self.requests * factor)
        head_requests = round(self.head_requests * factor)
        return RunnerLoad(requests, head_requests, self.kv * factor)


# Must not be changed.
NO_LOAD = RunnerLoad()


class LoadLedger:
    """Counts the load of this VM on each runner, and keeps that of the other VMs.

    :ivar waiting: streams that wait for room, here and at the other VMs.
    :ivar on_end: called with the service of each request that ends at its runners.
    :ivar rejections: runners that rejected a request as they were full.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._warmed_up_at = Millis(clock.now() + WARMUP_MS)
        self._by_runner: dict[str, RunnerLoad] = {}
        self._others_by_runner: Mapping[str, RunnerLoad] = {}
        self._others_received_at: Millis | None = None
        self.waiting = WaitingLedger(clock)
        self.on_end: Callable[[str], None] = lambda service: None
        self._period_ms = 0
        self.rejections = Rejections(clock)

    @property
    def clock(self) -> Clock:
        """Return the clock of the ledger."""
        return self._clock

    def own(self) -> dict[str, RunnerLoad]:
        """Return the load of this VM by runner id."""
        return self._by_runner

    def set_others(
        self, by_runner: Mapping[str, RunnerLoad], notes: Iterable[RunnerNote] = ()
    ) -> None:
        """Replace the load of all other VMs, by runner id.

        :param notes: notes of the other VMs, for the rejections that they saw.
        """
        now = self._clock.now()
        if self._others_received_at is not None:
            self._period_ms = min(SUM_MAX_AGE_MS, now - self._others_received_at)
        self._others_by_runner = by_runner
        self._others_received_at = now
        # Each VM sends its load once in a period, so some loads are that old.
        oldest_ms = self._period_ms or LOAD_MAX_AGE_MS
        self.rejections.set_others(notes, Millis(now - oldest_ms))

    @property
    def report_age_ms(self) -> float | None:
        """Return the mean age of the others' load, or ``None`` if it says nothing.

        When it is received, it is half a period old on the average.
        """
        age_ms = self._received_ms_ago()
        if self.is_starting or age_ms is None or age_ms > SUM_MAX_AGE_MS:
            return None
        return age_ms + self._period_ms / 2

    def _received_ms_ago(self) -> int | None:
        if self._others_received_at is None:
            return None
        return self._clock.now() - self._others_received_at

    @property
    def is_fresh(self) -> bool:
        """Return whether the load of the other VMs was received recently."""
        age_ms = self._received_ms_ago()
        return age_ms is not None and age_ms <= LOAD_MAX_AGE_MS

    @property
    def is_starting(self) -> bool:
        """Return whether the view of the other VMs may be incomplete."""
        return self._clock.now() < self._warmed_up_at

    @property
    def is_reliable(self) -> bool:
        """Return whether the load of the others is fresh and likely to be complete."""
        return self.is_fresh and not self.is_starting

    def last_others(self) -> Mapping[str, RunnerLoad]:
        """Return the last load of the other VMs by runner id; none if it is too old."""
        age_ms = self._received_ms_ago()
        if age_ms is None or age_ms > SUM_MAX_AGE_MS:
            return {}
        return self._others_by_runner

    @property
    def others_age_ms(self) -> int | None:
        """Return the age of the other VMs' load; ``None`` before the first exchange.

        .. versionadded:: 0.10
        """
        if self._others_received_at is None:
            return None
        return self._clock.now() - self._others_received_at

    def total(self, runner_id: str, vms: int) -> RunnerLoad:
        """Return the load of all VMs on a runner.

        :param vms: number of VMs that share the runners. Without fresh load of the
            others, the load of this VM is multiplied by it.
        """
        own = self._by_runner.get(runner_id) or RunnerLoad()
        if not self.is_fresh:
            return RunnerLoad(own.requests * vms, own.head_requests * vms, own.kv * vms)
        others = self._others_by_runner.get(runner_id)
        if others is None:
            return own
        return RunnerLoad(
            own.requests + others.requests,
            own.head_requests + others.head_requests,
            own.kv + others.kv,
        )

    def add(self, chain: Chain, tokens: float) -> None:
        """Count a request on every runner of its chain.

        :param tokens: tokens of the request in the KV cache at its end.
        """
        for part in chain.parts:
            load = self._by_runner.setdefault(part.runner.id, RunnerLoad())
            load.requests += 1
            load.kv += tokens * part.size
        self._by_runner[chain.head.id].head_requests += 1

    def remove(self, chain: Chain, tokens: float) -> None:
        """Undo :meth:`add` with the same arguments."""
        for part in chain.parts:
            load = self._by_runner[part.runner.id]
            load.requests -= 1
            load.kv -= tokens * part.size
            if part.runner.id == chain.head.id:
                load.head_requests -= 1
            if not load.requests:
                del self._by_runner[part.runner.id]
        self.on_end(chain.head.service)
