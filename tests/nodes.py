"""A VM with its peer mesh and membership on loopback, with short time limits."""

import asyncio
import random

from heathershunt.bundle import BundleKeeper, BundleReplicator, ConfirmationTracker
from heathershunt.clock import SystemClock
from heathershunt.membership import Membership, MembershipLimits, RecordExchange
from heathershunt.peers import Forwarder, Heartbeat, MeshLimits, PeerMesh, VmRecord

FAST_MESH = MeshLimits(
    heartbeat_ms=100, silence_ms=1000, tick_ms=50, handshake_ms=500, unneeded_ms=300
)
FAST_DETECTION = MembershipLimits(suspect_ms=600, dead_ms=1500, pause_ms=60_000)
WAIT_SECONDS = 20


class Node:
    """Mesh, membership, bundle distribution and forwarding of one VM.

    :param vm: name of the VM.
    :param domain: its failure domain.
    :param trusted: keys whose bundles the node accepts.
    :param tls: contexts for mutual TLS.
    """

    def __init__(self, vm, domain="a", incarnation=1, trusted=(), tls=None):
        self.clock = SystemClock()
        rng = random.Random(vm)
        self.record = VmRecord(vm, incarnation, f"10.0.0.1:{vm}", domain=domain)
        self.keeper = BundleKeeper(trusted)
        self.mesh = PeerMesh(
            lambda: self.exchange.hello(),
            self.heartbeat,
            self.clock,
            rng,
            FAST_MESH,
            tls,
        )
        self.forwarder = Forwarder(self.mesh, lambda vm: self.exchange.peer_address(vm))
        self.tracker = ConfirmationTracker(500)
        self.replicator = BundleReplicator(
            self.keeper, self.mesh, self.clock, self.tracker
        )
        self.rng = rng

    def heartbeat(self):
        own = self.members.own
        return Heartbeat(
            own.vm,
            own.incarnation,
            0,
            self.keeper.version,
            self.keeper.sha256,
            self.members.digest,
        )

    @property
    def address(self):
        return f"127.0.0.1:{self.mesh.port}"

    def state_of(self, vm):
        record = self.members.records_by_vm.get(vm)
        return record.state.value if record else None

    async def start(self, *seeds):
        await self.mesh.start("127.0.0.1", 0)
        fields = {**vars(self.record), "peers": self.address}
        now = self.clock.now()
        self.members = Membership(VmRecord(**fields), now, FAST_DETECTION)
        self.exchange = RecordExchange(self.members, self.mesh, self.clock, self.rng)
        self.exchange.start()
        self.mesh.set_seeds(seeds)
        return self

    async def stop(self):
        self.replicator.close()
        self.exchange.close()
        await self.mesh.close(100)


async def until(condition):
    """Wait until ``condition()`` is true.

    :raises TimeoutError: after ``WAIT_SECONDS``.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)
