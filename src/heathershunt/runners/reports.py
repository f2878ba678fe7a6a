"""Status reports of runners in the engine protocol."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from heathershunt.clock import Millis
from heathershunt.http import Address

# The bounds are far beyond any real runner. They reject malformed reports, whose values
# would break the comparison of chain costs: NaN compares as neither less nor greater.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
RunnerName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]


@dataclass(frozen=True)
class ReportedLoad:
    """Load of a runner at ``at_ms``, in milliseconds of the runner's wall clock."""

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
    """Status report of a runner.

    :param fence: fencing token of the last order that the runner accepted.
    :param checks_fence: whether the runner rejects orders with a lower token.
    :param end_layer: first layer after the runner's range.
    :param fabric: address for activations from other stages.
    """

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
    """A report, with its address and times as this VM received it.

    :param received_at: monotonic time at which the report arrived.
    :param described_at: monotonic time that the reported load describes.
    :param delay_ms: half of the round trip of the poll.
    """

    address: Address
    report: RunnerReport
    received_at: Millis
    described_at: Millis
    delay_ms: float
