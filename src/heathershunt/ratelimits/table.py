"""The limits that targets have named, as far as this VM knows."""

from dataclasses import dataclass

from heathershunt.clock import Millis

# Targets of which limits are kept; the ones named last stay.
MAX_TARGETS = 4096
# Time for which a withdrawn limit is remembered: other VMs may still report it.
WITHDRAWN_MS = 30_000


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """The last that is known of the limit of a target.

    :param incarnation: wall time in milliseconds when the process of the target
        started; nothing that an earlier process said holds.
    :param per_s: requests a second from all VMs; ``None`` if it was withdrawn.
    :param known_at: time when an answer that named the limit arrived, or when a request
        was sent that was answered without one.
    """

    incarnation: int
    per_s: float | None
    known_at: Millis


class LimitTable:
    """Keeps what is known last of each target that has named a limit.

    A limit holds until a later request is answered with another limit or with none, or
    the process of the target ends. It does not expire, as a target in need may be one
    that gets no requests at the time.

    .. versionadded:: 0.7
    """

    def __init__(self) -> None:
        self._limit_by_target: dict[str, KnownLimit] = {}

    def __bool__(self) -> bool:
        """Return whether anything is known."""
        return bool(self._limit_by_target)

    def get(self, target_id: str) -> KnownLimit | None:
        """Return what is known of a target; ``None`` if it has named no limit."""
        return self._limit_by_target.get(target_id)

    def put(self, target_id: str, limit: KnownLimit) -> bool:
        """Apply what is known of a target; return whether its limit changed by it."""
        before = self._limit_by_target.get(target_id)
        if before is not None and before.incarnation != limit.incarnation:
            before = None
        if before is None and limit.per_s is None:
            return self._limit_by_target.pop(target_id, None) is not None
        if before is not None and limit.known_at < before.known_at:
            return False
        is_new = target_id not in self._limit_by_target
        self._limit_by_target[target_id] = limit
        if is_new and len(self._limit_by_target) > MAX_TARGETS:
            del self._limit_by_target[next(iter(self._limit_by_target))]
        return before is None or limit.per_s != before.per_s

    def latest(self, count: int) -> dict[str, KnownLimit]:
        """Return what is known of at most ``count`` targets, the new ones first."""
        known = self._limit_by_target
        if len(known) <= count:
            return known
        return dict(list(known.items())[-count:])

    def limited(self) -> dict[str, float]:
        """Return the limits that hold, by target."""
        return {
            target_id: limit.per_s
            for target_id, limit in self._limit_by_target.items()
            if limit.per_s is not None
        }

    def discard(self, target_id: str) -> None:
        """Forget a target."""
        self._limit_by_target.pop(target_id, None)

    def expire(self, now: Millis) -> None:
        """Forget limits that were withdrawn long ago."""
        limit = now - WITHDRAWN_MS
        for target_id, known in list(self._limit_by_target.items()):
            if known.per_s is None and known.known_at < limit:
                del self._limit_by_target[target_id]
