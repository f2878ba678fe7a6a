"""One VM's share of a limit that holds over all VMs.

The VMs send each other the demand of each account, and every VM derives the same split
from the same messages, so no request needs coordination between VMs. An equal part
stays reserved for a VM whose messages no longer arrive, because it may still be using
that part.
"""

from dataclasses import dataclass

from heathershunt.clock import Millis


@dataclass(frozen=True)
class Demand:
    """Demand of the accounts at one VM.

    :param vm: VM that received the requests.
    :param at: when the demand was measured, on the receiver's monotonic clock.
    :param rate_by_account: offered requests per second, refused ones included.

    .. versionadded:: 0.1
    """

    vm: str
    at: Millis
    rate_by_account: dict[str, float]


@dataclass(frozen=True)
class ShareConfig:
    """Constants of the split.

    :param reserve: fraction of the limit that is split equally, whatever the demand.
    :param fresh_ms: age up to which a demand message has full weight.
    :param expired_ms: age from which a demand message has no weight.
    :param half_life_ms: half-life of the moving average of the measured demand.
    :param max_accounts: most accounts in one message; those with the largest demand
        are sent.

    .. versionadded:: 0.1
    """

    reserve: float = 0.1
    fresh_ms: int = 3_000
    expired_ms: int = 9_000
    half_life_ms: int = 2_000
    max_accounts: int = 64


@dataclass(frozen=True, slots=True)
class _Split:
    """How one limit is split.

    :param equal: equal part of one VM.
    :param reserve: fraction of ``equal`` that a VM with a recent message gets whatever
        its demand.
    :param per_demand: part of the limit per unit of demand.
    """

    equal: float
    reserve: float
    per_demand: float
    demand_by_vm: dict[str, float]

    def share(self, vm: str, weight: float) -> float:
        """Return the part of a VM whose last message has this ``weight``, 0 to 1."""
        by_demand = self.per_demand * self.demand_by_vm.get(vm, 0.0)
        return self.equal * (1 - weight * (1 - self.reserve)) + by_demand


class ShareSplitter:
    """Splits limits between VMs by the demand that they send each other.

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
        self._message_count = 0
        self._total_weight = 1.0
        self._cached_weights: tuple[int, dict[str, float]] = (1, {})
        self._cache_key: tuple[Millis | None, int, frozenset[str]] = (
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
        """Return this VM's demand, to be sent to all peers; call once a second.

        The share of this VM is computed from this message too, never from a newer
        value, so that all VMs use the same numbers.
        """
        previous, self._measured_at = self._measured_at, now
        if previous is not None and now > previous:
            self._update_rates(now - previous)
        largest = sorted(
            self._rate_by_account.items(), key=lambda item: item[1], reverse=True
        )
        rates = dict(largest[: self.config.max_accounts])
        demand = Demand(self.vm, now, rates)
        self._replace(self.vm, demand)
        return demand

    def observe(self, demand: Demand) -> bool:
        """Store the demand message of a VM, received from it or relayed by a peer.

        Returns whether the message was newer than the last of that VM. Only newer
        messages need to be relayed, so no message circulates in a mesh of peers.
        """
        last = self._demand_by_vm.get(demand.vm)
        if demand.vm == self.vm or (last is not None and demand.at <= last.at):
            return False
        self._replace(demand.vm, demand)
        return True

    def remove(self, vm: str) -> None:
        """Drop the demand message of a VM that has left the membership."""
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

    def integer_share(
        self, account: str, limit: int, now: Millis, known_vms: frozenset[str]
    ) -> int:
        """Return this VM's part of an integer limit, as an integer.

        All VMs round the shares in the same order, so the shares add up to the limit
        while all VMs have the same demand messages; otherwise they may exceed it by
        less than one for each VM. If there are more VMs than the limit, some get none.
        """
        split = self._split(account, limit, now, known_vms)
        _, weight_by_vm = self._weights(now, known_vms)
        before = 0.0
        for vm in sorted({*known_vms, self.vm}):
            # The small term corrects sums that rounding left just below an integer.
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
        # Only the equal parts of VMs with a recent message are redistributed by demand.
        pool = equal * self._total_weight * (1 - reserve)
        per_demand = pool / total if total else 0.0
        return _Split(equal, reserve, per_demand, demand_by_vm)

    def _weights(
        self, now: Millis, known_vms: frozenset[str]
    ) -> tuple[int, dict[str, float]]:
        """Return the number of VMs and the weights above 0, by VM.

        The result is cached for the next account, since all limits are split at once.
        """
        at, messages, cached_vms = self._cache_key
        if (at, messages) != (now, self._message_count) or cached_vms is not known_vms:
            vms = {*known_vms, self.vm}
            weights = {
                vm: self._weight(vm, now) for vm in vms & self._demand_by_vm.keys()
            }
            weights[self.vm] = 1.0
            recent = {vm: weights[vm] for vm in sorted(weights) if weights[vm]}
            self._cached_weights = (len(vms), recent)
            self._total_weight = sum(recent.values())
            self._cache_key = (now, self._message_count, known_vms)
        return self._cached_weights

    def _weight(self, vm: str, now: Millis) -> float:
        """Return the weight of the last message of a VM, from 1 (fresh) to 0."""
        demand = self._demand_by_vm.get(vm)
        if demand is None:
            return 0.0
        config = self.config
        left = config.expired_ms - (now - demand.at)
        return min(1.0, max(0.0, left / (config.expired_ms - config.fresh_ms)))

    def _replace(self, vm: str, demand: Demand | None) -> None:
        """Replace a VM's last message in the index; ``None`` only removes it."""
        self._message_count += 1
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

    def _update_rates(self, elapsed_ms: int) -> None:
        """Update the moving averages with the requests offered since the last call."""
        decay = 0.5 ** (elapsed_ms / self.config.half_life_ms)
        rates = {}
        for account in self._rate_by_account.keys() | self._offered_by_account.keys():
            offered = self._offered_by_account.get(account, 0.0) * 1000 / elapsed_ms
            rate = decay * self._rate_by_account.get(account, 0.0)
            rate += (1 - decay) * offered
            if rate > 1e-3:
                rates[account] = rate
        self._rate_by_account = rates
        self._offered_by_account = {}
