"""Failure detection, partitions and record traffic of a fleet in simulated time.

The ``Membership`` and ``RecordExchange`` of the product run over simulated links that
deliver every message after one step. ``python -m measure.fleet`` prints one figure per
line; ``python -m measure.fleet NAME...`` runs the named groups. Seeds are fixed.
"""

import random
import sys
from collections import defaultdict

from heathershunt.clock import ManualClock
from heathershunt.membership import Membership, RecordExchange, VmRecord
from heathershunt.peers import Heartbeat, Records, encode_message
from measure.peers import print_figure

STEP_MS = 50
# Limits of the peer mesh: a link is closed if it is silent or unneeded for longer.
SILENCE_MS = 3000
UNNEEDED_MS = 10_000
VMS = 390
DOMAINS = 9
REGIONS = 4
# Headers and acknowledgement of a message, as in ``measure.peers``.
FRAME_BYTES = 112


class SimulatedLink:
    """One end of a link: the end of ``owner``, with ``vm`` at the other."""

    def __init__(self, fleet, owner, other, hello):
        self.fleet, self.owner, self.vm = fleet, owner, other
        self.hello, self.incarnation = hello, hello.incarnation
        self.needed_by_peer = True
        self.received_at = fleet.clock.now()
        self.unneeded_since = None

    def offer(self, message):
        """Queue a message for the next step; it is lost if the path is broken then."""
        if isinstance(message, Records):
            size = len(encode_message(message)) + FRAME_BYTES
            self.fleet.bytes_by_vm[self.owner] += size
        self.fleet.queue.append((self, message))
        return True


class SimulatedMesh:
    """The interface of ``PeerMesh`` that ``RecordExchange`` uses."""

    def __init__(self, fleet, vm):
        self.fleet, self.vm = fleet, vm
        self.links_by_vm, self.persistent_peers, self.seeds = {}, {}, ()
        self.handlers = defaultdict(list)
        self.up_handlers, self.down_handlers = [], []

    def on(self, cls, handler):
        """Register a handler of messages of one class."""
        self.handlers[cls].append(handler)

    def on_up(self, handler):
        """Register a handler of new links."""
        self.up_handlers.append(handler)

    def on_down(self, handler):
        """Register a handler of closed links."""
        self.down_handlers.append(handler)

    def set_persistent_peers(self, address_by_vm):
        """Set the VMs that links are kept to."""
        self.persistent_peers = address_by_vm

    def probe(self, address):
        """Open a link to the VM at an address, if it can be reached."""
        self.fleet.connect(self.vm, address)

    def broadcast(self, message, skip=None):
        """Offer a message to every link."""
        for link in list(self.links_by_vm.values()):
            if link is not skip:
                link.offer(message)

    def close_link(self, vm):
        """Close the link to ``vm`` at this end only."""
        link = self.links_by_vm.pop(vm, None)
        if link:
            for handler in self.down_handlers:
                handler(link)


class SteppedExchange(RecordExchange):
    """Record exchange whose flushes the simulation runs."""

    flush_pending = False

    def schedule_flush(self):
        """Flush in the next step, which is the delay of the product's exchange."""
        self.flush_pending = True


