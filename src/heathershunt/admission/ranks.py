"""Order of what waits: priorities by weight, and accounts within a priority."""

from collections.abc import Callable
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


@dataclass(eq=False, slots=True)
class _Rank(Generic[T]):
    """Waiting items of one priority.

    :param finish: finish tag of the last item that was taken, in virtual time.
    """

    queue: FairQueue[T]
    finish: float = 0.0
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
        self._virtual_time = 0.0
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
        best: tuple[float, int] | None = None
        for number, rank in self._ranks_by_number.items():
            if rank.count and rank.queue.peek(ready) is not None:
                choice = (max(self._virtual_time, rank.finish), number)
                best = choice if best is None else min(best, choice)
        if best is None:
            return None
        return self._ranks_by_number[best[1]].queue.peek(ready)[1]

    def pop(self, item: T, share: float) -> None:
        """Remove the item that ``peek`` returned, and charge its account.

        :param share: weight of its account.
        """
        rank = self._ranks_by_number[item.rank]
        start = max(self._virtual_time, rank.finish)
        weight = self._weight(item.rank)
        rank.queue.pop(item.cost / share)
        self._virtual_time = start
        rank.finish = start + item.cost / weight
        self._subtract(item, rank)

    def first(self, count: int) -> list[T]:
        """Return the next items in order, with accounts of equal weight.

        :param count: most items to return.
        """
        found = []
        for number, rank in self._ranks_by_number.items():
            if not rank.count:
                continue
            weight = self._weight(number)
            start = max(self._virtual_time, rank.finish)
            for _, item in rank.queue.first(count, lambda item: item.cost):
                found.append((start, number, item))
                start += item.cost / weight
        found.sort(key=lambda entry: entry[:2])
        return [item for _, _, item in found[:count]]

    def take(self, item: T, share: float) -> None:
        """Remove an item that may not be the next one, and charge its account.

        :param share: weight of its account.
        """
        if self.peek(lambda name: True) is item:
            self.pop(item, share)
            return
        rank = self._ranks_by_number[item.rank]
        weight = self._weight(item.rank)
        rank.queue.take(item.account, item, item.cost / share)
        # Virtual time stays where it is, as the items before this one still wait.
        rank.finish = max(self._virtual_time, rank.finish) + item.cost / weight
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

    def _weight(self, number: int) -> float:
        above = sum(
            1 for n, rank in self._ranks_by_number.items() if rank.count and n < number
        )
        return self._ratio**-above

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
