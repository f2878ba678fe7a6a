"""The port to the runners of a model engine."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heathershunt.discovery import LayerRange, Target
from heathershunt.pipelines.chain import Chain


@dataclass(frozen=True, slots=True)
class StalledJob:
    """A request that waits for a runner of its chain.

    :param request_id: id of the request.
    :param address: runner that it waits for, as ``ip:port``.
    """

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """State of a runner, some hundred milliseconds old.

    :param born: wall time of its start in milliseconds.
    :param orders: orders begun since then.
    :param is_busy: whether an order is in progress.
    :param pace: time of its work relative to what is usual; over 1 is slow.
    :param kv_used: KV cache in use, in tokens times layers.

    .. versionadded:: 0.2
    """

    born: int
    orders: int
    is_busy: bool
    held: LayerRange | None
    running: int
    queued: int
    kv_used: float
    kv_total: float
    pace: float
    stalled: tuple[StalledJob, ...] = ()


class OrderOutcome(Enum):
    """How a runner answered an order.

    .. versionadded:: 0.2
    """

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderReply:
    """What is known of an order.

    :param faulty_address: runner that does not do its part of an ordered chain, as
        ``ip:port``; ``None`` if none was named.

    .. versionadded:: 0.3
    """

    outcome: OrderOutcome
    faulty_address: str | None = None


class RunnerApi(Protocol):
    """Calls of a runner, beside requests.

    .. versionadded:: 0.2
    """

    async def report(self, runner: Target, timeout_ms: int) -> RunnerReport | None:
        """Return the state of a runner, ``None`` if it does not answer."""

    async def place(
        self, runner: Target, layers: LayerRange, orders: int | None, fence: int
    ) -> OrderReply:
        """Order a runner to hold layers.

        :param orders: orders begun so far that the runner must have.
        :param fence: fencing token of the leader.
        """

    async def repath(self, runner: Target, request_id: str, chain: Chain) -> OrderReply:
        """Replace the later runners of a running request's chain."""
