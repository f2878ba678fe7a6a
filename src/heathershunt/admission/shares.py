"""One VM's share of a limit that holds over all VMs.

The VMs tell each other the demand of each account, and every VM derives the same
split from the same messages, so no request needs an agreement. A VM that is not
heard keeps an equal part set aside for it, because it may still be using that part.
"""

from dataclasses import dataclass

from heathershunt.clock import Millis


@dataclass(frozen=True)
class Demand:
    """Demand of the accounts at one VM.

    :param vm: VM whose callers asked.
    :param at: when it was measured, on the receiver's monotonic clock.
    :param rate_by_account: offered requests per second, refused ones included.

    .. versionadded:: 0.1
    """

    vm: str
    at: Millis
    rate_by_account: dict[str, float]


@dataclass(frozen=True)
class ShareConfig:
    """Constants of the split.

    :param reserve: part of the limit that is split equally, whatever the demand.
    :param fresh_ms: age up to which a message counts in full.
    :param forgotten_ms: age from which it does not count.
    :param half_life_ms: time in which the measured demand follows a change halfway.
    :param accounts_most: accounts named in one message, the largest first.

    .. versionadded:: 0.1
    """

    reserve: float = 0.1
    fresh_ms: int = 3_000
    forgotten_ms: int = 9_000
    half_life_ms: int = 2_000
    accounts_most: int = 64


@dataclass(frozen=True, slots=True)
class _Split:
    """How one limit is split.

    :param equal: equal part of one VM.
    :param reserve: part of ``equal`` that a heard VM has whatever its demand.
    :param per_demand: limit per unit of demand.
    """

    equal: float
    reserve: float
    per_demand: float
    demand_by_vm: dict[str, float]

    def share(self, vm: str, weight: float) -> float:
        """Return the part of a VM whose last message counts by ``weight``."""
        by_demand = self.per_demand * self.demand_by_vm.get(vm, 0.0)
        return self.equal * (1 - weight * (1 - self.reserve)) + by_demand


