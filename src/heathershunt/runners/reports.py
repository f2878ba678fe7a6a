"""Status reports of the runners in the engine protocol."""

from dataclasses import dataclass

from heathershunt.clock import Millis
from heathershunt.http import Address


@dataclass(frozen=True)
class ReportedLoad:
    """Load of a runner as of ``at_ms``, wall time of the runner in milliseconds."""

    running: int
    queued: int
    batch_limit: int
    step_ms: float
    token_ms: float
    prefill_token_ms: float
    kv_free_tokens: int
    at_ms: int


@dataclass(frozen=True)
class RunnerReport:
    """Status of a runner in the engine protocol."""

    runner: str
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
    first_layer: int
    end_layer: int
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
