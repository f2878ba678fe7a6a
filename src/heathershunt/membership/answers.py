"""The answer to a caller that asks which entry VM to use."""

import hashlib
import math
import random
from dataclasses import dataclass

from heathershunt.clock import Millis
from heathershunt.membership.membership import Membership
from heathershunt.peers.record import VmRecord, VmState

HASH_RANGE = 2**64


@dataclass(frozen=True)
class AddressAnswer:
    """Where a caller connects.

    :param vm: the VM to use.
    :param address: its listener for callers, as ``ip:port``.
    :param keep_ms: how long the caller may keep the answer.
    :param alternatives: addresses in other failure domains, best first.

    .. versionadded:: 0.1
    """

    vm: str
    address: str
    keep_ms: int
    alternatives: tuple[str, ...] = ()


@dataclass(frozen=True)
class AnswerLimits:
    """How answers are made.

    :param keep_ms: usual lifetime of an answer.
    :param unsettled_keep_ms: lifetime while the fleet changes.
    :param settled_ms: time without a change after which the fleet is settled.
    :param near_weight: preference for the caller's own failure domain. It is a
        preference only, because all callers may stand in the same domain.
    :param unseen_ms: neighbours unseen for this long are used last.
    :param alternatives: alternatives per answer.
    """

    keep_ms: int = 10_000
    unsettled_keep_ms: int = 3000
    settled_ms: int = 30_000
    near_weight: float = 4.0
    unseen_ms: int = 2500
    alternatives: int = 3


class AddressBook:
    """Makes address answers from the records.

    :param rng: source of the choice for callers without an IP address.

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
        self._live: list[VmRecord] = []

    def address_answer(
        self, now: Millis, near_domain: str | None = None, caller: str | None = None
    ) -> AddressAnswer | None:
        """Return the VM to use, or ``None`` if no VM takes new work.

        :param near_domain: failure domain of the caller, if known.
        :param caller: IP address of the caller; the same caller is sent to the same
            VM while that VM lives. Without it the choice is random.
        """
        self._refresh(now)
        salt = caller if caller is not None else f"{self._rng.random()}"
        ranked = sorted(
            self._live, key=lambda record: self._order(record, salt, near_domain, now)
        )
        if not ranked:
            return None
        best = ranked[0]
        alternatives: dict[str, str] = {}
        for record in ranked[1:]:
            if record.domain != best.domain:
                alternatives.setdefault(record.domain, record.callers)
        others = tuple(alternatives.values())[: self._limits.alternatives]
        return AddressAnswer(best.vm, best.callers, self._keep_ms(now), others)

    def _refresh(self, now: Millis) -> None:
        members = self._membership
        if self._version == members.version:
            return
        self._version = members.version
        self._changed_at = now
        self._live = [
            record
            for record in members.records_by_vm.values()
            if record.state is VmState.LIVE
            and record.callers
            and not (members.superseded and record.vm == members.vm)
        ]

    def _order(
        self, record: VmRecord, salt: str, near_domain: str | None, now: Millis
    ) -> tuple[bool, float]:
        """Return the sort key of weighted rendezvous hashing, lowest first."""
        digest = hashlib.blake2b(f"{salt}\0{record.vm}".encode(), digest_size=8)
        share = (int.from_bytes(digest.digest(), "big") + 1) / (HASH_RANGE + 1)
        near = near_domain is not None and record.domain == near_domain
        weight = self._limits.near_weight if near else 1.0
        unseen = self._membership.unseen_ms(record.vm, now) > self._limits.unseen_ms
        return unseen, -math.log(share) / weight

    def _keep_ms(self, now: Millis) -> int:
        """Return a jittered lifetime, so that callers do not come back together."""
        limits = self._limits
        settled = now - self._changed_at >= limits.settled_ms
        keep = limits.keep_ms if settled else limits.unsettled_keep_ms
        return self._rng.randint(keep * 4 // 5, keep * 6 // 5)
