"""The admission queue: fair queueing of accounts, priorities and deadlines."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from heathershunt.admission.drain import DrainEstimate
from heathershunt.admission.limits import AccountLimits
from heathershunt.admission.ranks import RANK_RATIO, RankedQueue
from heathershunt.clock import Millis
from heathershunt.ratelimits import RateLimit
from heathershunt.verdict import Refusal, not_run


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request for admission.

    :param rank: priority; lower goes first.
    :param deadline: monotonic time by which the answer must be complete.
    :param cost: work, in any unit that is the same for all tickets.

    .. versionadded:: 0.1
    """

    id: str
    account: str
    rank: int
    deadline: Millis
    cost: float = 1.0


@dataclass(frozen=True)
class AdmissionConfig:
    """Constants of the admission queue.

    :param queued_total: most requests that wait at a time, over all accounts.
    :param rank_ratio: weight of a priority relative to the next lower one that has
        waiting tickets.
    :param hold_ms: run time of a unit of cost to assume before the first release.
    :param burst_ms: time whose tokens the rate limit of an account holds.
    :param min_retry_after_ms: shortest ``retry_after`` of a refusal.
    :param max_retry_after_ms: longest ``retry_after`` of a refusal.
    :param default_limits: limits of accounts for which none are set.

    .. versionadded:: 0.1
    """

    queued_total: int = 4096
    rank_ratio: float = RANK_RATIO
    hold_ms: float = 1000.0
    burst_ms: int = 2000
    min_retry_after_ms: int = 100
    max_retry_after_ms: int = 60_000
    default_limits: AccountLimits = AccountLimits()


@dataclass(eq=False, slots=True)
class _Account:
    limits: AccountLimits
    rate: RateLimit
    waiting: int = 0
    running: int = 0

    def may_start(self) -> bool:
        return self.running < self.limits.concurrent


