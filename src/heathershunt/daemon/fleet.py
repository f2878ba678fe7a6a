"""This VM among the others: links, membership, bundle spread, forwarded requests."""

import random
from typing import TYPE_CHECKING

import logbook

from heathershunt.admission import Demand as MeasuredDemand
from heathershunt.bundle import BundleReplicator, ConfirmationTracker
from heathershunt.http import Address
from heathershunt.membership import (
    AddressAnswer,
    AddressSelector,
    Membership,
    RecordExchange,
    VmRecord,
    VmState,
)
from heathershunt.peers import (
    Demand,
    Forwarder,
    Heartbeat,
    Hello,
    MeshTls,
    PeerLink,
    PeerMesh,
)
from heathershunt.store import ListedVm, VmRole
from heathershunt.timeline import EventKind

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon

log = logbook.Logger("heathershunt.daemon")


class Fleet:
    """Composes the slices ``peers`` and ``membership`` for one daemon.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon
        settings, clock = daemon.settings, daemon.clock
        rng = random.Random(f"{settings.vm.name}.{daemon.incarnation}")
        own = VmRecord(
            settings.vm.name,
            daemon.incarnation,
            settings.listen.callers,
            settings.listen.peers,
            settings.listen.operators,
            settings.vm.domain,
            settings.vm.region,
        )
        self.membership = Membership(own, clock.now())
        self.mesh = PeerMesh(
            self._hello, self._heartbeat, clock, rng, tls=self._mesh_tls()
        )
        self.exchange = RecordExchange(self.membership, self.mesh, clock, rng)
        self.tracker = ConfirmationTracker(settings.bundle.confirm_limit_ms)
        self.replicator = BundleReplicator(
            daemon.keeper, self.mesh, clock, self.tracker
        )
        self.forwarder = Forwarder(self.mesh, self.exchange.peer_address)
        self.book = AddressSelector(self.membership, rng)
        self.mesh.on(Heartbeat, self._observe_time)
        self.mesh.on(Demand, self._on_demand)
        self._states_by_vm: dict[str, VmState] = {}

    def _mesh_tls(self) -> MeshTls | None:
        contexts = self._daemon.operations.tls
        if contexts is None:
            return None
        return MeshTls(contexts.peer_server, contexts.peer_client)

    async def start(self) -> None:
        """Bind the peers' listener and dial the seeds."""
        address = Address.from_text(self._daemon.settings.listen.peers)
        await self.mesh.start(address.host, address.port)
        self.exchange.start()
        self.mesh.set_seeds(self._daemon.settings.peers.seeds)

    async def close(self) -> None:
        """Tell the peers that this VM is gone and close the links."""
        self.membership.mark_self_dead(self._daemon.clock.now())
        self.replicator.close()
        self.exchange.close()
        await self.mesh.close()

    def tick(self) -> None:
        """Send the own demand, follow the number of VMs, record changes of it."""
        demand = self._daemon.splitter.measure(self._daemon.clock.now())
        own = self.membership.own
        rates = tuple(demand.rate_by_account.items())
        self.mesh.broadcast(Demand(own.vm, own.incarnation, rates))
        self._daemon.router.set_peer_factor(len(self.live_vms()))
        self._record_changes()

    def live_vms(self) -> frozenset[str]:
        """Return the VMs that take requests, this one included."""
        records = self.membership.records_by_vm.values()
        live = {record.vm for record in records if record.state is VmState.LIVE}
        return frozenset(live | {self.membership.own.vm})

    def apply_vm_list(self, entries: tuple[ListedVm, ...]) -> None:
        """Take the platform's word on the entry VMs."""
        states = {e.vm: e.state for e in entries if e.role is VmRole.ENTRY}
        clock = self._daemon.clock
        self.membership.apply_vm_list(states, clock.now(), clock.wall())
        self.exchange.schedule_flush()

    def set_leaving(self, vm: str, leaving: bool) -> bool:
        """Drain or admit a VM on an operator's order; ``False`` if unknown."""
        now = self._daemon.clock.now()
        change = self.membership.mark_leaving if leaving else self.membership.admit
        known = change(now, vm)
        self.exchange.schedule_flush()
        return known

    def answer(self, caller: str) -> AddressAnswer | None:
        """Return the entry VM that a caller should use."""
        return self.book.address_answer(self._daemon.clock.now(), caller=caller)

    def other_address(self) -> str | None:
        """Return the caller address of a VM that takes new work, other than this."""
        own = self.membership.own.vm
        answer = self.book.address_answer(self._daemon.clock.now())
        return None if answer is None or answer.vm == own else answer.address

    def _hello(self) -> Hello:
        return self.exchange.hello()

    def _heartbeat(self) -> Heartbeat:
        own, keeper = self.membership.own, self._daemon.keeper
        return Heartbeat(
            own.vm,
            own.incarnation,
            self._daemon.operations.hybrid.tick(),
            keeper.version,
            keeper.sha256,
            self.membership.digest,
        )

    def _observe_time(self, link: PeerLink, beat: Heartbeat) -> None:
        self._daemon.operations.hybrid.observe(beat.hlc)

    def _on_demand(self, link: PeerLink, demand: Demand) -> None:
        if demand.vm != link.vm:
            return
        now = self._daemon.clock.now()
        measured = MeasuredDemand(demand.vm, now, dict(demand.rates))
        self._daemon.splitter.observe(measured)

    def _record_changes(self) -> None:
        records = self.membership.records_by_vm
        states = {vm: record.state for vm, record in records.items()}
        for vm, state in states.items():
            if self._states_by_vm.get(vm) is not state:
                self._daemon.operations.timeline.record(
                    EventKind.MEMBERSHIP, subject=vm, state=state.value
                )
        self._states_by_vm = states
