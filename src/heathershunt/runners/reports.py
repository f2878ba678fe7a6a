"""Status reports of the runners in the engine protocol."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from heathershunt.clock import Millis
from heathershunt.http import Address

# Bounds far beyond any real runner keep a malformed report out of the cost of chains,
# where NaN compares as neither less nor greater.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
RunnerName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]


@dataclass(frozen=True)
class ReportedLoad:
    """Load of a runner as of ``at_ms``, wall time of the runner in milliseconds."""

    running: Count
    queued: Count
    batch_limit: Count
    step_ms: Duration
    token_ms: Duration
    prefill_token_ms: Duration
    kv_free_tokens: Count
    at_ms: Count


@dataclass(frozen=True)
class RunnerReport:
    """Status of a runner in the engine protocol."""

    runner: RunnerName
    incarnation: int
    kind: str
    fence: int
    checks_fence: bool
    leaving: bool
    vm: str
    domain: str
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: Layer
    end_layer: Layer
    role: str
    fabric: str
    load: ReportedLoad


@dataclass(frozen=True)
class RunnerState:
    """A report with what this VM adds to it.

    :param received_at: monotonic time of the report's arrival.
    :param described_at: monotonic time that its load describes.
    :param delay_ms: half of the shortest recent round trip.
    """

    address: Address
    report: RunnerReport
    received_at: Millis
    described_at: Millis
    delay_ms: float
