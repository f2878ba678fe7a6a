"""Decision whether this VM is cut off from all targets, from its own connections."""

from collections.abc import Callable

from heathershunt.clock import Clock, Millis

# Different targets to which connections must fail. Single targets fail on their own;
# a VM whose links are sound reaches one of three almost always.
MIN_FAILED_TARGETS = 3
# Time within which these connections fail.
EVIDENCE_MS = 1000
# Time for which failures at a target count as its own, after another one was reached.
# Without it, each VM would check its links again and again while single targets are
# down.
OWN_FAULT_MS = 3000


class Reachability:
    """Counts targets to which new connections failed since the last one succeeded.

    Connections that are open do not count: they may stay open while new ones are
    refused.

    :param listed: returns the number of listed targets.
    :ivar cut_since: time of the first failed connection of the cut; ``None`` unless the
        VM is cut off.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock, listed: Callable[[], int]) -> None:
        self._clock = clock
        self._listed = listed
        self._failed_at_by_id: dict[str, Millis] = {}
        self._own_fault_until_by_id: dict[str, Millis] = {}
        self._reached_at: Millis | None = None
        self.cut_since: Millis | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether new connections reach no target."""
        return self.cut_since is not None

    @property
    def is_in_doubt(self) -> bool:
        """Return whether connections failed, and neither outcome is certain yet."""
        return not self.is_cut_off and bool(self._recent())

    @property
    def is_sound(self) -> bool:
        """Return whether no connection failed since the last one succeeded."""
        return not self.is_cut_off and not self._recent()

    @property
    def needed(self) -> int:
        """Return how many targets must fail for the VM to be cut off."""
        return min(MIN_FAILED_TARGETS, self._listed())

    def failed_ids(self) -> set[str]:
        """Return the targets to which connections failed a short time ago."""
        return set(self._recent())

    def has_reached_since(self, at: Millis) -> bool:
        """Return whether a connection to a target was established after a time."""
        return self._reached_at is not None and self._reached_at > at

    def record_failure(self, target_id: str) -> bool:
        """Record a failed connection; return whether the VM is cut off from now on."""
        if not self.is_cut_off and self._is_own_fault(target_id):
            return False
        self._failed_at_by_id[target_id] = self._clock.now()
        if self.is_cut_off:
            return False
        failed = self._recent()
        if not failed or len(failed) < self.needed:
            return False
        self.cut_since = min(failed.values())
        return True

    def record_success(self) -> int | None:
        """Record an established connection.

        :return: time in milliseconds for which the VM was cut off; ``None`` if it was
            not.
        """
        now = self._clock.now()
        cut_since, self.cut_since = self.cut_since, None
        if cut_since is None:
            until = Millis(now + OWN_FAULT_MS)
            self._own_fault_until_by_id.update(dict.fromkeys(self._recent(), until))
        self._failed_at_by_id.clear()
        self._reached_at = now
        return None if cut_since is None else now - cut_since

    def _is_own_fault(self, target_id: str) -> bool:
        """Return whether other targets were reached while this one was not."""
        until = self._own_fault_until_by_id.get(target_id)
        if until is None:
            return False
        if self._clock.now() < until:
            return True
        del self._own_fault_until_by_id[target_id]
        return False

    def _recent(self) -> dict[str, Millis]:
        """Return the failures that count, after dropping those that are too old."""
        if self._failed_at_by_id:
            limit = self._clock.now() - EVIDENCE_MS
            self._failed_at_by_id = {
                target_id: at
                for target_id, at in self._failed_at_by_id.items()
                if at >= limit
            }
        return self._failed_at_by_id
