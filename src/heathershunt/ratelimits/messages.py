"""Limits and demands as VMs tell each other."""

import math

import msgspec

from heathershunt.clock import Millis
from heathershunt.ratelimits.demand import DemandTable, KnownDemand
from heathershunt.ratelimits.table import KnownLimit, LimitTable
from heathershunt.schema.fields import Age, Amount, Text, Whole

# Bounds the size of a message: a row is some 40 bytes long.
MAX_LIMITS = 512
MAX_DEMANDS = 128


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a target's limit, with an age as clocks differ.

    .. versionadded:: 0.7
    """

    target: Text
    incarnation: Whole
    per_s: Amount | None
    age_ms: Age

    @property
    def is_valid(self) -> bool:
        """Return whether the limit is one that a target can name."""
        return self.per_s is None or (math.isfinite(self.per_s) and self.per_s >= 0)

    def says_same(self, known: KnownLimit | None) -> bool:
        """Return whether the receiver knows the same limit already."""
        if known is None:
            return False
        return (known.per_s, known.incarnation) == (self.per_s, self.incarnation)

    def limit(self, now: Millis) -> KnownLimit:
        """Return the limit on the clock of the receiver."""
        known_at = Millis(now - max(0, self.age_ms))
        return KnownLimit(self.incarnation, self.per_s, known_at)


class DemandRow(msgspec.Struct, array_like=True, frozen=True):
    """Requests a second that a VM receives, and the age of its report.

    .. versionadded:: 0.7
    """

    vm: Text
    per_s: Amount
    age_ms: Age


class LimitDigest(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows of limits; empty while no target names one.

    .. versionadded:: 0.7
    """

    limits: list[LimitRow] = []
    demands: list[DemandRow] = []

    @classmethod
    def from_tables(
        cls, limits: LimitTable, demands: DemandTable, now: Millis
    ) -> "LimitDigest":
        """Return what a VM tells the others."""
        known = limits.latest(MAX_LIMITS)
        if not known:
            return cls()
        rows = [
            LimitRow(target_id, item.incarnation, item.per_s, now - item.known_at)
            for target_id, item in known.items()
        ]
        reported = [
            DemandRow(vm, demand.per_s, now - demand.reported_at)
            for vm, demand in demands.known(now).items()
        ]
        return cls(rows, reported[-MAX_DEMANDS:])

    def apply_demands(self, demands: DemandTable, now: Millis) -> None:
        """Add the demands of other VMs."""
        for row in self.demands[:MAX_DEMANDS]:
            reported_at = Millis(now - max(0, row.age_ms))
            if math.isfinite(row.per_s):
                demands.put(row.vm, KnownDemand(max(0.0, row.per_s), reported_at))
