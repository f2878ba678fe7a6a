"""Choice of the entry VM for a caller that requests an address."""

import hashlib
import math
import random
from dataclasses import dataclass

from heathershunt.clock import Millis
from heathershunt.membership.membership import Membership
from heathershunt.peers.record import VmRecord, VmState

HASH_RANGE = 2**48


@dataclass(frozen=True)
class AddressAnswer:
    """The entry VM that a caller should connect to.

    :param vm: the VM to use.
    :param address: the listener of ``vm`` for callers, as ``ip:port``.
    :param keep_ms: how long the caller may cache the answer.
    :param alternatives: addresses of VMs in other failure domains, best first.

    .. versionadded:: 0.1
    """

    vm: str
    address: str
    keep_ms: int
    alternatives: tuple[str, ...] = ()


@dataclass(frozen=True)
class AnswerLimits:
    """Lifetimes and weights of address answers.

    :param keep_ms: lifetime of an answer while the fleet is settled.
    :param unsettled_keep_ms: lifetime of an answer after a recent change.
    :param settled_ms: time without a membership change until the fleet is settled.
    :param near_weight: factor by which the caller's own failure domain is preferred.
        Other domains are still used, because all callers may run in the same domain.
    :param unseen_ms: neighbours unseen for longer are used last.
    :param alternatives: largest number of alternatives per answer.
    """

    keep_ms: int = 10_000
    unsettled_keep_ms: int = 3000
    settled_ms: int = 30_000
    near_weight: float = 4.0
    unseen_ms: int = 2500
    alternatives: int = 3


def _hash_fraction(salt: str, name: str) -> float:
    """Return a hash of both texts as a number between 0 and 1, excluding both."""
    digest = hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE


class AddressSelector:
    """Chooses entry VMs from the membership records.

    The failure domain is chosen first, then a VM in it: hashing every VM of the
    fleet for each answer costs ten times as much.

    :param rng: source of jitter, and of the choice if no caller is given.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        membership: Membership,
        rng: random.Random,
        limits: AnswerLimits | None = None,
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._limits = limits or AnswerLimits()
        self._version = -1
        self._changed_at = Millis(0)
        self._live_by_domain: dict[str, list[VmRecord]] = {}

    def address_answer(
        self, now: Millis, near_domain: str | None = None, caller: str | None = None
    ) -> AddressAnswer | None:
        """Return the VM to use, or ``None`` if no VM takes new work.

        :param near_domain: failure domain of the caller, if known.
        :param caller: IP address of the caller; the same caller gets the same VM as
            long as that VM is live. Without it the choice is random.
        """
        self._refresh(now)
        salt = caller if caller is not None else f"{self._rng.random()}"
        unseen = self._membership.unseen_for(self._limits.unseen_ms, now)
        ranked = sorted(
            self._live_by_domain,
            key=lambda domain: self._domain_sort_key(domain, salt, near_domain, unseen),
        )
        if not ranked:
            return None
        best = min(
            self._usable(ranked[0], unseen),
            key=lambda record: _hash_fraction(salt, record.vm),
        )
        others = []
        for domain in ranked[1 : 1 + self._limits.alternatives]:
            records = self._usable(domain, unseen)
            others.append(
                records[int(_hash_fraction(salt, domain) * len(records))].callers
            )
        return AddressAnswer(best.vm, best.callers, self._keep_ms(now), tuple(others))

    def _refresh(self, now: Millis) -> None:
        members = self._membership
        if self._version == members.version:
            return
        self._version = members.version
        self._changed_at = now
        self._live_by_domain = {}
        for record in members.records_by_vm.values():
            stale = members.superseded and record.vm == members.vm
            if record.state is VmState.LIVE and record.callers and not stale:
                self._live_by_domain.setdefault(record.domain, []).append(record)

    def _usable(self, domain: str, unseen: frozenset[str]) -> list[VmRecord]:
        """Return the VMs of a domain without unseen ones, or all if all are unseen."""
        records = self._live_by_domain[domain]
        if not unseen:
            return records
        return [record for record in records if record.vm not in unseen] or records

    def _domain_sort_key(
        self, domain: str, salt: str, near_domain: str | None, unseen: frozenset[str]
    ) -> tuple[bool, float]:
        """Return the sort key of weighted rendezvous hashing, lowest first."""
        records = self._usable(domain, unseen)
        near = self._limits.near_weight if domain == near_domain else 1.0
        order = -math.log(_hash_fraction(salt, domain)) / (near * len(records))
        return records[0].vm in unseen, order

    def _keep_ms(self, now: Millis) -> int:
        """Return a jittered lifetime, so that callers do not all ask again at once."""
        limits = self._limits
        settled = now - self._changed_at >= limits.settled_ms
        keep = limits.keep_ms if settled else limits.unsettled_keep_ms
        return self._rng.randint(keep * 4 // 5, keep * 6 // 5)