class Fleet:
    """All VMs with their links, in simulated time.

    :ivar bytes_by_vm: bytes of record messages that each VM has sent.
    :ivar phase_by_vm: offset of the heartbeats of each VM, in steps.
    :ivar failed: VMs that have failed.
    :ivar side_by_vm: side of the partition that each VM is on; None without partition.
    """

    def __init__(self, seed, vms=VMS):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.queue, self.bytes_by_vm = [], defaultdict(int)
        self.membership_by_vm, self.mesh_by_vm, self.exchange_by_vm = {}, {}, {}
        self.phase_by_vm, self.failed = {}, set()
        self.side_by_vm = None
        records = [self.make_record(f"vm-{i}", i) for i in range(vms)]
        for record in records:
            self.start_vm(record, records)

    @staticmethod
    def make_record(vm, index, incarnation=1):
        """Return the record of one VM; its name is also its peer address."""
        domain = index % DOMAINS
        return VmRecord(
            vm,
            1_700_000_000_000 + incarnation,
            "10.0.0.1:8080",
            vm,
            "10.0.0.1:8081",
            f"domain-{domain}",
            f"region-{domain % REGIONS}",
        )

    def start_vm(self, record, records):
        """Start a VM that has the given records."""
        vm, now = record.vm, self.clock.now()
        members = self.membership_by_vm[vm] = Membership(record, now)
        members.merge(records, now)
        mesh = self.mesh_by_vm[vm] = SimulatedMesh(self, vm)
        rng = random.Random(vm)
        self.exchange_by_vm[vm] = SteppedExchange(members, mesh, self.clock, rng)
        self.phase_by_vm[vm] = self.rng.randrange(1000 // STEP_MS)

    def can_reach(self, first, second):
        """Return whether messages pass between two VMs."""
        if first in self.failed or second in self.failed:
            return False
        sides = self.side_by_vm
        return sides is None or sides[first] == sides[second]

    def connect(self, vm, other):
        """Open a link between two VMs if the path works and they have none."""
        ends = (vm, other)
        if other == vm or other not in self.mesh_by_vm or not self.can_reach(vm, other):
            return
        if any(b in self.mesh_by_vm[a].links_by_vm for a, b in (ends, ends[::-1])):
            return
        hellos = {end: self.exchange_by_vm[end].hello() for end in ends}
        links = []
        for end, far in (ends, ends[::-1]):
            link = SimulatedLink(self, end, far, hellos[far])
            self.mesh_by_vm[end].links_by_vm[far] = link
            links.append((self.mesh_by_vm[end], link))
        for mesh, link in links:
            for handler in mesh.up_handlers:
                handler(link)

    def step(self):
        """Advance the time by one step: deliver messages, then run what is due."""
        self.clock.advance(STEP_MS)
        delivered, self.queue = self.queue, []
        for link, message in delivered:
            self.deliver(link, message)
        count = self.clock.now() // STEP_MS
        for vm, exchange in self.exchange_by_vm.items():
            if vm in self.failed:
                continue
            if exchange.flush_pending:
                exchange.flush_pending = False
                exchange._flush()
            offset = (count + self.phase_by_vm[vm]) % (1000 // STEP_MS)
            if offset % (500 // STEP_MS) == 0:
                exchange.tick()
                self.check_links(vm)
            if offset == 0:
                self.send_heartbeat(vm)

    def deliver(self, link, message):
        """Pass a message to the handlers of the VM at the other end of ``link``."""
        if not self.can_reach(link.owner, link.vm):
            return
        far = self.mesh_by_vm[link.vm].links_by_vm.get(link.owner)
        if far is None:
            return
        far.received_at = self.clock.now()
        if isinstance(message, Heartbeat):
            far.needed_by_peer = message.keep
        for handler in self.mesh_by_vm[link.vm].handlers[type(message)]:
            handler(far, message)

    def check_links(self, vm):
        """Close silent and unneeded links of one VM and open missing ones."""
        mesh, now = self.mesh_by_vm[vm], self.clock.now()
        for other, link in list(mesh.links_by_vm.items()):
            is_closed_by_peer = vm not in self.mesh_by_vm[other].links_by_vm
            needed = other in mesh.persistent_peers or link.needed_by_peer
            if needed:
                link.unneeded_since = None
            elif link.unneeded_since is None:
                link.unneeded_since = now
            since = now if needed else link.unneeded_since
            if (
                now - link.received_at > SILENCE_MS
                or is_closed_by_peer
                or now - since > UNNEEDED_MS
            ):
                mesh.close_link(other)
        for other in mesh.persistent_peers:
            if other not in mesh.links_by_vm:
                self.connect(vm, other)

    def send_heartbeat(self, vm):
        """Queue the heartbeat of one VM on all its links."""
        members, mesh = self.membership_by_vm[vm], self.mesh_by_vm[vm]
        for other, link in list(mesh.links_by_vm.items()):
            keep = other in mesh.persistent_peers
            heartbeat = Heartbeat(
                vm, members.own.incarnation, digest=members.digest, keep=keep
            )
            self.queue.append((link, heartbeat))

    def run_until(self, condition, limit_ms=60_000):
        """Step until the condition holds.

        :return: simulated milliseconds, or None if the limit was reached first.
        """
        start = self.clock.now()
        while not condition():
            if self.clock.now() - start >= limit_ms:
                return None
            self.step()
        return self.clock.now() - start

    def run(self, milliseconds):
        """Step for an amount of simulated time."""
        self.run_until(lambda: False, milliseconds)

    def running(self):
        """Return the VMs that have not failed."""
        return [vm for vm in self.membership_by_vm if vm not in self.failed]

    def all_see(self, vms, state, observers=None):
        """Return whether all observers have all of ``vms`` in a state.

        :param observers: VMs whose records count; all running VMs by default.
        """
        return all(
            self.membership_by_vm[observer].records_by_vm[vm].state.value == state
            for observer in observers or self.running()
            for vm in vms
        )

    def agree(self):
        """Return whether all running VMs have equal records."""
        return len({self.membership_by_vm[vm].digest for vm in self.running()}) == 1

    def max_sent_bytes(self, before):
        """Return the most bytes of records that a running VM sent since a snapshot.

        :param before: earlier copy of ``bytes_by_vm``.
        """
        return max(self.bytes_by_vm[vm] - before.get(vm, 0) for vm in self.running())

    def false_deaths(self):
        """Return how many running VMs are dead in the records of a running VM."""
        running = set(self.running())
        return len(
            {
                vm
                for observer in running
                for vm, record in self.membership_by_vm[observer].records_by_vm.items()
                if record.dead and vm in running
            }
        )


def settled_fleet(seed):
    """Return a fleet after 15 simulated seconds, and a copy of its ``bytes_by_vm``."""
    fleet = Fleet(seed)
    fleet.run(15_000)
    return fleet, dict(fleet.bytes_by_vm)


def report_event(name, fleet, before, elapsed_ms, bound="-"):
    """Print the figures of one event.

    :param before: copy of ``bytes_by_vm`` before the event.
    :param elapsed_ms: time until all VMs agreed, None if they did not.
    """
    value = "never" if elapsed_ms is None else f"{elapsed_ms / 1000:.2f}"
    print_figure(f"{name}: until all agree", value, "s", bound)
    print_figure(f"{name}: records sent, busiest VM", fleet.max_sent_bytes(before), "B")
    print_figure(f"{name}: running VMs held for dead", fleet.false_deaths(), "VMs", "0")


def report_leaving(seed):
    """Measure an operator marking one VM as leaving."""
    fleet, before = settled_fleet(seed)
    fleet.membership_by_vm["vm-7"].mark_leaving(fleet.clock.now())
    fleet.exchange_by_vm["vm-7"].schedule_flush()
    elapsed_ms = fleet.run_until(lambda: fleet.all_see(["vm-7"], "leaving"))
    report_event("leaving VM", fleet, before, elapsed_ms)


def report_failures(name, vms, seed):
    """Measure the simultaneous failure of ``vms``."""
    fleet, before = settled_fleet(seed)
    fleet.failed |= set(vms)
    elapsed_ms = fleet.run_until(lambda: fleet.all_see(vms, "dead"))
    report_event(name, fleet, before, elapsed_ms)
    fleet.run(20_000)
    print_figure(f"{name}: agree 20 s later", int(fleet.agree()), "0/1", "1")


def report_broken_paths(seed):
    """Measure one minute in which a tenth of all pairs of VMs cannot communicate."""
    fleet, before = settled_fleet(seed)
    rng = random.Random(seed)
    vms = list(fleet.membership_by_vm)
    broken = {frozenset(rng.sample(vms, 2)) for _ in range(len(vms) ** 2 // 20)}
    can_reach = fleet.can_reach
    fleet.can_reach = lambda a, b: frozenset((a, b)) not in broken and can_reach(a, b)
    fleet.run(60_000)
    rate = fleet.max_sent_bytes(before) / 60
    print_figure(
        "broken paths, 10 %: records sent, busiest VM", f"{rate:.0f}", "B/s", "28000"
    )
    print_figure(
        "broken paths, 10 %: running VMs held for dead",
        fleet.false_deaths(),
        "VMs",
    )


def report_partition(seed):
    """Measure a partition of two regions from two others, and its end.

    It lasts until 20 s after each side has marked all VMs of the other as dead.
    """
    fleet, before = settled_fleet(seed)
    fleet.side_by_vm = {
        vm: int(members.own.region[-1]) // 2
        for vm, members in fleet.membership_by_vm.items()
    }
    sides = [[], []]
    for vm, side in fleet.side_by_vm.items():
        sides[side].append(vm)

    def is_separated():
        pairs = (sides, sides[::-1])
        return all(fleet.all_see(far, "dead", near) for near, far in pairs)

    elapsed_ms = fleet.run_until(is_separated)
    value = "never" if elapsed_ms is None else f"{elapsed_ms / 1000:.2f}"
    print_figure("partition: each side holds the other for dead", value, "s")
    fleet.run(20_000)
    fleet.membership_by_vm[sides[1][0]].mark_leaving(fleet.clock.now())
    fleet.side_by_vm = None
    before = dict(fleet.bytes_by_vm)
    elapsed_ms = fleet.run_until(lambda: fleet.agree() and fleet.false_deaths() == 0)
    report_event("partition healed", fleet, before, elapsed_ms)
    is_leaving = fleet.all_see([sides[1][0]], "leaving")
    print_figure(
        "partition healed: VM that left there is leaving", int(is_leaving), "0/1", "1"
    )


def report_restarts(seed):
    """Measure the restart of 20 VMs with new incarnations, one every second."""
    fleet, before = settled_fleet(seed)
    for index in range(20):
        vm = f"vm-{index}"
        for mesh in fleet.mesh_by_vm.values():
            if mesh.vm == vm:
                for other in list(mesh.links_by_vm):
                    mesh.close_link(other)
                    fleet.mesh_by_vm[other].close_link(vm)
        fleet.start_vm(fleet.make_record(vm, index, 2), [])
        fleet.connect(vm, "vm-389")
        fleet.run(1000)
    elapsed_ms = fleet.run_until(fleet.agree)
    report_event("20 restarts in 20 s", fleet, before, elapsed_ms)


def report_domain(seed):
    """Measure the failure of a whole failure domain."""
    domain = [f"vm-{i}" for i in range(VMS) if i % DOMAINS == 4]
    report_failures("a failure domain fails", domain, seed)


def report_daily_failures(seed):
    """Measure the simultaneous failure of 16 VMs, as many as fail in a day."""
    report_failures("16 VMs fail", [f"vm-{23 * i}" for i in range(16)], seed)


GROUPS = {
    "leaving": report_leaving,
    "failures": report_daily_failures,
    "domain": report_domain,
    "paths": report_broken_paths,
    "restarts": report_restarts,
    "partition": report_partition,
}


def main(names):
    """Print the figures of the named groups, or of all."""
    for seed, name in enumerate(GROUPS, start=1):
        if not names or name in names:
            GROUPS[name](seed)


if __name__ == "__main__":
    main(sys.argv[1:])
