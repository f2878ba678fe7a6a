"""Grants of the coordinator of a group, which keep to the group's pool."""

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from heathershunt.clock import Clock, Millis
from heathershunt.retrybudget.config import WindowBudgetConfig
from heathershunt.retrybudget.grants import GRANT_TTL_MS, GrantId

# Fraction of the slack that is granted on demand, for all groups together.
POOL_FRACTION = 0.35
# Fraction of a pool for requests of which nothing was delivered; the rest is kept for
# streams that have begun.
UNSTARTED_POOL_FRACTION = 0.7
MAX_RETRIES_PER_GRANT = 8
# Age of the view of the store up to which a coordinator grants. The lease of a VM that
# cannot be reached ends later, so that no other coordinator grants meanwhile.
MAX_VIEW_AGE_MS = 2000
# Windows over which a new coordinator earns the pool, as the one before may have
# granted all of it. With one window, twice the pool could be used in one.
EARNING_WINDOWS = 2
# Part of a window after the start of its process in which a coordinator earns nothing:
# all VMs may have restarted, and do so again.
NEW_PROCESS_WINDOWS = 0.5
# Services for which grants are kept, as names come from other VMs.
MAX_SERVICES = 256
TERM_BITS = 64


class GrantReason(Enum):
    """Why retries were granted, or why not.

    .. versionadded:: 0.10
    """

    GRANTED = "granted"
    EMPTY = "empty"
    STARTING = "starting"
    NOT_FIRST = "not_first"
    OLD_VIEW = "old_view"
    SMALL_FLEET = "small_fleet"


@dataclass(frozen=True, slots=True)
class Standing:
    """What a VM knows of its place in the fleet.

    :param is_first: whether it is the first VM of its group.
    :param group: VMs of the group.
    :param vms: VMs of the fleet.
    :param view_age_ms: age of its view of the store; ``None`` without one.

    .. versionadded:: 0.10
    """

    is_first: bool
    group: int
    vms: int
    view_age_ms: int | None


@dataclass(frozen=True, slots=True)
class Decision:
    """Answer of a coordinator.

    :param id: id of the grant; ``None`` if nothing was granted.
    :param left: retries that are left in the pool for requests of the same kind.

    .. versionadded:: 0.10
    """

    retries: int
    id: GrantId | None
    left: int
    reason: GrantReason


@dataclass(slots=True)
class _Granted:
    number: int
    vm: str
    retries: int
    at: Millis


@dataclass(slots=True)
class _Term:
    """Time without interruption as the coordinator.

    :param earns_from: time from which the pool is earned.
    """

    id: str
    earns_from: Millis
    numbers: int = 0
    granted_by_service: dict[str, deque[_Granted]] = field(default_factory=dict)


class GrantLedger:
    """Grants retries from the pool while this VM is the coordinator of its group.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock, config: WindowBudgetConfig) -> None:
        self._clock = clock
        self._config = config
        self._started_at = clock.now()
        self._standing = Standing(False, 1, 1, None)
        self._standing_at = clock.now()
        self._term: _Term | None = None

    def update(self, standing: Standing) -> None:
        """Take over the place of this VM; called at short intervals."""
        now = self._clock.now()
        was_held_up = now - self._standing_at > MAX_VIEW_AGE_MS
        self._standing, self._standing_at = standing, now
        if was_held_up or self._obstacle() is not None:
            self._term = None
        if self._term is not None:
            for service in list(self._term.granted_by_service):
                self._granted(self._term, service)
        elif self._obstacle() is None:
            first_at = self._started_at + NEW_PROCESS_WINDOWS * self._config.window_ms
            earns_from = Millis(int(max(now, first_at)))
            self._term = _Term(f"{random.getrandbits(TERM_BITS):x}", earns_from)

    def grant(self, vm: str, service: str, retries: int, has_begun: bool) -> Decision:
        """Grant up to ``retries`` retries to a VM.

        :param has_begun: whether they are for streams that have begun.
        """
        obstacle = self._obstacle()
        term = self._term
        if obstacle is not None or term is None:
            return Decision(0, None, 0, obstacle or GrantReason.NOT_FIRST)
        now = self._clock.now()
        left = self.left(service, has_begun) or 0
        count = max(0, min(retries, left, MAX_RETRIES_PER_GRANT))
        if not count:
            is_starting = now < term.earns_from + self._config.window_ms
            reason = GrantReason.STARTING if is_starting else GrantReason.EMPTY
            return Decision(0, None, left, reason)
        term.numbers += 1
        granted = term.granted_by_service.setdefault(service, deque())
        granted.append(_Granted(term.numbers, vm, count, now))
        grant_id = GrantId(term.id, term.numbers)
        return Decision(count, grant_id, left - count, GrantReason.GRANTED)

    def give_back(self, vm: str, service: str, unused: Mapping[GrantId, int]) -> None:
        """Take retries back that a VM did not use."""
        term = self._term
        if term is None:
            return
        for item in term.granted_by_service.get(service, ()):
            retries = unused.get(GrantId(term.id, item.number), 0)
            if item.vm == vm:
                item.retries = max(0, item.retries - retries)

    def left(self, service: str, has_begun: bool) -> int | None:
        """Return the retries left in the pool; ``None`` if this VM has no pool."""
        term = self._term
        if term is None or self._obstacle() is not None:
            return None
        fraction = 1.0 if has_begun else UNSTARTED_POOL_FRACTION
        granted = self._granted(term, service)
        is_known = service in term.granted_by_service
        if not is_known and len(term.granted_by_service) >= MAX_SERVICES:
            return 0
        return max(0, int(self._earned(term) * fraction - granted))

    def _earned(self, term: _Term) -> float:
        """Return the retries of the pool that may be granted in one window."""
        standing, config = self._standing, self._config
        pool = POOL_FRACTION * config.slack * standing.group / max(1, standing.vms)
        earned_ms = max(0, self._clock.now() - term.earns_from)
        return pool * min(1.0, earned_ms / (EARNING_WINDOWS * config.window_ms))

    def _granted(self, term: _Term, service: str) -> int:
        """Return the retries granted in the window and so late that they count."""
        granted = term.granted_by_service.get(service)
        if granted is None:
            return 0
        since = self._clock.now() - self._config.window_ms - GRANT_TTL_MS
        while granted and granted[0].at <= since:
            granted.popleft()
        if not granted:
            del term.granted_by_service[service]
        return sum(item.retries for item in granted)

    def _obstacle(self) -> GrantReason | None:
        """Return why this VM may not grant at all."""
        standing = self._standing
        if standing.vms <= self._config.max_flat_vms:
            return GrantReason.SMALL_FLEET
        if not standing.is_first:
            return GrantReason.NOT_FIRST
        held_up_ms = self._clock.now() - self._standing_at
        if (
            standing.view_age_ms is None
            or standing.view_age_ms + held_up_ms >= MAX_VIEW_AGE_MS
        ):
            return GrantReason.OLD_VIEW
        return None
