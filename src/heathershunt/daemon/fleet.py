"""Membership, peer links, bundle replication and request forwarding of one daemon."""

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
    """Connects one daemon to the other VMs and tracks which of them are live.

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
        self.address_selector = AddressSelector(self.membership, rng)
        self.mesh.on(Heartbeat, self._observe_time)
        self.mesh.on(Demand, self._on_demand)
        self._states_by_vm: dict[str, VmState] = {}

    def _mesh_tls(self) -> MeshTls | None:
        contexts = self._daemon.operations.tls
        if contexts is None:
            return None
        return MeshTls(contexts.peer_server, contexts.peer_client)

    async def start(self) -> None:
        """Bind the peers' listener and connect to the seeds."""
        address = Address.from_text(self._daemon.settings.listen.peers)
        await self.mesh.start(address.host, address.port)
        self.exchange.start()
        self.mesh.set_seeds(self._daemon.settings.peers.seeds)

    async def close(self) -> None:
        """Mark this VM as dead, send that to the peers and close the links."""
        self.membership.mark_self_dead(self._daemon.clock.now())
        self.replicator.close()
        self.exchange.close()
        await self.mesh.close()

    def tick(self) -> None:
        """Broadcast this VM's demand, update the peer factor, record state changes."""
        demand = self._daemon.splitter.measure(self._daemon.clock.now())
        own = self.membership.own
        rates = tuple(demand.rate_by_account.items())
        self.mesh.broadcast(Demand(own.vm, own.incarnation, rates))
        self._daemon.router.set_peer_factor(len(self.live_vms()))
        self._record_state_changes()

    def live_vms(self) -> frozenset[str]:
        """Return the names of the live VMs, and this VM's in any state."""
        records = self.membership.records_by_vm.values()
        live = {record.vm for record in records if record.state is VmState.LIVE}
        return frozenset(live | {self.membership.own.vm})

    def apply_vm_list(self, entries: tuple[ListedVm, ...]) -> None:
        """Apply the platform's list of VMs to the records of the entry VMs."""
        states = {e.vm: e.state for e in entries if e.role is VmRole.ENTRY}
        clock = self._daemon.clock
        self.membership.apply_vm_list(states, clock.now(), clock.wall())
        self.exchange.schedule_flush()

    def set_leaving(self, vm: str, leaving: bool) -> bool:
        """Drain or admit a VM.

        :returns: ``False`` if the VM is unknown, or dead and to be admitted.
        """
        now = self._daemon.clock.now()
        change = self.membership.mark_leaving if leaving else self.membership.admit
        known = change(now, vm)
        self.exchange.schedule_flush()
        return known

    def address_for(self, caller: str) -> AddressAnswer | None:
        """Return the entry VM for a caller to use, or ``None`` if none takes new work.

        :param caller: IP address of the caller.
        """
        return self.address_selector.address_answer(
            self._daemon.clock.now(), caller=caller
        )

    def other_address(self) -> str | None:
        """Return the callers' listener of another VM that takes new work.

        The choice is random; ``None`` if it falls on this VM or no VM takes new work.
        """
        own = self.membership.own.vm
        answer = self.address_selector.address_answer(self._daemon.clock.now())
        return None if answer is None or answer.vm == own else answer.address

    def _hello(self) -> Hello:
        return self.exchange.hello()

    def _heartbeat(self) -> Heartbeat:
        own, keeper = self.membership.own, self._daemon.keeper
        return Heartbeat(
            own.vm,
            own.incarnation,
            self._daemon.operations.hybrid_clock.tick(),
            keeper.version,
            keeper.sha256,
            self.membership.digest,
        )

    def _observe_time(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        self._daemon.operations.hybrid_clock.observe(heartbeat.hlc)

    def _on_demand(self, link: PeerLink, demand: Demand) -> None:
        if demand.vm != link.vm:
            return
        now = self._daemon.clock.now()
        measured = MeasuredDemand(demand.vm, now, dict(demand.rates))
        self._daemon.splitter.observe(measured)

    def _record_state_changes(self) -> None:
        records = self.membership.records_by_vm
        states = {vm: record.state for vm, record in records.items()}
        for vm, state in states.items():
            if self._states_by_vm.get(vm) is not state:
                self._daemon.operations.timeline.record(
                    EventKind.MEMBERSHIP, subject=vm, state=state.value
                )
        self._states_by_vm = states
