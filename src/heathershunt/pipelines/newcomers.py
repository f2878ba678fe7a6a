"""Runners that were listed, restarted or given other layers a short time ago."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target

# Time over which the share of choices that consider a new runner grows to all of them.
GROWTH_MS = 1000
# Time after the start for which no runner counts as new: this VM sees all of them for
# the first time.
START_MS = 1500
# The runners are compared with those seen before this often, and when their number has
# changed. There may be thousands of them.
CHECK_PERIOD_MS = 100


@dataclass(slots=True)
class _Listing:
    """Runners of one service as of the last check.

    :param checked_at: time of the check.
    :param runners: the runners by id.
    :param new_since: when each new runner was seen first, by id.
    """

    checked_at: Millis
    runners: dict[str, Target] = field(default_factory=dict)
    new_since: dict[str, Millis] = field(default_factory=dict)

    def is_due(self, listed: Collection[Target], now: Millis) -> bool:
        """Return whether the runners are to be compared."""
        is_old = now - self.checked_at >= CHECK_PERIOD_MS
        return is_old or len(listed) != len(self.runners)

    def update(self, listed: Collection[Target], now: Millis, has_new: bool) -> None:
        """Replace the runners with those that are listed now."""
        self.checked_at = now
        known = self.runners
        self.runners = {runner.id: runner for runner in listed}
        if has_new:
            for runner_id, runner in self.runners.items():
                if _is_new(runner, known.get(runner_id)):
                    self.new_since[runner_id] = now
        limit = now - GROWTH_MS
        for runner_id, since in list(self.new_since.items()):
            if since <= limit:
                del self.new_since[runner_id]


class Newcomers:
    """Leaves new runners out of a part of the choices.

    All VMs learn of a new runner within a moment and see it without load, so all of
    them would choose it until the next exchange of loads.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._listing_by_service: dict[str, _Listing] = {}

    def thinned(
        self,
        service: str,
        listed: Collection[Target],
        usable: list[Target],
        needed: Collection[str],
    ) -> list[Target]:
        """Return the usable runners without a random part of the new ones.

        :param listed: runners of the service that may be sent something new.
        :param usable: those of them that one request may use.
        :param needed: ids of runners that are kept.
        """
        now = self._clock.now()
        listing = self._listing_by_service.get(service)
        if listing is None:
            listing = self._listing_by_service[service] = _Listing(now)
            listing.update(listed, now, has_new=False)
        elif listing.is_due(listed, now):
            has_new = now - self._started_at >= START_MS
            listing.update(listed, now, has_new)
        new_since = listing.new_since
        if not new_since:
            return usable
        return [
            runner
            for runner in usable
            if runner.id in needed or _is_drawn(new_since.get(runner.id), now)
        ]


def _is_new(runner: Target, known: Target | None) -> bool:
    """Return whether a runner was not listed, or by another process or range."""
    if runner is known:
        return False
    if known is None or runner.incarnation != known.incarnation:
        return True
    return runner.held != known.held


def _is_drawn(since: Millis | None, now: Millis) -> bool:
    return since is None or random.random() * GROWTH_MS < now - since
