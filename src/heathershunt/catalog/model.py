"""Immutable types of one configuration version."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Kind of a route's requests, which decides whether they may be retried.

    .. versionadded:: 0.2
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests to one host and path prefix.

    :param timeout_ms: maximum time that a request may wait.
    :param target_latency_ms: target for the time to the answer, or to a stream's first
        event.
    :param target_gap_ms: target for the longest gap between events of a stream; 0 for
        other routes.
    :param rank: priority; 0 is the highest.
    :param max_attempts: number of targets to which one request may be sent.

    .. versionadded:: 0.2
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    target_latency_ms: int
    target_gap_ms: int = 0
    rank: int = 0
    is_public: bool = False
    is_resumable: bool = False
    max_attempts: int = 1

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be retried at another target."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A holder of API keys.

    :param key_sha256: SHA-256 hashes of its API keys, in hexadecimal.
    :param rank: priority that overrides the route's; ``None`` for the route's.

    .. versionadded:: 0.2
    """

    name: str
    key_sha256: tuple[str, ...]
    rank: int | None = None

    def rank_on(self, route: Route) -> int:
        """Return the priority of the requests of this account on a route."""
        return route.rank if self.rank is None else self.rank


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    :param memory_mb: memory for layers and KV cache together.
    :param pace: duration of a token step relative to the engine's figures.
    :param prefill_factor: duration of prefill relative to the engine's figures.

    .. versionadded:: 0.2
    """

    name: str
    memory_mb: float
    pace: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class Engine:
    """Performance figures of a model engine whose runners hold ranges of layers.

    :param layers: number of layers of the model.
    :param layer_mb: memory of one layer in megabytes.
    :param kv_bytes: size of the KV cache of one token over all layers, in bytes.
    :param step_ms: duration of a token step over all layers, without requests.
    :param sequence_ms: time that each running request adds to a step.
    :param context_ms: time that 1,000 tokens of context add to a step.
    :param prefill_tokens_per_ms: prompt tokens processed by prefill per millisecond.
    :param load_ms: time to load all layers.
    :param mean_prompt_tokens: mean number of prompt tokens.
    :param mean_answer_tokens: mean number of output tokens.

    .. versionadded:: 0.2
    """

    layers: int
    layer_mb: float
    kv_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_ms: float
    load_ms: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    kinds_by_name: Mapping[str, AcceleratorKind] = field(default_factory=dict)

    @property
    def kv_mb(self) -> float:
        """Return the size of the KV cache of one token in one layer, in megabytes."""
        return self.kv_bytes / self.layers / 1e6


@dataclass(frozen=True, slots=True)
class Service:
    """A service that requests are sent to.

    :param engine: figures of its model engine; ``None`` for a plain service.

    .. versionadded:: 0.2
    """

    name: str
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's requests and on its idle time.

    .. versionadded:: 0.2
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000
