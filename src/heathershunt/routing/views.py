"""What the router knows about runners, and the chains it returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from heathershunt.clock import Millis
from heathershunt.routing.inflight import OwnWork

SHORTEST_STEP_MS = 0.001


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a runner reported about itself.

    :param running: runs in its batches.
    :param queued: runs that wait for a place in a batch.
    :param batch_limit: most sequences that one step computes.
    :param step_ms: fixed time of a step.
    :param token_ms: time of a step for each sequence in it.
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
        # A report of no time at all must not give an endless capacity.
        return max(SHORTEST_STEP_MS, self.step_ms + self.token_ms * self.batch_limit)


@dataclass(frozen=True, slots=True)
class RunnerView:
    """A runner as this VM sees it.

    :param fabric: address for activations from other stages.
    :param end_layer: first layer after its range.
    :param leaving: it finishes its runs and takes no new ones.
    :param reported_at: own monotonic time that the load report describes.
    :param link_ms: one-way delay of its link beyond the usual delay between domains.
    :param own: own runs there, shared with ``InFlight``.
    :param prefix_seen_by_hash: when each cached prefix was last reported.

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
    load: LoadReport = LoadReport()
    reported_at: Millis = Millis(0)
    link_ms: float = 0.0
    own: OwnWork = field(default_factory=OwnWork, compare=False)
    prefix_seen_by_hash: Mapping[str, Millis] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stage:
    """One runner's part of a chain."""

    runner: str
    address: str
    fabric: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True, slots=True)
class Chain:
    """Stages that cover every layer once, in order.

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
        """Return the same chain for another epoch."""
        return replace(self, epoch=epoch)

    def runners(self) -> tuple[str, ...]:
        """Return the names of the runners in layer order."""
        return tuple(stage.runner for stage in self.stages)


@dataclass(frozen=True)
class NoChain:
    """No chain covers the model at present.

    :param layer: first layer that no usable runner leads past.

    .. versionadded:: 0.1
    """

    model: str
    version: str
    layer: int
    detail: str
