"""Order of what waits: priorities by weight, and accounts within a priority.

Each priority shares the turns with all lower ones together, by start-time fair queueing
of these two. So what a priority gets of the turns that a higher one leaves does not
depend on whether that one waits at the moment.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from copy import copy
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

from heathershunt.admission.fair import FairQueue

# Weight of a priority relative to the next lower one that waits.
RANK_RATIO = 8.0


class Ranked(Protocol):
    """An item that waits.

    :ivar rank: priority; lower goes first.
    :ivar cost: work, in any unit that is the same for all items.

    .. versionadded:: 0.10
    """

    account: str
    rank: int
    cost: float


T = TypeVar("T", bound=Ranked)


@dataclass(slots=True)
class _Division:
    """Division of the turns between a priority and all lower ones together.

    :param own_finish: finish tag of the last item of the priority, in virtual time.
    :param lower_finish: the same for the last item of a lower one.
    """

    virtual_time: float = 0.0
    own_finish: float = 0.0
    lower_finish: float = 0.0

    @property
    def is_own_first(self) -> bool:
        """Return whether the priority has its turn before the lower ones."""
        return max(self.virtual_time, self.own_finish) <= max(
            self.virtual_time, self.lower_finish
        )

    def charge_own(self, size: float, is_first: bool) -> None:
        """Charge the priority; virtual time advances if the item was the first one."""
        start = max(self.virtual_time, self.own_finish)
        self.own_finish = start + size
        if is_first:
            self.virtual_time = start

    def charge_lower(self, size: float, is_first: bool) -> None:
        """Charge the lower priorities, likewise."""
        start = max(self.virtual_time, self.lower_finish)
        self.lower_finish = start + size
        if is_first:
            self.virtual_time = start


@dataclass(eq=False, slots=True)
class _Rank(Generic[T]):
    """Waiting items of one priority."""

    queue: FairQueue[T]
    division: _Division = field(default_factory=_Division)
    count: int = 0
    share: float = 0.0
    cost_by_account: dict[str, float] = field(default_factory=dict)
    share_by_account: dict[str, float] = field(default_factory=dict)


class RankedQueue(Generic[T]):
    """Queue whose priorities share the turns by weight, so that none is starved.

    Within a priority, accounts share by weight. The turns that a priority or an account
    does not use go to the others.

    :param ratio: weight of a priority relative to the next lower one that has waiting
        items.
    :param order: sort key of the items of an account; ``None`` for their arrival.

    .. versionadded:: 0.10
    """

    def __init__(self, ratio: float, order: Callable[[T], Any] | None = None) -> None:
        self._ratio = ratio
        self._order = order
        self._ranks_by_number: dict[int, _Rank[T]] = {}
        self._count = 0
        self._cost = 0.0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._count

    @property
    def cost(self) -> float:
        """Return the total cost of the waiting items."""
        return self._cost

    def counts(self) -> dict[int, int]:
        """Return the number of waiting items by priority, without those of none."""
        return {
            n: rank.count for n, rank in self._ranks_by_number.items() if rank.count
        }

    def add(self, item: T, share: float, ready: bool) -> None:
        """Add an item.

        :param share: weight of its account, above 0.
        :param ready: whether its account may be served.
        """
        rank = self._rank(item.rank)
        name = item.account
        rank.count += 1
        self._count += 1
        self._cost += item.cost
        if name not in rank.cost_by_account:
            rank.share_by_account[name] = share
            rank.share += share
        rank.cost_by_account[name] = rank.cost_by_account.get(name, 0) + item.cost
        rank.queue.push(name, item, ready)

    def activate(self, account: str) -> None:
        """Make an account with waiting items eligible."""
        for rank in self._ranks_by_number.values():
            rank.queue.activate(account)

    def peek(self, ready: Callable[[str], bool]) -> T | None:
        """Return the next item without removing it.

        :param ready: whether the account of this name may be served; an account that
            may not is skipped until the next ``activate``.
        """
        eligible = sorted(
            number
            for number, rank in self._ranks_by_number.items()
            if rank.count and rank.queue.peek(ready) is not None
        )
        if not eligible:
            return None
        number = _next_rank(eligible, self._divisions())
        return self._ranks_by_number[number].queue.peek(ready)[1]

    def pop(self, item: T, share: float) -> None:
        """Remove the item that ``peek`` returned, and charge its account.

        :param share: weight of its account.
        """
        rank = self._ranks_by_number[item.rank]
        rank.queue.pop(item.cost / share)
        self._charge(self._divisions(), item, is_first=True)
        self._subtract(item, rank)

    def first(self, count: int) -> list[T]:
        """Return the next items in order, with accounts of equal weight.

        :param count: most items to return.
        """
        items_by_rank = {
            number: deque(
                item for _, item in rank.queue.first(count, lambda item: item.cost)
            )
            for number, rank in sorted(self._ranks_by_number.items())
            if rank.count
        }
        # The turns are played on a copy.
        divisions = {n: copy(division) for n, division in self._divisions().items()}
        found: list[T] = []
        while len(found) < count:
            waiting = [number for number, items in items_by_rank.items() if items]
            if not waiting:
                break
            item = items_by_rank[_next_rank(waiting, divisions)].popleft()
            self._charge(divisions, item, is_first=True)
            found.append(item)
        return found

    def take(self, item: T, share: float) -> None:
        """Remove an item that may not be the next one, and charge its account.

        :param share: weight of its account.
        """
        if self.peek(lambda name: True) is item:
            self.pop(item, share)
            return
        rank = self._ranks_by_number[item.rank]
        rank.queue.take(item.account, item, item.cost / share)
        # Virtual time stays where it is, as the items before this one still wait.
        self._charge(self._divisions(), item, is_first=False)
        self._subtract(item, rank)

    def remove(self, item: T) -> None:
        """Remove an item without a charge."""
        rank = self._ranks_by_number[item.rank]
        rank.queue.remove(item.account, item)
        self._subtract(item, rank)

    def remove_idle(self) -> None:
        """Remove what is kept of accounts without waiting items."""
        for rank in self._ranks_by_number.values():
            rank.queue.remove_idle()

    def account_cost(self, rank: int, account: str) -> float:
        """Return the cost of the waiting items of an account in a priority."""
        return self._rank(rank).cost_by_account.get(account, 0.0)

    def work_before(self, item: T, share: float) -> float:
        """Return the cost that is served until an item, itself included, is done.

        This is the lower one of the cost at the guaranteed share of its account and the
        cost of all waiting items.

        :param share: weight of its account.
        """
        rank = self._rank(item.rank)
        others = rank.share - rank.share_by_account.get(item.account, 0.0)
        fraction = share / (others + share) * self._fraction(item.rank)
        own = self.account_cost(item.rank, item.account) + item.cost
        return min(own / fraction, self._cost + item.cost)

    def _rank(self, number: int) -> _Rank[T]:
        rank = self._ranks_by_number.get(number)
        if rank is None:
            rank = self._ranks_by_number[number] = _Rank(FairQueue(self._order))
        return rank

    def _fraction(self, number: int) -> float:
        """Return the part of the turns of a priority that has a waiting item."""
        active = sorted({number, *self.counts()})
        weights = [self._ratio**-above for above in range(len(active))]
        return weights[active.index(number)] / sum(weights)

    def _divisions(self) -> dict[int, _Division]:
        return {n: rank.division for n, rank in self._ranks_by_number.items()}

    def _charge(
        self, divisions: Mapping[int, _Division], item: T, is_first: bool
    ) -> None:
        """Charge an item that still counts as waiting in all divisions it belongs to.

        :param is_first: whether it was the next one, so that virtual time advances.
        """
        waiting = self.counts()
        for number, division in divisions.items():
            if number == item.rank:
                division.charge_own(item.cost, is_first)
            elif number < item.rank:
                lower = sum(1 for other in waiting if other > number)
                weight = sum(self._ratio**-below for below in range(1, lower + 1))
                division.charge_lower(item.cost / weight, is_first)

    def _subtract(self, item: T, rank: _Rank[T]) -> None:
        """Subtract an item that was removed from its fair queue from all counts."""
        rank.count -= 1
        self._count -= 1
        self._cost -= item.cost
        left = rank.cost_by_account[item.account] - item.cost
        rank.cost_by_account[item.account] = left
        if not rank.queue.flows[item.account].items:
            del rank.cost_by_account[item.account]
            rank.share -= rank.share_by_account.pop(item.account)
        if not self._count:
            self._cost = 0.0


def _next_rank(waiting: Sequence[int], divisions: Mapping[int, _Division]) -> int:
    """Return the priority that has the next turn.

    :param waiting: priorities that wait, the highest first.
    """
    for number in waiting[:-1]:
        if divisions[number].is_own_first:
            return number
    return waiting[-1]
