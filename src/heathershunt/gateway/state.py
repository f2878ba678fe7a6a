"""State of the site as a gateway decodes it from the entries of the store."""

from collections.abc import Callable

import logbook
import msgspec

from heathershunt.catalog import Catalog, Engine
from heathershunt.clock import Clock
from heathershunt.coordination import Changes, Entry, Snapshot
from heathershunt.crashes import CRASHES_PREFIX, PartGuard
from heathershunt.discovery import Member, MemberList, Target, TargetRegistry
from heathershunt.gateway.configurations import KEPT_KEY, KnownVersions
from heathershunt.gateway.ports import Decoder
from heathershunt.http import Address
from heathershunt.logs import EventLog, RepeatLimiter
from heathershunt.logs.events import (
    ConfigurationInForce,
    MemberChanged,
    StoreRecovered,
    StoreRestored,
    TargetListed,
    TargetRemoved,
)
from heathershunt.ratelimits import LimitGuard
from heathershunt.relay import SuspectList
from heathershunt.retrybudget import (
    FLEET_KEY,
    NO_RECORD,
    FleetRecord,
    decode_fleet,
)
from heathershunt.schema.decoding import MalformedError, brief, decode_untrusted
from heathershunt.schema.fields import Name, Text

MEMBER_PREFIX = "vm/"
LEADER_KEY = "leader/placement"

log = logbook.Logger("heathershunt.gateway")