class AdmissionQueue:
    """Decides which request runs next, and refuses those that cannot run in time.

    Priorities share the capacity by weight, so that a lower one is never starved.
    Within a priority, accounts share by weight. Only the account limits are hard; the
    capacity that a priority or an account leaves unused goes to the others.

    .. versionadded:: 0.1
    """

    def __init__(self, config: AdmissionConfig) -> None:
        self.config = config
        self.limit = 0
        self._drain = DrainEstimate(config.hold_ms)
        self._accounts_by_name: dict[str, _Account] = {}
        self._limits_by_account: dict[str, AccountLimits] = {}
        self._queue: RankedQueue[Ticket] = RankedQueue(config.rank_ratio)
        self._waiting_by_id: dict[str, Ticket] = {}
        self._running_by_id: dict[str, tuple[Ticket, Millis]] = {}
        self._latest_starts: list[tuple[Millis, int, Ticket]] = []
        self._sequence = 0
        self._late: list[Ticket] = []

    @classmethod
    def from_config(cls, config: AdmissionConfig) -> "AdmissionQueue":
        """Return an empty queue that runs nothing until ``set_limit``."""
        return cls(config)

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return len(self._waiting_by_id)

    @property
    def running(self) -> int:
        """Number of running tickets."""
        return len(self._running_by_id)

    def set_limit(self, limit: int) -> None:
        """Set how many tickets run at a time, from the capacity of the runners."""
        self.limit = max(0, limit)

    def set_limits(self, limits_by_account: Mapping[str, AccountLimits]) -> None:
        """Replace the limits of all accounts; waiting tickets stay."""
        self._limits_by_account = dict(limits_by_account)
        for name, account in list(self._accounts_by_name.items()):
            idle = not account.waiting and not account.running
            if idle and name not in limits_by_account:
                del self._accounts_by_name[name]
            account.limits = self._limits(name)
            self._activate(name, account)

    def set_account_limits(self, name: str, limits: AccountLimits, now: Millis) -> None:
        """Replace the limits of one account, as when its demand moves between VMs."""
        self._limits_by_account[name] = limits
        account = self._account(name, now)
        account.limits = limits
        self._activate(name, account)

    def offer(self, ticket: Ticket, now: Millis) -> Result[Ticket, Refusal]:
        """Queue ``ticket``, or refuse it at once.

        :raises ValueError: if a ticket with this id is waiting or running.
        """
        if ticket.id in self._waiting_by_id or ticket.id in self._running_by_id:
            raise ValueError(f"ticket {ticket.id} was offered twice")
        account = self._account(ticket.account, now)
        refusal = (
            self._refuse_for_account(account, now)
            or self._refuse_for_queue(account)
            or self._refuse_for_deadline(ticket, account, now)
        )
        if refusal is not None:
            return Err(refusal)
        account.rate.take()
        account.waiting += 1
        self._waiting_by_id[ticket.id] = ticket
        self._queue.add(ticket, account.limits.share, account.may_start())
        latest = Millis(int(ticket.deadline - self._drain.upper_bound_ms(ticket.cost)))
        # A tight deadline may still be met if the ticket starts at once.
        self._sequence += 1
        entry = (max(latest, now), self._sequence, ticket)
        heapq.heappush(self._latest_starts, entry)
        return Ok(ticket)

    def next(self, now: Millis) -> Ticket | None:
        """Start and return the ticket to run now, or ``None``; ``release`` ends it."""
        if self.running >= self.limit:
            return None
        self._remove_late(now)
        ticket = self._queue.peek(self._is_ready)
        if ticket is None:
            return None
        account = self._accounts_by_name[ticket.account]
        account.running += 1
        self._queue.pop(ticket, account.limits.share)
        self._forget(ticket)
        if not self._running_by_id:
            self._drain.start_busy_period(now)
        self._running_by_id[ticket.id] = (ticket, now)
        return ticket

    def release(self, ticket: Ticket, now: Millis, *, measured: bool = True) -> None:
        """End a running ticket; an unknown one is ignored.

        :param measured: whether its run time enters the drain estimate; false after a
            failure, because that run time is not typical.
        """
        found = self._running_by_id.pop(ticket.id, None)
        if found is None:
            return
        if measured:
            self._drain.record_release(ticket.cost, now - found[1], now)
        account = self._accounts_by_name[ticket.account]
        account.running -= 1
        self._activate(ticket.account, account)

    def cancel(self, ticket_id: str) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        ticket = self._waiting_by_id.get(ticket_id)
        if ticket is None:
            return False
        self._queue.remove(ticket)
        self._forget(ticket)
        return True

    def cancel_all(self) -> list[Ticket]:
        """Remove and return all waiting tickets."""
        tickets = list(self._waiting_by_id.values())
        for ticket in tickets:
            self.cancel(ticket.id)
        return tickets

    def expire(self, now: Millis) -> list[Ticket]:
        """Remove and return the waiting tickets whose deadline is out of reach."""
        self._remove_late(now)
        late, self._late = self._late, []
        self._queue.remove_idle()
        return late

    def late_refusal(self) -> Refusal:
        """Return the refusal for a ticket that ``expire`` returned."""
        wait = self._queue.cost * self._drain.hold_ms / max(1, self.limit)
        detail = "the request waited until its deadline could no longer be met"
        return not_run(503, "Deadline out of reach", detail, self._retry_after(wait))

    def _refuse_for_account(self, account: _Account, now: Millis) -> Refusal | None:
        limits = account.limits
        if limits.concurrent <= 0:
            detail = "this VM has no part of the account's concurrent requests"
            wait = self._drain.hold_ms
            return not_run(429, "No share at this VM", detail, self._retry_after(wait))
        wait = account.rate.wait_ms(limits.requests_per_second, now)
        if wait:
            detail = f"the account may send {limits.requests_per_second:g} requests/s"
            return not_run(429, "Rate limit reached", detail, self._retry_after(wait))
        if account.waiting >= limits.queued:
            detail = f"{account.waiting} requests of the account are waiting"
            wait = account.waiting * self._drain.hold_ms / limits.concurrent
            return not_run(429, "Account queue full", detail, self._retry_after(wait))
        return None

    def _refuse_for_queue(self, account: _Account) -> Refusal | None:
        # An account may have as many tickets in the queue as places are still free
        # (dynamic threshold, Choudhury and Hahne, 1998), so one account that floods the
        # queue always leaves room for the others.
        free = self.config.queued_total - self.waiting
        if account.waiting < free or (free > 0 and not account.waiting):
            return None
        wait = self._queue.cost * self._drain.hold_ms / max(1, self.limit)
        detail = f"{self.waiting} requests are waiting"
        return not_run(503, "Queue full", detail, self._retry_after(wait))

    def _refuse_for_deadline(
        self, ticket: Ticket, account: _Account, now: Millis
    ) -> Refusal | None:
        left_ms = ticket.deadline - now
        run_ms = self._drain.hold_ms * ticket.cost
        if self.limit == 0:
            detail = "no runner has capacity at present"
            return not_run(503, "No capacity", detail, self._retry_after(run_ms))
        if run_ms > left_ms:
            # Waiting does not help this request, so the refusal has no ``retry_after``.
            detail = f"the request runs about {run_ms:.0f} ms, {left_ms} ms are left"
            return not_run(503, "Deadline out of reach", detail)
        wait = self._expected_wait(ticket, account, now)
        run_ms = self._drain.upper_bound_ms(ticket.cost)
        if wait == 0 or wait + run_ms <= left_ms:
            return None
        detail = f"about {wait + run_ms:.0f} ms are needed, {left_ms} ms are left"
        after = self._retry_after(wait + run_ms - left_ms)
        return not_run(503, "Deadline out of reach", detail, after)

    def _expected_wait(self, ticket: Ticket, account: _Account, now: Millis) -> float:
        """Return the expected wait of ``ticket`` in milliseconds.

        This is the shorter of the wait at the account's guaranteed share and the wait
        behind all waiting tickets, or longer if the account's concurrency limits it.
        """
        free = self.running < self.limit and not self._queue.cost
        if free and account.may_start():
            return 0.0
        drain = self._drain.rate(self.limit, self.running, now)
        wait = self._queue.work_before(ticket, account.limits.share) / drain
        if not account.may_start() or account.waiting:
            # The account's own concurrency limit may be the bottleneck.
            own = self._queue.account_cost(ticket.rank, ticket.account) + ticket.cost
            wait = max(wait, own * self._drain.hold_ms / account.limits.concurrent)
        return wait

    def _forget(self, ticket: Ticket) -> None:
        """Subtract a ticket that was removed from the queue from the counts."""
        del self._waiting_by_id[ticket.id]
        self._accounts_by_name[ticket.account].waiting -= 1

    def _remove_late(self, now: Millis) -> None:
        while self._latest_starts and self._latest_starts[0][0] < now:
            ticket = heapq.heappop(self._latest_starts)[2]
            # An id may have been cancelled and offered again with another deadline.
            if self._waiting_by_id.get(ticket.id) is ticket:
                self.cancel(ticket.id)
                self._late.append(ticket)

    def _is_ready(self, name: str) -> bool:
        return self._accounts_by_name[name].may_start()

    def _activate(self, name: str, account: _Account) -> None:
        if account.waiting and account.may_start():
            self._queue.activate(name)

    def _account(self, name: str, now: Millis) -> _Account:
        account = self._accounts_by_name.get(name)
        if account is None:
            limits = self._limits(name)
            rate = RateLimit(self.config.burst_ms, limits.requests_per_second, now)
            account = self._accounts_by_name[name] = _Account(limits, rate)
        return account

    def _limits(self, name: str) -> AccountLimits:
        return self._limits_by_account.get(name, self.config.default_limits)

    def _retry_after(self, wait_ms: float) -> int:
        config = self.config
        return int(
            min(max(wait_ms, config.min_retry_after_ms), config.max_retry_after_ms)
        )
