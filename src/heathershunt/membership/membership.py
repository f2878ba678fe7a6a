"""Which VMs exist and which of them take new work, decided without I/O."""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

import logbook

from heathershunt.clock import Millis
from heathershunt.peers.record import Suspicion, VmRecord, VmState, merge_records

log = logbook.Logger("heathershunt.membership")


@dataclass(frozen=True)
class MembershipLimits:
    """Times and bounds of failure detection.

    :param suspect_ms: a neighbour is suspected this long before it would be declared
        dead; within this time it can refute the suspicion.
    :param dead_ms: a suspected neighbour unseen for this long is declared dead.
    :param max_dead_ms: ``dead_ms`` doubles, up to this bound, each time a VM refutes
        a suspicion without being seen, because only the path to it is broken.
    :param pause_ms: a longer time between two ticks means that this process did not
        run, so the time does not count as unseen.
    :param dead_kept_ms: how long the record of a dead VM is kept and its address
        dialled; it has to outlast a partition between regions.
    :param max_tombstones: removed VMs whose last record is kept, so that an older
        record does not add them again.
    :param list_lag_ms: an entry of the platform's list may be this old.
    :param restart_ms: within this time from the start, a higher incarnation of this
        VM's name is attributed to an earlier process with a faster wall clock; later,
        to another process that runs under the same name.
    """

    suspect_ms: int = 3000
    dead_ms: int = 6000
    max_dead_ms: int = 60_000
    pause_ms: int = 2000
    dead_kept_ms: int = 7_200_000
    max_tombstones: int = 10_000
    list_lag_ms: int = 30_000
    restart_ms: int = 15_000


@dataclass
class _Watch:
    """Failure detection of one neighbour.

    :param seen_at: time of its last heartbeat or refutation, or when first watched.
    :param timeout_ms: declared dead if suspected and unseen for this long.
    :param suspected: rank of the record that was suspected, if any.
    """

    seen_at: Millis
    timeout_ms: int
    suspected: tuple | None = None


