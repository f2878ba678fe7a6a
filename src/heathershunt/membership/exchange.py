"""Replication of the membership records over the peer links."""

import asyncio
import random
from collections import OrderedDict
from dataclasses import dataclass

import logbook

from heathershunt.clock import Clock
from heathershunt.membership.membership import Membership
from heathershunt.peers import (
    Heartbeat,
    Hello,
    PeerLink,
    PeerMesh,
    Records,
    Suspicion,
    VmRecord,
    choose_neighbours,
)
from heathershunt.peers.messages import (
    MAX_RECORDS_PER_MESSAGE,
    MAX_SUSPICIONS_PER_MESSAGE,
)
from heathershunt.peers.topology import LINKS_CHOSEN

log = logbook.Logger("heathershunt.membership")

TICK_MS = 500
# Changes within this delay are sent in one message. Each hop adds the delay once.
FLUSH_DELAY_MS = 50
PROBE_INTERVAL_MS = 5000
MAX_RELAYED_SUSPICIONS = 1024


@dataclass
class _LinkState:
    """What was sent on a link.

    :param sent_version: version of the membership up to which changes were sent.
    :param mismatch: own digest and the peer's digest at the last heartbeat, if they
        differed.
    """

    sent_version: int
    mismatch: tuple[int, int] | None = None


