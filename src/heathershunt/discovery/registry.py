"""Targets by id, with the removals that an outage of the store explains."""

from collections.abc import Callable, Iterable

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.outage import REAPPEAR_MS
from heathershunt.discovery.target import Target


class TargetRegistry:
    """Targets as the store lists them.

    A target whose entry is removed is gone at once, unless the store has just come
    back from an outage: its lease may have run out meanwhile, and the target then gets
    :data:`REAPPEAR_MS` to write its entry again.

    :param on_change: called with the id of each target that changed.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, on_change: Callable[[str], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._by_id: dict[str, Target] = {}
        self._missing_since: dict[str, Millis] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._back_at: Millis | None = None

    def get(self, target_id: str) -> Target | None:
        """Return a target by its id."""
        return self._by_id.get(target_id)

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new requests."""
        ids = self._ids_by_service.get(service, ())
        targets = (self._by_id[target_id] for target_id in ids)
        return [target for target in targets if not target.is_draining]

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, target: Target) -> None:
        """Take a target's newest entry."""
        self._missing_since.pop(target.id, None)
        before = self._by_id.get(target.id)
        if before == target:
            return
        if before is not None:
            self._ids_by_service[before.service].discard(target.id)
        self._by_id[target.id] = target
        self._ids_by_service.setdefault(target.service, set()).add(target.id)
        self._on_change(target.id)

    def remove(self, target_id: str) -> None:
        """Take the removal of an entry."""
        if target_id not in self._by_id:
            return
        if self._is_recovering():
            self._missing_since.setdefault(target_id, self._clock.now())
        else:
            self._drop(target_id)

    def replace_all(self, targets: Iterable[Target]) -> None:
        """Take a complete list; what it lacks may have lapsed with the store."""
        listed = {target.id: target for target in targets}
        for target_id in self._by_id.keys() - listed.keys():
            self.remove(target_id)
        for target in listed.values():
            self.put(target)

    def store_returned(self) -> None:
        """Note that the store answers again after an outage."""
        self._back_at = self._clock.now()

    def is_missing(self, target_id: str) -> bool:
        """Return whether a kept target has no entry at present."""
        return target_id in self._missing_since

    def expire(self) -> None:
        """Drop the targets whose entries did not come back in time."""
        limit = self._clock.now() - REAPPEAR_MS
        overdue = [key for key, since in self._missing_since.items() if since <= limit]
        for target_id in overdue:
            self._drop(target_id)

    def _is_recovering(self) -> bool:
        if self._back_at is None:
            return False
        return self._clock.now() - self._back_at < REAPPEAR_MS

    def _drop(self, target_id: str) -> None:
        self._missing_since.pop(target_id, None)
        target = self._by_id.pop(target_id, None)
        if target is not None:
            self._ids_by_service[target.service].discard(target_id)
            self._on_change(target_id)
