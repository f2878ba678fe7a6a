"""Status reports of runners in the engine protocol."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from heathershunt.clock import Millis
from heathershunt.http import Address
from heathershunt.schema.fields import Layer, LongText, Text, Whole

Duration = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
RunnerName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
MAX_ADAPTERS = 4096


@dataclass(frozen=True)
class ReportedLoad:
    """Load of a runner at ``at_ms``, in milliseconds of the runner's wall clock."""

    running: Whole
    queued: Whole
    batch_limit: Whole
    step_ms: Duration
    token_ms: Duration
    prefill_token_ms: Duration
    kv_free_tokens: Whole
    at_ms: Whole


@dataclass(frozen=True)
class RunnerReport:
    """Status report of a runner.

    :param fence: fencing token of the last order that the runner accepted.
    :param checks_fence: whether the runner rejects orders with a lower token.
    :param end_layer: first layer after the runner's range.
    :param fabric: address for activations from other stages.
    """

    runner: RunnerName
    incarnation: Whole
    kind: Text
    fence: Whole
    checks_fence: bool
    leaving: bool
    vm: Text
    domain: Text
    model: Text
    version: Text
    adapters: Annotated[tuple[LongText, ...], msgspec.Meta(max_length=MAX_ADAPTERS)]
    first_layer: Layer
    end_layer: Layer
    role: Text
    fabric: Text
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