class RecordExchange:
    """Replicates the membership to linked VMs and sets which links the mesh keeps.

    Every change is sent once on every link except the one that it came from. All
    records are sent only to a VM that has none, and after two heartbeats in a row
    with the same two different digests.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        membership: Membership,
        mesh: PeerMesh,
        clock: Clock,
        rng: random.Random,
        links_chosen: int = LINKS_CHOSEN,
    ) -> None:
        self._membership = membership
        self._mesh = mesh
        self._clock = clock
        self._rng = rng
        self._links_chosen = links_chosen
        self._state_by_link: dict[PeerLink, _LinkState] = {}
        # The last record received of each VM, and the link that it came from, to which
        # it is not sent back.
        self._source_by_vm: dict[str, tuple[PeerLink, VmRecord]] = {}
        # VMs that needed the link to this VM when it broke: they are watched until
        # they are linked again, refute a suspicion or are dead.
        self._lost_neighbours: set[str] = set()
        self._relayed_suspicions: OrderedDict[tuple, None] = OrderedDict()
        self._flush_pending = False
        self._topology_version = -1
        self._chosen: frozenset[str] = frozenset()
        self._probe_at = clock.now()
        self._ticker: asyncio.Task | None = None
        mesh.on(Heartbeat, self._on_heartbeat)
        mesh.on(Records, self._on_records)
        mesh.on_up(self._on_up)
        mesh.on_down(self._on_down)

    def hello(self) -> Hello:
        """Return the hello of this VM."""
        own = self._membership.own
        fresh = not self._mesh.links_by_vm
        return Hello(own.vm, own.incarnation, own.peers, own.domain, fresh)

    def start(self) -> None:
        """Start to watch neighbours and to send changes, every ``TICK_MS``."""
        self._ticker = asyncio.create_task(self._tick_forever())

    def close(self) -> None:
        """Queue the changes that were not sent yet on the links, then stop."""
        self._flush()
        if self._ticker:
            self._ticker.cancel()

    def peer_address(self, vm: str) -> str | None:
        """Return the peer listener of ``vm``; ``None`` if unknown or dead."""
        record = self._membership.records_by_vm.get(vm)
        return record.peers if record is not None and not record.dead else None

    def schedule_flush(self) -> None:
        """Send the changes of the membership after ``FLUSH_DELAY_MS``.

        Without a call they are sent at the next tick, after up to ``TICK_MS``.
        """
        if not self._flush_pending:
            self._flush_pending = True
            asyncio.get_running_loop().call_later(FLUSH_DELAY_MS / 1000, self._flush)

    async def _tick_forever(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("periodic check of the membership failed")
            await asyncio.sleep(TICK_MS / 1000)

    def tick(self) -> None:
        """Check neighbours, send suspicions and changes, choose links."""
        now = self._clock.now()
        self._choose_links()
        self._watch_neighbours()
        suspicions = self._membership.tick(now)
        for start in range(0, len(suspicions), MAX_SUSPICIONS_PER_MESSAGE):
            batch = suspicions[start : start + MAX_SUSPICIONS_PER_MESSAGE]
            self._mesh.broadcast(Records((), tuple(batch)))
        self._flush()
        if now >= self._probe_at:
            delay = self._rng.randint(PROBE_INTERVAL_MS // 2, PROBE_INTERVAL_MS)
            self._probe_at = now + delay
            self._probe()

    def _choose_links(self) -> None:
        members = self._membership
        if self._topology_version == members.version:
            return
        self._topology_version = members.version
        present = members.present()
        domain_by_vm = {vm: record.domain for vm, record in present.items()}
        chosen = choose_neighbours(members.vm, domain_by_vm, self._links_chosen)
        self._chosen = chosen
        self._mesh.set_persistent_peers({vm: present[vm].peers for vm in chosen})

    def _watch_neighbours(self) -> None:
        """Watch the VMs that this VM chose and those that need a link to it."""
        members = self._membership
        records = members.records_by_vm
        linked = self._mesh.links_by_vm
        for vm in list(self._lost_neighbours):
            is_dead = vm not in records or records[vm].dead
            if is_dead or vm in linked or members.has_refuted(vm):
                self._lost_neighbours.discard(vm)
        needed = {vm for vm, link in linked.items() if link.needed_by_peer}
        members.set_neighbours(
            self._chosen | needed | self._lost_neighbours, self._clock.now()
        )

    def _probe(self) -> None:
        """Dial one VM that is recorded as dead, or one seed that no known VM uses.

        This reconnects the sides of a partition after it has healed. If the
        partition lasted longer than the records of the other side are kept, the
        seeds are the only addresses left to dial.
        """
        records = self._membership.records_by_vm.values()
        dead = [r.peers for r in records if r.dead and r.phase % 2 == 0 and r.peers]
        present = self._membership.present()
        known = {record.peers for record in present.values()}
        seeds = [
            address
            for address in self._mesh.seeds
            if address not in known and self._mesh.vm_at(address) not in present
        ]
        if addresses := dead + seeds:
            self._mesh.probe(self._rng.choice(addresses))

    def _on_up(self, link: PeerLink) -> None:
        members = self._membership
        state = _LinkState(members.version)
        self._state_by_link[link] = state
        if link.hello.fresh:
            self._send_all(link, state)
        else:
            link.offer(Records((members.own,)))

    def _on_down(self, link: PeerLink) -> None:
        self._state_by_link.pop(link, None)
        for vm, (source, _) in list(self._source_by_vm.items()):
            if source is link:
                del self._source_by_vm[vm]
        if link.needed_by_peer and link.vm not in self._mesh.links_by_vm:
            self._lost_neighbours.add(link.vm)

    def _on_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        members = self._membership
        correction = members.mark_seen(
            link.vm, heartbeat.incarnation, self._clock.now()
        )
        if correction is not None:
            link.offer(Records((correction,)))
        state = self._state_by_link.get(link)
        if state is None:
            return
        digests = (members.digest, heartbeat.digest)
        if members.digest == heartbeat.digest:
            state.mismatch = None
        elif state.mismatch == digests:
            state.mismatch = None
            log.info("records differ from those of {}; sending all records", link.vm)
            self._send_all(link, state)
        else:
            state.mismatch = digests

    def _send_all(self, link: PeerLink, state: _LinkState) -> None:
        records = list(self._membership.records_by_vm.values())
        if _send_records(link, records):
            state.sent_version = self._membership.version

    def _on_records(self, link: PeerLink, message: Records) -> None:
        now = self._clock.now()
        before = self._membership.version
        for record in self._membership.merge(message.records, now):
            self._source_by_vm[record.vm] = (link, record)
        for suspicion in message.suspicions:
            self._on_suspicion(link, suspicion)
        if self._membership.version != before:
            self.schedule_flush()

    def _on_suspicion(self, link: PeerLink, suspicion: Suspicion) -> None:
        answer = self._membership.handle_suspicion(suspicion, self._clock.now())
        if isinstance(answer, VmRecord):
            link.offer(Records((answer,)))
        elif answer is not None:
            key = (answer.vm, answer.rank)
            if key not in self._relayed_suspicions:
                self._relayed_suspicions[key] = None
                if len(self._relayed_suspicions) > MAX_RELAYED_SUSPICIONS:
                    self._relayed_suspicions.popitem(last=False)
                self._mesh.broadcast(Records((), (answer,)), skip=link)

    def _flush(self) -> None:
        self._flush_pending = False
        version = self._membership.version
        for link, state in self._state_by_link.items():
            if state.sent_version == version:
                continue
            changed = self._membership.changes_since(state.sent_version)
            sources = self._source_by_vm
            needed = [r for r in changed if sources.get(r.vm) != (link, r)]
            if _send_records(link, needed):
                state.sent_version = version


def _send_records(link: PeerLink, records: list[VmRecord]) -> bool:
    for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
        batch = records[start : start + MAX_RECORDS_PER_MESSAGE]
        if not link.offer(Records(tuple(batch))):
            return False
    return True
