"""Entries of targets that a restored store holds from before its restoration."""

from collections.abc import Mapping

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.target import Target

# Time for which a target that was removed is remembered, longer than any copy is old.
REMOVED_MS = 60_000
# Time after a restoration for which entries are compared with what was known. A target
# that lives has written its entry again by then, the entry of one that left is gone.
RESTORED_MS = 20_000


class OldCopies:
    """Tells entries from before a restoration from those written since.

    A target counts its heartbeats, and its entry holds the count at its last change. An
    entry that is no newer than what was known of the same process is a copy.

    .. versionadded:: 0.7
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._restored_at: Millis | None = None
        self._removed_by_id: dict[str, tuple[Target, Millis]] = {}
        self._ignored_by_id: dict[str, Target] = {}

    def start(self) -> None:
        """Compare the entries from now on, as the store was restored."""
        self._restored_at = self._clock.now()

    def on_removed(self, target: Target) -> None:
        """Remember a target that was removed."""
        self._removed_by_id[target.id] = (target, self._clock.now())

    def on_entry_removed(self, target_id: str) -> None:
        """Forget an entry that was ignored, as the store no longer holds it."""
        self._ignored_by_id.pop(target_id, None)

    def is_copy(self, target: Target, known_by_id: Mapping[str, Target]) -> bool:
        """Return whether an entry is from before a restoration, and is ignored.

        :param known_by_id: targets that are listed.
        """
        if self._is_comparing() and self._is_older(target, known_by_id):
            self._ignored_by_id[target.id] = target
            return True
        self._ignored_by_id.pop(target.id, None)
        self._removed_by_id.pop(target.id, None)
        return False

    def expire(self) -> list[Target]:
        """Return ignored entries that the store still holds after a time."""
        limit = self._clock.now() - REMOVED_MS
        self._removed_by_id = {
            target_id: item
            for target_id, item in self._removed_by_id.items()
            if item[1] > limit
        }
        if not self._ignored_by_id or self._is_comparing():
            return []
        ignored, self._ignored_by_id = self._ignored_by_id, {}
        return list(ignored.values())

    def _is_comparing(self) -> bool:
        if self._restored_at is None:
            return False
        return self._clock.now() - self._restored_at < RESTORED_MS

    def _is_older(self, target: Target, known_by_id: Mapping[str, Target]) -> bool:
        known = known_by_id.get(target.id)
        if known is not None:
            return _age_key(target) < _age_key(known)
        if target.id not in self._removed_by_id:
            return False
        removed, _ = self._removed_by_id[target.id]
        return _age_key(target) <= _age_key(removed)


def _age_key(target: Target) -> tuple[int, int]:
    """Return what grows from each entry of a target to the next one."""
    return target.incarnation, target.heartbeats
