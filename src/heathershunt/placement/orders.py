"""Sends orders to runners while the lease is valid."""

from dataclasses import dataclass
from enum import Enum

from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import HttpClient
from heathershunt.placement.lease import Lease, LeaseKeeper
from heathershunt.placement.plan import Order
from heathershunt.verdict import Progress

# A new holder of the lease relies on the order time-out of the previous holder, so the
# value must be the same in all processes.
ORDER_TIMEOUT_MS = 2_000
CONFLICT = 409


class OrderReply(Enum):
    """Outcome of an order."""

    ACCEPTED = "taken"
    FENCED = "fenced"
    FAILED = "failed"
    NOT_SENT = "not sent"


@dataclass(frozen=True)
class OrderResult:
    """An order and its outcome."""

    order: Order
    reply: OrderReply


class OrderSender:
    """Sends orders to runners; checks the lease before each order.

    .. versionadded:: 0.1
    """

    def __init__(self, http: HttpClient, clock: Clock, keeper: LeaseKeeper) -> None:
        self._http = http
        self._clock = clock
        self._keeper = keeper

    def may_send(self, order: Order, lease: Lease, now: Millis) -> bool:
        """Return whether it is safe to send an order now.

        A runner that does not check fencing tokens could accept a late order of the
        previous holder after one of this holder. Its first order therefore waits until
        no order of the previous holder can be in flight.
        """
        if not lease.is_valid(now):
            return False
        return order.checks_fence or now >= lease.acquired_at + ORDER_TIMEOUT_MS

    async def send(self, order: Order) -> OrderResult:
        """Send one order with the fencing token of the current lease."""
        lease = self._keeper.current()
        if lease is None or not self.may_send(order, lease, self._clock.now()):
            return OrderResult(order, OrderReply.NOT_SENT)
        outcome = await self._http.request_json(
            order.address,
            "POST",
            "/v1/orders",
            order.body(lease.revision),
            timeout_ms=ORDER_TIMEOUT_MS,
            fresh=True,
            may_send=lambda: self._keeper.current() is not None,
        )
        if isinstance(outcome, Err):
            was_sent = outcome.err_value.progress is not Progress.NOT_SENT
            reply = OrderReply.FAILED if was_sent else OrderReply.NOT_SENT
            return OrderResult(order, reply)
        status = outcome.ok_value[0]
        if status == CONFLICT:
            return OrderResult(order, OrderReply.FENCED)
        reply = OrderReply.ACCEPTED if status == 200 else OrderReply.FAILED
        return OrderResult(order, reply)