class SiteState:
    """Configuration, targets, VMs and leader, updated from the view of the store.

    :param suspects: suspected targets; removed targets are removed from it.
    :param guard: receives the evidence on crashes that the store keeps.
    :param limits: limits of targets; told when targets change.
    :param on_catalog: called with each configuration that comes into force.
    :param on_member_removal: called with the name of each VM whose entry is removed.
    :ivar catalog: configuration in force; ``None`` before the first.
    :ivar raw_configuration: the configuration in force as it was written.
    :ivar fleet: size and restarts of a large fleet as the store has them.
    :ivar leader: value and revision of the leader's key; ``None`` if it is free.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        decoder: Decoder,
        clock: Clock,
        suspects: SuspectList,
        guard: PartGuard,
        limits: LimitGuard,
        events: EventLog,
        on_catalog: Callable[[Catalog], None],
        on_member_removal: Callable[[str], None],
    ) -> None:
        self._decoder = decoder
        self._lines = RepeatLimiter(clock)
        self._suspects = suspects
        self._guard = guard
        self._limits = limits
        self._events = events
        self._on_catalog = on_catalog
        self._on_member_removal = on_member_removal
        self.catalog: Catalog | None = None
        self.raw_configuration = b""
        self._operator_version = 0
        self._kept_version = 0
        self.fleet: FleetRecord = NO_RECORD
        self.leader: tuple[bytes, int] | None = None
        self.registry = TargetRegistry(clock, self._on_target)
        self.members = MemberList(clock)

    def expire(self) -> None:
        """Drop targets and VMs whose entries are still missing after an outage."""
        self.registry.expire()
        self.members.expire()

    def engines(self) -> dict[str, Engine]:
        """Return the model engines by the name of their service."""
        if self.catalog is None:
            return {}
        return {
            name: service.engine
            for name, service in self.catalog.services_by_name.items()
            if service.engine is not None
        }

    def placement_candidates(self, service: str) -> list[Target]:
        """Return the runners of a service that are neither draining nor missing."""
        runners = self.registry.of_service(service)
        return [r for r in runners if not self.registry.is_missing(r.id)]

    def on_store_recovery(self, silent_ms: int) -> None:
        """Handle the first answer of the store after ``silent_ms`` without one."""
        self.registry.start_grace_period()
        self._events.emit(StoreRecovered(silent_ms))

    def on_store_restored(self, era: int) -> None:
        """Handle a restoration of the store, before its first snapshot."""
        self.registry.on_store_restored()
        self._events.emit(StoreRestored(era))

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a complete list of the entries."""
        self._events.revision = snapshot.revision
        targets, members = [], []
        self.leader = None
        self._operator_version = self._kept_version = 0
        self.fleet = NO_RECORD
        for entry in snapshot.entries:
            if entry.key.startswith(self._decoder.target_prefix):
                target = self._decode_target(entry)
                if target is not None:
                    targets.append(target)
            elif entry.key.startswith(MEMBER_PREFIX):
                member = self._decode_member(entry)
                if member is not None:
                    members.append(member)
            else:
                self._on_entry(entry.key, entry)
        self.registry.replace_all(targets)
        self.members.replace_all(members)

    def on_changes(self, changes: Changes) -> None:
        """Apply changes in order."""
        self._events.revision = changes.revision
        for key, entry in changes.entries:
            self._on_entry(key, entry)

    def _on_entry(self, key: str, entry: Entry | None) -> None:
        decoder = self._decoder
        if key.startswith(decoder.target_prefix):
            self._on_target_entry(key.removeprefix(decoder.target_prefix), entry)
        elif key.startswith(MEMBER_PREFIX):
            self._on_member_entry(key.removeprefix(MEMBER_PREFIX), entry)
        elif key == decoder.configuration_key:
            self._operator_version = self._on_configuration(entry)
        elif key == KEPT_KEY:
            self._kept_version = self._on_configuration(entry)
        elif key.startswith(CRASHES_PREFIX):
            self._on_crashes(entry)
        elif key == FLEET_KEY:
            self._on_fleet(entry)
        elif key == LEADER_KEY:
            self.leader = None if entry is None else (entry.value, entry.revision)

    def _on_target_entry(self, target_id: str, entry: Entry | None) -> None:
        if entry is None:
            self.registry.remove(target_id)
            return
        target = self._decode_target(entry)
        if target is None:
            # The next snapshot would remove it, as its entry names no target.
            self.registry.remove(target_id)
        else:
            self.registry.put(target)

    def _decode_target(self, entry: Entry) -> Target | None:
        decoder = self._decoder
        try:
            target_id = entry.key.removeprefix(decoder.target_prefix)
            return decoder.target(target_id, entry.value)
        except ValueError as error:
            self._log_malformed(entry.key, error)
            return None

    def _decode_member(self, entry: Entry) -> Member | None:
        try:
            return _decode_member(entry)
        except ValueError as error:
            self._log_malformed(entry.key, error)
            return None

    def _log_malformed(self, key: str, error: ValueError) -> None:
        """Log an entry that is skipped, unless it was logged a short time ago."""
        if self._lines.take(key):
            log.warning("skipped the malformed entry {!r}: {}", brief(key), error)

    def _on_member_entry(self, vm: str, entry: Entry | None) -> None:
        member = None if entry is None else self._decode_member(entry)
        if member is not None:
            self.members.put(member)
        else:
            self.members.remove(vm)
            self._on_member_removal(vm)
        self._events.emit(MemberChanged(vm, member is not None))

    def _on_crashes(self, entry: Entry | None) -> None:
        if entry is None:
            return
        try:
            self._guard.on_entry(entry.value)
        except ValueError as error:
            self._log_malformed(entry.key, error)

    def _on_fleet(self, entry: Entry | None) -> None:
        try:
            self.fleet = NO_RECORD if entry is None else decode_fleet(entry.value)
        except ValueError as error:
            self._log_malformed(FLEET_KEY, error)

    def versions(self) -> KnownVersions:
        """Return the versions of the configuration that this VM sees."""
        in_force = self.catalog.version if self.catalog else 0
        return KnownVersions(in_force, self._operator_version, self._kept_version)

    def offer_configuration(self, raw: bytes) -> None:
        """Put a configuration of another VM in force if it is newer."""
        self._put_in_force(raw, self._events.revision or 0, "configuration of a VM")

    def _on_configuration(self, entry: Entry | None) -> int:
        """Apply an entry with a configuration; return its version, 0 without one."""
        if entry is None:
            return 0
        return self._put_in_force(entry.value, entry.revision, entry.key)

    def _put_in_force(self, raw: bytes, revision: int, source: str) -> int:
        try:
            catalog = decode_untrusted(self._decoder.configuration, raw)
        except MalformedError as error:
            self._log_malformed(source, error)
            return 0
        if self.catalog is None or catalog.version > self.catalog.version:
            self.catalog = catalog
            self.raw_configuration = raw
            self._on_catalog(catalog)
            self._events.emit(ConfigurationInForce(catalog.version, revision))
        return catalog.version

    def _on_target(self, target_id: str) -> None:
        target = self.registry.get(target_id)
        self._limits.on_target(target_id)
        if target is None:
            self._suspects.discard(target_id)
            self._events.emit(TargetRemoved(target_id))
            return
        layers = None if target.held is None else str(target.held)
        self._events.emit(
            TargetListed(target_id, target.service, layers, target.is_draining)
        )


class _MemberValue(msgspec.Struct):
    callers: Text
    domain: Text = ""
    peers: Text | None = None


_member_decoder = msgspec.json.Decoder(_MemberValue)


def encode_member(callers: Address, domain: str, peers: Address) -> bytes:
    """Encode the entry of a VM that accepts callers."""
    return msgspec.json.encode(_MemberValue(str(callers), domain, str(peers)))


def _decode_member(entry: Entry) -> Member:
    """Return the VM of an entry; raise ``ValueError`` if the entry is malformed."""
    vm = msgspec.convert(entry.key.removeprefix(MEMBER_PREFIX), Name)
    value = decode_untrusted(_member_decoder.decode, entry.value)
    addresses = [Address.from_text(value.callers)]
    if value.peers is not None:
        addresses.append(Address.from_text(value.peers))
    if not all(address.port for address in addresses):
        raise MalformedError("a port is 0")
    peers = addresses[1] if value.peers is not None else None
    return Member(vm, value.callers, value.domain, peers)
