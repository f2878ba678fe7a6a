"""Registry of the targets, which tolerates leases that expire in an outage."""

from collections.abc import Callable, Iterable

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.copies import OldCopies
from heathershunt.discovery.ends import KnownEnds
from heathershunt.discovery.facts import Fact
from heathershunt.discovery.outage import OUTAGE_GRACE_MS
from heathershunt.discovery.target import Target
from heathershunt.http import Address


class TargetRegistry:
    """Targets by id and by service, as listed in the store.

    A target whose entry is removed is dropped at once, unless an outage of the store
    has just ended: the target's lease may have expired in the outage, and the target
    then has :data:`OUTAGE_GRACE_MS` to write its entry again.

    :param on_change: called with the id of each target that was added, changed or
        dropped.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, on_change: Callable[[str], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._by_id: dict[str, Target] = {}
        self._missing_since: dict[str, Millis] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._ids_by_address: dict[Address, str] = {}
        self._ends = KnownEnds(clock)
        self._recovered_at: Millis | None = None
        self._copies = OldCopies(clock)

    def get(self, target_id: str) -> Target | None:
        """Return a target by its id; ``None`` if it is not registered."""
        return self._by_id.get(target_id)

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new requests."""
        return [item for item in self.listed(service) if not item.is_draining]

    def listed(self, service: str) -> list[Target]:
        """Return all targets of a service, also those that are about to leave.

        .. versionadded:: 0.10
        """
        ids = self._ids_by_service.get(service, ())
        return [self._by_id[target_id] for target_id in ids]

    def __len__(self) -> int:
        return len(self._by_id)

    def ids(self) -> list[str]:
        """Return the ids of all targets, also of those that drain."""
        return list(self._by_id)

    def id_at(self, address: Address) -> str | None:
        """Return the id of the target at an address; ``None`` if there is none."""
        return self._ids_by_address.get(address)

    def put(self, target: Target) -> None:
        """Add or update a target, unless a restored store holds an old copy of it."""
        if self._copies.is_copy(target, self._by_id):
            return
        self._put(target)

    def _put(self, target: Target) -> None:
        self._missing_since.pop(target.id, None)
        previous = self._by_id.get(target.id)
        if previous == target:
            if previous.heartbeats != target.heartbeats:
                self._by_id[target.id] = target
            return
        if previous is not None:
            self._ids_by_service[previous.service].discard(target.id)
            self._forget_address(previous)
        self._by_id[target.id] = target
        self._ids_by_address[target.address] = target.id
        self._ids_by_service.setdefault(target.service, set()).add(target.id)
        self._on_change(target.id)

    def remove(self, target_id: str) -> None:
        """Drop a target, or mark it as missing right after an outage of the store."""
        self._copies.on_entry_removed(target_id)
        if target_id not in self._by_id:
            return
        if self._is_recovering():
            self._missing_since.setdefault(target_id, self._clock.now())
        else:
            self._drop(target_id)

    def replace_all(self, targets: Iterable[Target]) -> None:
        """Apply a complete list; targets that it lacks are treated as removed."""
        listed = {target.id: target for target in targets}
        for target_id in self._by_id.keys() - listed.keys():
            self.remove(target_id)
        for target in listed.values():
            self.put(target)

    def start_grace_period(self) -> None:
        """Start the grace period after an outage of the store."""
        self._recovered_at = self._clock.now()

    def on_store_restored(self) -> None:
        """Start the grace period, and ignore entries from before the restoration."""
        self.start_grace_period()
        self._copies.start()

    def is_missing(self, target_id: str) -> bool:
        """Return whether a target is kept although its entry is missing."""
        return target_id in self._missing_since

    def expire(self) -> None:
        """Drop the targets whose entries are missing for :data:`OUTAGE_GRACE_MS`."""
        limit = self._clock.now() - OUTAGE_GRACE_MS
        expired = [key for key, since in self._missing_since.items() if since <= limit]
        for target_id in expired:
            self._drop(target_id)
        for target in self._copies.expire():
            self._put(target)

    def record_refusal(self, target: Target) -> None:
        """Record that the address of a target refused a connection.

        Its entry stays in the store until it expires or the target starts again.
        """
        self._ends.record_refusal(target)

    def forget_refusals(self, since: Millis) -> None:
        """Forget refused connections since a time, as this VM was cut off."""
        self._ends.forget_refusals(since)

    def record_replacement(self, target: Target) -> None:
        """Record that a later process answers in place of a target."""
        self._ends.record_replacement(target)

    def has_refused(self, target: Target) -> bool:
        """Return whether a target's address refused a connection a short time ago."""
        return self._ends.has_refused(target)

    def facts(self, target: Target) -> set[Fact]:
        """Return what the list and this VM's connections say of a target's process.

        :param target: target as it was listed when a request was sent to it.
        """
        facts = set()
        known = self._by_id.get(target.id)
        if known is None or self.is_missing(target.id):
            facts.add(Fact.UNLISTED)
        elif known.incarnation != target.incarnation:
            facts.add(Fact.REPLACED)
        if known is not None and known.is_draining:
            facts.add(Fact.LEAVING)
        if self._ends.is_replaced(target):
            facts.add(Fact.REPLACED)
        if self._ends.has_refused(target):
            facts.add(Fact.REFUSES)
        return facts

    def _is_recovering(self) -> bool:
        if self._recovered_at is None:
            return False
        return self._clock.now() - self._recovered_at < OUTAGE_GRACE_MS

    def _drop(self, target_id: str) -> None:
        self._missing_since.pop(target_id, None)
        target = self._by_id.pop(target_id, None)
        if target is not None:
            self._copies.on_removed(target)
            self._ids_by_service[target.service].discard(target_id)
            self._forget_address(target)
            self._on_change(target_id)

    def _forget_address(self, target: Target) -> None:
        """Forget where a target was, unless a later one has its address."""
        if self._ids_by_address.get(target.address) == target.id:
            del self._ids_by_address[target.address]