class ShareSplitter:
    """Splits limits between VMs by the demand that they told each other.

    .. versionadded:: 0.1
    """

    def __init__(self, config: ShareConfig, vm: str) -> None:
        self.config = config
        self.vm = vm
        self._demand_by_vm: dict[str, Demand] = {}
        self._rate_by_vm_by_account: dict[str, dict[str, float]] = {}
        self._offered_by_account: dict[str, float] = {}
        self._rate_by_account: dict[str, float] = {}
        self._measured_at: Millis | None = None
        self._messages = 0
        self._heard = 1.0
        self._kept: tuple[int, dict[str, float]] = (1, {})
        self._kept_for: tuple[Millis | None, int, frozenset[str]] = (
            None,
            0,
            frozenset(),
        )

    @classmethod
    def from_config(cls, config: ShareConfig, vm: str) -> "ShareSplitter":
        """Return a splitter for the VM with this name."""
        return cls(config, vm)

    def record(self, account: str, cost: float = 1.0) -> None:
        """Count a request that was offered here, refused or not."""
        offered = self._offered_by_account
        offered[account] = offered.get(account, 0.0) + cost

    def measure(self, now: Millis) -> Demand:
        """Return the own demand, to be sent to all peers; call once a second.

        The own share also follows this message, never a newer value, so that all VMs
        compute with the same numbers.
        """
        previous, self._measured_at = self._measured_at, now
        if previous is not None and now > previous:
            self._follow(now - previous)
        largest = sorted(
            self._rate_by_account.items(), key=lambda item: item[1], reverse=True
        )
        rates = dict(largest[: self.config.accounts_most])
        demand = Demand(self.vm, now, rates)
        self._replace(self.vm, demand)
        return demand

    def observe(self, demand: Demand) -> bool:
        """Take in the message of a VM, heard directly or relayed by a peer.

        Returns whether it was newer than the last of that VM. Only such a message needs
        to be relayed, which ends its way through a mesh of peers.
        """
        last = self._demand_by_vm.get(demand.vm)
        if demand.vm == self.vm or (last is not None and demand.at <= last.at):
            return False
        self._replace(demand.vm, demand)
        return True

    def forget(self, vm: str) -> None:
        """Drop the message of a VM that is gone."""
        if vm != self.vm:
            self._replace(vm, None)

    def share(
        self, account: str, limit: float, now: Millis, known_vms: frozenset[str]
    ) -> float:
        """Return the part of ``limit`` that this VM may use.

        :param known_vms: all VMs that are alive, from the membership.
        """
        split = self._split(account, limit, now, known_vms)
        return split.share(self.vm, 1.0)

    def whole_share(
        self, account: str, limit: int, now: Millis, known_vms: frozenset[str]
    ) -> int:
        """Return this VM's part of a limit that counts whole things.

        The shares are rounded along one common order, so they add up to the limit
        while all VMs know the same demand; else they may exceed it by less than one for
        each VM. Where there are more VMs than the limit, some get none.
        """
        split = self._split(account, limit, now, known_vms)
        _, weight_by_vm = self._weights(now, known_vms)
        before = 0.0
        for vm in sorted({*known_vms, self.vm}):
            # The small term undoes rounding of sums that should be whole.
            after = before + split.share(vm, weight_by_vm.get(vm, 0.0))
            if vm == self.vm:
                return int(after + 1e-6) - int(before + 1e-6)
            before = after
        return 0

    def _split(
        self, account: str, limit: float, now: Millis, known_vms: frozenset[str]
    ) -> "_Split":
        count, weight_by_vm = self._weights(now, known_vms)
        demand_by_vm = {
            vm: rate * weight_by_vm[vm]
            for vm, rate in self._rate_by_vm_by_account.get(account, {}).items()
            if vm in weight_by_vm
        }
        total = sum(demand_by_vm.values())
        reserve = self.config.reserve if total else 1.0
        equal = limit / count
        # Limit per unit of demand, out of the part that belongs to the heard VMs.
        pool = equal * self._heard * (1 - reserve)
        per_demand = pool / total if total else 0.0
        return _Split(equal, reserve, per_demand, demand_by_vm)

    def _weights(
        self, now: Millis, known_vms: frozenset[str]
    ) -> tuple[int, dict[str, float]]:
        """Return the number of VMs and the weights of those heard, by name.

        The result is kept for the next account, since all limits are split at once.
        """
        at, messages, kept_vms = self._kept_for
        if (at, messages) != (now, self._messages) or kept_vms is not known_vms:
            vms = {*known_vms, self.vm}
            weights = {
                vm: self._weight(vm, now) for vm in vms & self._demand_by_vm.keys()
            }
            weights[self.vm] = 1.0
            heard = {vm: weights[vm] for vm in sorted(weights) if weights[vm]}
            self._kept = (len(vms), heard)
            self._heard = sum(heard.values())
            self._kept_for = (now, self._messages, known_vms)
        return self._kept

    def _weight(self, vm: str, now: Millis) -> float:
        """Return how far the last message of a VM still counts, from 1 to 0."""
        demand = self._demand_by_vm.get(vm)
        if demand is None:
            return 0.0
        config = self.config
        left = config.forgotten_ms - (now - demand.at)
        return min(1.0, max(0.0, left / (config.forgotten_ms - config.fresh_ms)))

    def _replace(self, vm: str, demand: Demand | None) -> None:
        """Take a VM's last message out of the index and put the new one in."""
        self._messages += 1
        last = self._demand_by_vm.pop(vm, None)
        for account in last.rate_by_account if last is not None else ():
            rate_by_vm = self._rate_by_vm_by_account[account]
            del rate_by_vm[vm]
            if not rate_by_vm:
                del self._rate_by_vm_by_account[account]
        if demand is not None:
            self._demand_by_vm[vm] = demand
            for account, rate in demand.rate_by_account.items():
                self._rate_by_vm_by_account.setdefault(account, {})[vm] = rate

    def _follow(self, elapsed_ms: int) -> None:
        """Move the measured rates towards what was offered since the last time."""
        kept = 0.5 ** (elapsed_ms / self.config.half_life_ms)
        rates = {}
        for account in self._rate_by_account.keys() | self._offered_by_account.keys():
            offered = self._offered_by_account.get(account, 0.0) * 1000 / elapsed_ms
            rate = kept * self._rate_by_account.get(account, 0.0)
            rate += (1 - kept) * offered
            if rate > 1e-3:
                rates[account] = rate
        self._rate_by_account = rates
        self._offered_by_account = {}
