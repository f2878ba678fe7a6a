"""Ends of targets' processes that this VM has seen itself."""

from collections import OrderedDict

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.target import Target

# A cut link may refuse connections as an ended process does, so a refusal is forgotten
# if the target stays listed.
REFUSAL_MEMORY_MS = 10_000
# Processes of which an end is kept, in each of the two tables.
MAX_ENDS = 1024

_Process = tuple[str, int]


class KnownEnds:
    """Remembers which processes refused connections, and which were replaced.

    Processes whose start is not known are not recorded: nothing tells them from a later
    one at the same address.

    .. versionadded:: 0.9
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refused_at: OrderedDict[_Process, Millis] = OrderedDict()
        self._replaced_at: OrderedDict[_Process, Millis] = OrderedDict()

    def record_refusal(self, target: Target) -> None:
        """Record that the address of a target refused a connection."""
        self._record(self._refused_at, target)

    def forget_refusals(self, since: Millis) -> None:
        """Forget the refusals at or after a time."""
        kept = ((key, at) for key, at in self._refused_at.items() if at < since)
        self._refused_at = OrderedDict(kept)

    def record_replacement(self, target: Target) -> None:
        """Record that a later process answers in place of a target."""
        self._record(self._replaced_at, target)

    def _record(self, table: OrderedDict[_Process, Millis], target: Target) -> None:
        if not target.incarnation:
            return
        table[target.id, target.incarnation] = self._clock.now()
        table.move_to_end((target.id, target.incarnation))
        while len(table) > MAX_ENDS:
            table.popitem(last=False)

    def has_refused(self, target: Target) -> bool:
        """Return whether a target's address refused a connection a short time ago."""
        at = self._refused_at.get((target.id, target.incarnation))
        return at is not None and self._clock.now() - at < REFUSAL_MEMORY_MS

    def is_replaced(self, target: Target) -> bool:
        """Return whether a later process was seen in place of a target."""
        return (target.id, target.incarnation) in self._replaced_at
