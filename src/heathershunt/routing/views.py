"""The router's view of runners, and the chains that it returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from heathershunt.clock import Millis
from heathershunt.routing.inflight import OwnRuns

MIN_STEP_MS = 0.001


@dataclass(frozen=True, slots=True)
class RunnerLoadReport:
    """Load of a runner as it last reported.

    :param running: runs in the runner's batches.
    :param queued: runs that wait for a batch.
    :param batch_limit: maximum number of sequences in one step.
    :param step_ms: fixed time of a step.
    :param token_ms: additional time of a step for each sequence in it.
    :param prefill_token_ms: time to compute one token of a prompt.
    :param kv_free_tokens: tokens that still fit into the KV cache.

    .. versionadded:: 0.1
    """

    running: int = 0
    queued: int = 0
    batch_limit: int = 1
    step_ms: float = 1.0
    token_ms: float = 0.0
    prefill_token_ms: float = 0.0
    kv_free_tokens: int = 1 << 30

    def full_step_ms(self) -> float:
        """Return the time of a step with a full batch."""
        # A report with a step time of 0 must not give infinite capacity.
        return max(MIN_STEP_MS, self.step_ms + self.token_ms * self.batch_limit)


@dataclass(frozen=True, slots=True)
class RunnerView:
    """This VM's view of a runner.

    :param fabric: address for activations from other stages.
    :param end_layer: first layer after the runner's range.
    :param leaving: whether the runner only finishes its runs and accepts no new ones.
    :param reported_at: monotonic time of this VM that the load report describes.
    :param link_ms: one-way delay of the runner's link beyond the usual delay between
        domains.
    :param own: runs that this VM placed on the runner, shared with ``InFlight``.
    :param prefix_seen_by_hash: monotonic time at which each cached prefix was last
        reported.

    .. versionadded:: 0.1
    """

    runner: str
    address: str
    fabric: str
    vm: str
    domain: str
    kind: str
    model: str
    version: str
    first_layer: int
    end_layer: int
    adapters: frozenset[str] = frozenset()
    role: str = "serve"
    leaving: bool = False
    load: RunnerLoadReport = RunnerLoadReport()
    reported_at: Millis = Millis(0)
    link_ms: float = 0.0
    own: OwnRuns = field(default_factory=OwnRuns, compare=False)
    prefix_seen_by_hash: Mapping[str, Millis] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stage:
    """One runner of a chain and its layers."""

    runner: str
    address: str
    fabric: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True, slots=True)
class Chain:
    """Stages that cover every layer once, in order.

    :param epoch: number of the attempt of the draft that uses the chain.
    :param cost_ms: expected time of the draft on this chain.

    .. versionadded:: 0.1
    """

    epoch: int
    model: str
    version: str
    adapter: str | None
    stages: tuple[Stage, ...]
    cost_ms: float = 0.0

    def at_epoch(self, epoch: int) -> "Chain":
        """Return a copy of the chain with another epoch."""
        return replace(self, epoch=epoch)

    def runners(self) -> tuple[str, ...]:
        """Return the names of the runners in layer order."""
        return tuple(stage.runner for stage in self.stages)


@dataclass(frozen=True)
class NoChain:
    """Error: the usable runners form no complete chain for the model.

    :param layer: first layer that no usable runner continues from.
    :param detail: text for the caller.

    .. versionadded:: 0.1
    """

    model: str
    version: str
    layer: int
    detail: str
