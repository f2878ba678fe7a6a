"""Which VMs exist and which of them take new work; pure decisions."""

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

    :param suspect_ms: a neighbour unseen for this long is suspected.
    :param dead_ms: a suspected neighbour unseen for this long is dead.
    :param longest_patience_ms: upper bound of ``dead_ms`` for a VM that refutes
        suspicions again and again because only the path to it is broken.
    :param pause_ms: a longer time between two ticks means that this process did not
        run, so it says nothing about others.
    :param dead_kept_ms: how long the record of a dead VM is kept and its address
        tried; it has to outlast a partition between regions.
    :param tombstones: dead and removed VMs whose rank is remembered.
    :param list_lag_ms: an entry of the platform's list may be this old.
    :param restart_ms: within this time from the start, a higher incarnation of the
        own name is taken for an earlier process with a faster wall clock.
    """

    suspect_ms: int = 3000
    dead_ms: int = 6000
    longest_patience_ms: int = 60_000
    pause_ms: int = 2000
    dead_kept_ms: int = 7_200_000
    tombstones: int = 10_000
    list_lag_ms: int = 30_000
    restart_ms: int = 15_000


@dataclass
class _Watch:
    """What this VM has seen of a neighbour."""

    seen_at: Millis
    patience_ms: int
    suspected: tuple | None = None


class Membership:
    """Records ``by_vm``, merged from every source.

    ``version`` rises with every change; ``digest`` is equal on two VMs that hold
    the same records of VMs that are not dead.

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
        # The last change of each VM; the order of keys is the order of changes.
        self._version_by_vm: dict[str, int] = {}
        self._dead_since_by_vm: dict[str, Millis] = {}
        self._removed_by_vm: dict[str, VmRecord] = {}
        self._watch_by_vm: dict[str, _Watch] = {}
        self._listed_live: dict[str, int] = {}
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
        """Take records from a peer; return those that changed something here."""
        return [record for record in records if self._merge_one(record, now)]

    def _merge_one(self, record: VmRecord, now: Millis) -> bool:
        if record.vm == self.vm:
            return self._hear_of_self(record, now)
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

    def _hear_of_self(self, heard: VmRecord, now: Millis) -> bool:
        own = self.own
        if heard.rank <= own.rank:
            return False
        if heard.incarnation > own.incarnation:
            if now - self._started_at > self._limits.restart_ms:
                if not self.superseded:
                    log.error("another process runs as {}; leaving", self.vm)
                self.superseded = True
                return False
            own = replace(own, incarnation=heard.incarnation + 1)
            log.warning("incarnation raised to {}: clock set back?", own.incarnation)
        else:
            own = replace(own, phase=heard.phase).refuting(heard.seq)
            log.warning("told to be {}; now {}", heard.state.value, own.state.value)
        self._put(own, now)
        return True

    def _put(self, record: VmRecord, now: Millis) -> None:
        vm = record.vm
        held = self.records_by_vm.get(vm)
        if held is None or held.state is not record.state:
            log.info("{} is {}", vm, record.state.value)
        self.digest ^= _digest_of(held) ^ _digest_of(record)
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
            self._note_refutation(watch, record, now)

    def _note_refutation(self, watch: _Watch, record: VmRecord, now: Millis) -> None:
        # Others may mark a VM as leaving; only the VM itself raises ``seq`` and
        # stays alive, so only that proves that it runs.
        if watch.suspected is None:
            return
        incarnation, _, seq, _ = watch.suspected
        if (record.incarnation, record.seq) > (incarnation, seq):
            longest = self._limits.longest_patience_ms
            watch.patience_ms = min(2 * watch.patience_ms, longest)
            watch.seen_at = now
            watch.suspected = None

    def set_neighbours(self, vms: Collection[str], now: Millis) -> None:
        """Set the VMs that this VM keeps links to and watches."""
        for vm in list(self._watch_by_vm):
            if vm not in vms:
                del self._watch_by_vm[vm]
        for vm in vms:
            if vm not in self._watch_by_vm:
                self._watch_by_vm[vm] = _Watch(now, self._limits.dead_ms)

    def has_refuted(self, vm: str) -> bool:
        """Return whether a neighbour refuted a suspicion and was not seen since."""
        watch = self._watch_by_vm.get(vm)
        return watch is not None and watch.patience_ms > self._limits.dead_ms

    def saw(self, vm: str, incarnation: int, now: Millis) -> VmRecord | None:
        """Take note of a message from ``vm`` on a link to it.

        Returns the record to send to ``vm`` if it has to refute it or to learn that
        another process has taken its name.
        """
        held = self.records_by_vm.get(vm) or self._removed_by_vm.get(vm)
        if held is not None and held.incarnation > incarnation:
            return held
        watch = self._watch_by_vm.get(vm)
        if watch is not None:
            watch.seen_at = now
            watch.patience_ms = self._limits.dead_ms
            watch.suspected = None
        return held if held is not None and held.dead else None

    def unseen_longer(self, milliseconds: int, now: Millis) -> frozenset[str]:
        """Return the neighbours that were not seen for longer than that."""
        return frozenset(
            vm
            for vm, watch in self._watch_by_vm.items()
            if now - watch.seen_at > milliseconds
        )

    def hear_suspicion(
        self, suspicion: Suspicion, now: Millis
    ) -> VmRecord | Suspicion | None:
        """Return what to answer: the record that refutes it, or the suspicion itself
        if it has to be passed on.
        """
        held = self.records_by_vm.get(suspicion.vm)
        if held is None:
            return None
        if suspicion.vm == self.vm and held.rank == suspicion.rank:
            self._put(held.refuting(suspicion.seq), now)
            return self.own
        return held if held.rank > suspicion.rank else suspicion

    def tick(self, now: Millis) -> list[Suspicion]:
        """Declare neighbours dead, forget the long dead; return new suspicions."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._limits.pause_ms:
            for watch in self._watch_by_vm.values():
                watch.seen_at = Millis(watch.seen_at + gap)
        self._forget(now)
        suspicions = []
        for vm, watch in list(self._watch_by_vm.items()):
            record = self.records_by_vm.get(vm)
            if record is not None and not record.dead:
                suspicion = self._check(record, watch, now)
                if suspicion is not None:
                    suspicions.append(suspicion)
        return suspicions

    def _check(self, record: VmRecord, watch: _Watch, now: Millis) -> Suspicion | None:
        unseen = now - watch.seen_at
        if unseen >= watch.patience_ms and watch.suspected == record.rank:
            self._put(record.declared_dead(), now)
        elif unseen >= watch.patience_ms - self._limits.suspect_ms:
            if watch.suspected != record.rank:
                watch.suspected = record.rank
                # The VM has the rest of the time to refute, even if the suspicion
                # itself is late.
                latest = now - (watch.patience_ms - self._limits.suspect_ms)
                watch.seen_at = Millis(max(watch.seen_at, latest))
                return Suspicion(
                    record.vm, record.incarnation, record.phase, record.seq
                )
        return None

    def _forget(self, now: Millis) -> None:
        for vm, since in list(self._dead_since_by_vm.items()):
            if now - since < self._limits.dead_kept_ms:
                continue
            del self._dead_since_by_vm[vm]
            del self._version_by_vm[vm]
            self._removed_by_vm[vm] = self.records_by_vm.pop(vm)
        while len(self._removed_by_vm) > self._limits.tombstones:
            self._removed_by_vm.pop(next(iter(self._removed_by_vm)))

    def leave(self, now: Millis, vm: str | None = None) -> bool:
        """Mark a VM, by default this one, as leaving; return whether it is known."""
        record = self.records_by_vm.get(vm or self.vm)
        if record is None:
            return False
        if record.leaving() is not record:
            self._put(record.leaving(), now)
        return True

    def admit(self, now: Millis, vm: str | None = None) -> bool:
        """Take a leaving VM back on an operator's order; return whether it is known."""
        record = self.records_by_vm.get(vm or self.vm)
        if record is None or record.dead:
            return False
        if record.admitted() is not record:
            self._put(record.admitted(), now)
            self._listed_live.pop(record.vm, None)
        return True

    def depart(self, now: Millis) -> None:
        """Mark this VM as dead, just before its process ends."""
        self._put(self.own.leaving().declared_dead(), now)

    def apply_vm_list(
        self, state_by_vm: Mapping[str, str], now: Millis, wall: Millis
    ) -> None:
        """Take the platform's lagging list: VM -> ``live`` or ``leaving``.

        An entry says nothing about incarnations. It counts if this VM saw the entry
        of the same incarnation change from live to leaving, or if the incarnation
        is older than the lag of the list and no operator has admitted it since.
        """
        for vm, state in state_by_vm.items():
            record = self.records_by_vm.get(vm)
            if record is None or record.dead:
                continue
            if state != VmState.LEAVING.value:
                self._listed_live[vm] = record.incarnation
                continue
            changed = self._listed_live.pop(vm, None) == record.incarnation
            old = wall - record.incarnation >= self._limits.list_lag_ms
            if changed or (old and record.phase == 0):
                self.leave(now, vm)
        for vm in self._listed_live.keys() - state_by_vm.keys():
            del self._listed_live[vm]


def _digest_of(record: VmRecord | None) -> int:
    if record is None or record.dead:
        return 0
    text = f"{record.vm}\0{record.incarnation}\0{record.phase}\0{record.seq}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1
