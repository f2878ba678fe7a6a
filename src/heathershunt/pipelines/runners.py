"""The interface through which the gateway calls the runners of a model engine."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heathershunt.availability import Notice
from heathershunt.discovery import LayerRange, Target
from heathershunt.pipelines.chain import Chain
from heathershunt.ratelimits import AnswerKind


@dataclass(frozen=True, slots=True)
class StalledJob:
    """A request that waits for a runner of its chain.

    :param address: address of the runner that the request waits for, as ``ip:port``.
    """

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """State of a runner, some hundred milliseconds old.

    :param incarnation: wall time in milliseconds when the process started.
    :param orders: number of orders begun since the start.
    :param is_busy: whether an order is in progress.
    :param held: layers that the runner holds; ``None`` for none.
    :param running: requests in progress.
    :param queued: requests that wait to begin.
    :param kv_used: KV cache in use, in tokens times layers.
    :param kv_total: size of the KV cache, in tokens times layers.
    :param pace: time of its work as a multiple of the usual time; over 1 is slow.
    :param stalled: requests that wait for another runner of their chain.
    :param limit_per_s: requests a second that the runner takes from all VMs together;
        ``None`` if it names no limit.

    .. versionadded:: 0.2
    """

    incarnation: int
    orders: int
    is_busy: bool
    held: LayerRange | None
    running: int
    queued: int
    kv_used: float
    kv_total: float
    pace: float
    stalled: tuple[StalledJob, ...] = ()
    limit_per_s: float | None = None


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
    """Answer of a runner to an order.

    :param faulty_address: address of a runner that does not serve its part of the
        ordered chain, as ``ip:port``; ``None`` if the answer names none.
    :param limit_per_s: as in :class:`RunnerReport`.

    .. versionadded:: 0.3
    """

    outcome: OrderOutcome
    faulty_address: str | None = None
    limit_per_s: float | None = None


class RunnerApi(Protocol):
    """Calls to a runner other than inference requests.

    :ivar on_notice: called with a runner and what an answer of it says of its
        availability, whatever the answer is otherwise.

    .. versionadded:: 0.2
    """

    on_notice: Callable[[Target, Notice, AnswerKind], None]

    async def report(self, runner: Target, timeout_ms: int) -> RunnerReport | None:
        """Return the state of a runner; ``None`` if it does not answer in time."""

    async def place(
        self, runner: Target, layers: LayerRange, orders: int | None, fence: int
    ) -> OrderReply:
        """Order a runner to hold layers.

        :param orders: number of orders that the runner must have begun so far, or it
            refuses; ``None`` leaves this unchecked.
        :param fence: fencing token of the leader.
        """

    async def repath(self, runner: Target, request_id: str, chain: Chain) -> OrderReply:
        """Replace the runners after the first one in the chain of a running request."""
