"""Load on each runner: what this VM has running there, and what the others have."""

from collections.abc import Mapping
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.pipelines.chain import Chain

# What other VMs told is used for this long; after that, each is taken to have as much
# running as this one.
FRESH_MS = 1500
# Time after its start for which a VM hears little of the others: where all were started
# at once, they find and tell each other only then.
SETTLING_MS = 1500


@dataclass(slots=True)
class RunnerLoad:
    """Requests at one runner.

    :param requests: requests that pass through it.
    :param received: requests that it receives as the first of their chain.
    :param kv: reserved KV cache, in tokens times layers.
    """

    requests: int = 0
    received: int = 0
    kv: float = 0.0

    def times(self, factor: float) -> "RunnerLoad":
        """Return a multiple of this load."""
        requests = round(self.requests * factor)
        received = round(self.received * factor)
        return RunnerLoad(requests, received, self.kv * factor)


class LoadLedger:
    """Counts what this VM has running at each runner, and keeps what others told.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._settled_at = Millis(clock.now() + SETTLING_MS)
        self._by_runner: dict[str, RunnerLoad] = {}
        self._others_by_runner: Mapping[str, RunnerLoad] = {}
        self._others_at: Millis | None = None

    def own(self) -> dict[str, RunnerLoad]:
        """Return the load of this VM by runner."""
        return self._by_runner

    def set_others(self, by_runner: Mapping[str, RunnerLoad]) -> None:
        """Take the load of all other VMs."""
        self._others_by_runner = by_runner
        self._others_at = self._clock.now()

    @property
    def is_informed(self) -> bool:
        """Return whether the load of the other VMs is known."""
        if self._others_at is None:
            return False
        return self._clock.now() - self._others_at <= FRESH_MS

    @property
    def is_settled(self) -> bool:
        """Return whether what is known of the other VMs is likely to be complete."""
        return self.is_informed and self._clock.now() >= self._settled_at

    def total(self, runner_id: str, vms: int) -> RunnerLoad:
        """Return the load of all VMs at a runner.

        :param vms: VMs that share the runners, for when nothing is known of them.
        """
        own = self._by_runner.get(runner_id) or RunnerLoad()
        if not self.is_informed:
            return RunnerLoad(own.requests * vms, own.received * vms, own.kv * vms)
        others = self._others_by_runner.get(runner_id)
        if others is None:
            return own
        return RunnerLoad(
            own.requests + others.requests,
            own.received + others.received,
            own.kv + others.kv,
        )

    def add(self, chain: Chain, tokens: float) -> None:
        """Count a request on every runner of its chain.

        :param tokens: tokens that it will hold at its end.
        """
        for part in chain.parts:
            load = self._by_runner.setdefault(part.runner.id, RunnerLoad())
            load.requests += 1
            load.kv += tokens * part.size
        self._by_runner[chain.head.id].received += 1

    def remove(self, chain: Chain, tokens: float) -> None:
        """Take back what :meth:`add` counted."""
        for part in chain.parts:
            load = self._by_runner[part.runner.id]
            load.requests -= 1
            load.kv -= tokens * part.size
            if part.runner.id == chain.head.id:
                load.received -= 1
            if not load.requests:
                del self._by_runner[part.runner.id]