class Membership:
    """Records of all VMs, merged from peers, operators and the platform's list.

    ``version`` increases with every change. ``digest`` is equal on two VMs that hold
    the same records of VMs that are not dead. ``superseded`` is set once another
    process runs under the name of this VM.

    :param own: record of this VM.
    :param now: monotonic time.

    .. versionadded:: 0.1
    """

    def __init__(
        self, own: VmRecord, now: Millis, limits: MembershipLimits | None = None
    ) -> None:
        self.vm = own.vm
        self.version = 0
        self.digest = 0
        self.superseded = False
        self.records_by_vm: dict[str, VmRecord] = {}
        self._limits = limits or MembershipLimits()
        self._started_at = now
        self._ticked_at = now
        # The version at the last change of each VM; keys are in the order of changes.
        self._version_by_vm: dict[str, int] = {}
        self._dead_since_by_vm: dict[str, Millis] = {}
        self._removed_by_vm: dict[str, VmRecord] = {}
        self._watch_by_vm: dict[str, _Watch] = {}
        # The incarnation of each VM when the platform's list last showed it as live.
        self._listed_live_by_vm: dict[str, int] = {}
        self._put(own, now)

    @property
    def own(self) -> VmRecord:
        """Return the record of this VM."""
        return self.records_by_vm[self.vm]

    @property
    def is_leaving(self) -> bool:
        """Return whether this VM must not take new work."""
        return self.superseded or self.own.state is not VmState.LIVE

    def present(self) -> dict[str, VmRecord]:
        """Return the records of VMs that are not dead."""
        return {vm: r for vm, r in self.records_by_vm.items() if not r.dead}

    def changes_since(self, version: int) -> list[VmRecord]:
        """Return the records that changed after ``version``."""
        changed = []
        for vm in reversed(self._version_by_vm):
            if self._version_by_vm[vm] <= version:
                break
            changed.append(self.records_by_vm[vm])
        return changed

    def merge(self, records: Iterable[VmRecord], now: Millis) -> list[VmRecord]:
        """Merge records from a peer; return those that changed a record here."""
        return [record for record in records if self._merge_one(record, now)]

    def _merge_one(self, record: VmRecord, now: Millis) -> bool:
        if record.vm == self.vm:
            return self._merge_own(record, now)
        held = self.records_by_vm.get(record.vm)
        if held is None:
            removed = self._removed_by_vm.get(record.vm)
            if removed is not None and record.rank <= removed.rank:
                return False
            if record.dead and removed is not None:
                return False
        elif merge_records(held, record) == held:
            return False
        self._put(record, now)
        return True

    def _merge_own(self, received: VmRecord, now: Millis) -> bool:
        own = self.own
        if received.rank <= own.rank:
            return False
        if received.incarnation > own.incarnation:
            if now - self._started_at > self._limits.restart_ms:
                if not self.superseded:
                    log.error(
                        "another process runs as VM {}; this one is leaving", self.vm
                    )
                self.superseded = True
                return False
            own = replace(own, incarnation=received.incarnation + 1)
            log.warning("incarnation raised to {}, clock set back?", own.incarnation)
        else:
            own = replace(own, phase=received.phase).refuting(received.seq)
            log.warning(
                "received record of own VM: {}; now {}",
                received.state.value,
                own.state.value,
            )
        self._put(own, now)
        return True

    def _put(self, record: VmRecord, now: Millis) -> None:
        vm = record.vm
        held = self.records_by_vm.get(vm)
        if held is None or held.state is not record.state:
            log.info("VM {} is {}", vm, record.state.value)
        self.digest ^= _record_digest(held) ^ _record_digest(record)
        self.records_by_vm[vm] = record
        self.version += 1
        self._version_by_vm.pop(vm, None)
        self._version_by_vm[vm] = self.version
        if not record.dead:
            self._dead_since_by_vm.pop(vm, None)
            self._removed_by_vm.pop(vm, None)
        elif held is None or not held.dead:
            self._dead_since_by_vm[vm] = now
        watch = self._watch_by_vm.get(vm)
        if watch is not None and not record.dead:
            self._apply_refutation(watch, record, now)

    def _apply_refutation(self, watch: _Watch, record: VmRecord, now: Millis) -> None:
        # Other VMs may mark a VM as leaving. Only the VM itself issues a record with a
        # higher ``seq`` that is not dead, so only such a record proves that it runs.
        if watch.suspected is None:
            return
        incarnation, _, seq, _ = watch.suspected
        if (record.incarnation, record.seq) > (incarnation, seq):
            longest = self._limits.max_dead_ms
            watch.timeout_ms = min(2 * watch.timeout_ms, longest)
            watch.seen_at = now
            watch.suspected = None

    def set_neighbours(self, vms: Collection[str], now: Millis) -> None:
        """Set the VMs that this VM watches for failures."""
        for vm in list(self._watch_by_vm):
            if vm not in vms:
                del self._watch_by_vm[vm]
        for vm in vms:
            if vm not in self._watch_by_vm:
                self._watch_by_vm[vm] = _Watch(now, self._limits.dead_ms)

    def has_refuted(self, vm: str) -> bool:
        """Return whether ``vm`` refuted a suspicion and was not seen since."""
        watch = self._watch_by_vm.get(vm)
        return watch is not None and watch.timeout_ms > self._limits.dead_ms

    def mark_seen(self, vm: str, incarnation: int, now: Millis) -> VmRecord | None:
        """Record a heartbeat that ``vm`` sent on a link.

        Returns a record to send to ``vm``, or ``None``: a dead record, which ``vm``
        has to refute, or one with a higher incarnation, which shows ``vm`` that
        another process runs under its name.
        """
        held = self.records_by_vm.get(vm) or self._removed_by_vm.get(vm)
        if held is not None and held.incarnation > incarnation:
            return held
        watch = self._watch_by_vm.get(vm)
        if watch is not None:
            watch.seen_at = now
            watch.timeout_ms = self._limits.dead_ms
            watch.suspected = None
        return held if held is not None and held.dead else None

    def unseen_for(self, milliseconds: int, now: Millis) -> frozenset[str]:
        """Return the neighbours without a heartbeat for more than ``milliseconds``."""
        return frozenset(
            vm
            for vm, watch in self._watch_by_vm.items()
            if now - watch.seen_at > milliseconds
        )

    def handle_suspicion(
        self, suspicion: Suspicion, now: Millis
    ) -> VmRecord | Suspicion | None:
        """Return the record that refutes the suspicion, to answer with, or the
        suspicion itself if it has to be relayed; ``None`` if the VM is unknown.
        """
        held = self.records_by_vm.get(suspicion.vm)
        if held is None:
            return None
        if suspicion.vm == self.vm and held.rank == suspicion.rank:
            self._put(held.refuting(suspicion.seq), now)
            return self.own
        return held if held.rank > suspicion.rank else suspicion

    def tick(self, now: Millis) -> list[Suspicion]:
        """Declare neighbours dead, remove expired records; return new suspicions."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._limits.pause_ms:
            for watch in self._watch_by_vm.values():
                watch.seen_at = Millis(watch.seen_at + gap)
        self._remove_expired(now)
        suspicions = []
        for vm, watch in list(self._watch_by_vm.items()):
            record = self.records_by_vm.get(vm)
            if record is not None and not record.dead:
                suspicion = self._check_neighbour(record, watch, now)
                if suspicion is not None:
                    suspicions.append(suspicion)
        return suspicions

    def _check_neighbour(
        self, record: VmRecord, watch: _Watch, now: Millis
    ) -> Suspicion | None:
        unseen = now - watch.seen_at
        if unseen >= watch.timeout_ms and watch.suspected == record.rank:
            self._put(record.declared_dead(), now)
        elif unseen >= watch.timeout_ms - self._limits.suspect_ms:
            if watch.suspected != record.rank:
                watch.suspected = record.rank
                # The VM always has ``suspect_ms`` to refute, even if the suspicion
                # is raised late.
                latest = now - (watch.timeout_ms - self._limits.suspect_ms)
                watch.seen_at = Millis(max(watch.seen_at, latest))
                return Suspicion(
                    record.vm, record.incarnation, record.phase, record.seq
                )
        return None

    def _remove_expired(self, now: Millis) -> None:
        for vm, since in list(self._dead_since_by_vm.items()):
            if now - since < self._limits.dead_kept_ms:
                continue
            del self._dead_since_by_vm[vm]
            del self._version_by_vm[vm]
            self._removed_by_vm[vm] = self.records_by_vm.pop(vm)
        while len(self._removed_by_vm) > self._limits.max_tombstones:
            self._removed_by_vm.pop(next(iter(self._removed_by_vm)))

    def mark_leaving(self, now: Millis, vm: str | None = None) -> bool:
        """Mark ``vm``, by default this VM, as leaving; return whether it is known."""
        record = self.records_by_vm.get(vm or self.vm)
        if record is None:
            return False
        if record.leaving() is not record:
            self._put(record.leaving(), now)
        return True

    def admit(self, now: Millis, vm: str | None = None) -> bool:
        """Make a leaving VM, by default this one, live again at an operator's request.

        Returns ``False`` if the VM is unknown or dead.
        """
        record = self.records_by_vm.get(vm or self.vm)
        if record is None or record.dead:
            return False
        if record.admitted() is not record:
            self._put(record.admitted(), now)
            self._listed_live_by_vm.pop(record.vm, None)
        return True

    def mark_self_dead(self, now: Millis) -> None:
        """Mark this VM as dead; call it just before the process exits."""
        self._put(self.own.leaving().declared_dead(), now)

    def apply_vm_list(
        self, state_by_vm: Mapping[str, str], now: Millis, wall: Millis
    ) -> None:
        """Apply the platform's list, which lags by up to ``list_lag_ms``.

        An entry does not name an incarnation. A ``leaving`` entry counts if the entry
        changed from ``live`` while the VM had the same incarnation, or if the
        incarnation is older than the lag of the list and its phase is 0, so that no
        operator has admitted it since.

        :param state_by_vm: ``live`` or ``leaving`` for each listed VM.
        :param wall: wall-clock time.
        """
        for vm, state in state_by_vm.items():
            record = self.records_by_vm.get(vm)
            if record is None or record.dead:
                continue
            if state != VmState.LEAVING.value:
                self._listed_live_by_vm[vm] = record.incarnation
                continue
            changed = self._listed_live_by_vm.pop(vm, None) == record.incarnation
            old = wall - record.incarnation >= self._limits.list_lag_ms
            if changed or (old and record.phase == 0):
                self.mark_leaving(now, vm)
        for vm in self._listed_live_by_vm.keys() - state_by_vm.keys():
            del self._listed_live_by_vm[vm]


def _record_digest(record: VmRecord | None) -> int:
    if record is None or record.dead:
        return 0
    text = f"{record.vm}\0{record.incarnation}\0{record.phase}\0{record.seq}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1
