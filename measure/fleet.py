"""A whole fleet in virtual time: failure detection, partitions, record traffic.

Real ``Membership`` and ``RecordExchange`` objects run over simulated links that
deliver every message after one step. ``python -m measure.fleet`` prints one figure
a line; fixed seeds.
"""

import random
import sys
from collections import defaultdict

from heathershunt.clock import ManualClock
from heathershunt.membership import Membership, RecordExchange, VmRecord
from heathershunt.peers import Heartbeat, Records, encode_message
from measure.peers import figure

STEP_MS = 50
SILENCE_MS = 3000
UNWANTED_MS = 10_000
VMS = 390
DOMAINS = 9
REGIONS = 4
FRAME_BYTES = 112


class SimulatedLink:
    """One end of a link."""

    def __init__(self, fleet, owner, other, hello):
        self.fleet, self.owner, self.vm = fleet, owner, other
        self.hello, self.incarnation = hello, hello.incarnation
        self.needed_by_peer = True
        self.heard_at = fleet.clock.now()
        self.unwanted_since = None

    def offer(self, message):
        """Deliver in the next step, unless the path is broken."""
        if isinstance(message, Records):
            size = len(encode_message(message)) + FRAME_BYTES
            self.fleet.bytes_by_vm[self.owner] += size
        self.fleet.queue.append((self, message))
        return True


class SimulatedMesh:
    """The interface of ``PeerMesh`` that ``RecordExchange`` uses."""

    def __init__(self, fleet, vm):
        self.fleet, self.vm = fleet, vm
        self.links_by_vm, self.targets, self.seeds = {}, {}, ()
        self.handlers = defaultdict(list)
        self.up, self.down = [], []

    def on(self, cls, handler):
        """Register a handler."""
        self.handlers[cls].append(handler)

    def on_up(self, handler):
        """Register a handler of new links."""
        self.up.append(handler)

    def on_down(self, handler):
        """Register a handler of ended links."""
        self.down.append(handler)

    def set_persistent_peers(self, address_by_vm):
        """Set the VMs to link to."""
        self.targets = address_by_vm

    def probe(self, address):
        """Link to the VM at an address, if it can be reached."""
        self.fleet.connect(self.vm, address)

    def broadcast(self, message, skip=None):
        """Offer a message to every link."""
        for link in list(self.links_by_vm.values()):
            if link is not skip:
                link.offer(message)

    def cut(self, vm):
        """End one link on this side."""
        link = self.links_by_vm.pop(vm, None)
        if link:
            for handler in self.down:
                handler(link)


class SteppedExchange(RecordExchange):
    """Record exchange whose changes are sent by the simulation."""

    pending = False

    def schedule_flush(self):
        """Send in the next step, the delay of the real exchange."""
        self.pending = True


class Fleet:
    """All VMs, their links, virtual time."""

    def __init__(self, seed, vms=VMS):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.queue, self.bytes_by_vm = [], defaultdict(int)
        self.members, self.meshes, self.exchanges = {}, {}, {}
        self.phase, self.down = {}, set()
        self.side_by_vm = None
        records = [self.record(f"vm-{i}", i) for i in range(vms)]
        for record in records:
            self.add(record, records)

    @staticmethod
    def record(vm, index, incarnation=1):
        """Return the record of one VM; its name serves as peer address."""
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

    def add(self, record, known):
        """Start a VM that knows the given records."""
        vm, now = record.vm, self.clock.now()
        members = self.members[vm] = Membership(record, now)
        members.merge(known, now)
        mesh = self.meshes[vm] = SimulatedMesh(self, vm)
        rng = random.Random(vm)
        self.exchanges[vm] = SteppedExchange(members, mesh, self.clock, rng)
        self.phase[vm] = self.rng.randrange(1000 // STEP_MS)

    def reaches(self, first, second):
        """Return whether messages pass between two VMs."""
        if first in self.down or second in self.down:
            return False
        sides = self.side_by_vm
        return sides is None or sides[first] == sides[second]

    def connect(self, vm, other):
        """Open a link if the path works and there is none."""
        ends = (vm, other)
        if other == vm or other not in self.meshes or not self.reaches(vm, other):
            return
        if any(b in self.meshes[a].links_by_vm for a, b in (ends, ends[::-1])):
            return
        hellos = {end: self.exchanges[end].hello() for end in ends}
        links = []
        for end, far in (ends, ends[::-1]):
            link = SimulatedLink(self, end, far, hellos[far])
            self.meshes[end].links_by_vm[far] = link
            links.append((self.meshes[end], link))
        for mesh, link in links:
            for handler in mesh.up:
                handler(link)

    def step(self):
        """Advance by one step."""
        self.clock.advance(STEP_MS)
        delivered, self.queue = self.queue, []
        for link, message in delivered:
            self.deliver(link, message)
        count = self.clock.now() // STEP_MS
        for vm, exchange in self.exchanges.items():
            if vm in self.down:
                continue
            if exchange.pending:
                exchange.pending = False
                exchange._flush()
            offset = (count + self.phase[vm]) % (1000 // STEP_MS)
            if offset % (500 // STEP_MS) == 0:
                exchange.tick()
                self.check_links(vm)
            if offset == 0:
                self.beat(vm)

    def deliver(self, link, message):
        """Hand a message to the handlers at the far end."""
        if not self.reaches(link.owner, link.vm):
            return
        far = self.meshes[link.vm].links_by_vm.get(link.owner)
        if far is None:
            return
        far.heard_at = self.clock.now()
        if isinstance(message, Heartbeat):
            far.needed_by_peer = message.keep
        for handler in self.meshes[link.vm].handlers[type(message)]:
            handler(far, message)

    def check_links(self, vm):
        """Cut silent and unwanted links, open missing ones."""
        mesh, now = self.meshes[vm], self.clock.now()
        for other, link in list(mesh.links_by_vm.items()):
            gone = vm not in self.meshes[other].links_by_vm
            wanted = other in mesh.targets or link.needed_by_peer
            if wanted:
                link.unwanted_since = None
            elif link.unwanted_since is None:
                link.unwanted_since = now
            since = now if wanted else link.unwanted_since
            if now - link.heard_at > SILENCE_MS or gone or now - since > UNWANTED_MS:
                mesh.cut(other)
        for other in mesh.targets:
            if other not in mesh.links_by_vm:
                self.connect(vm, other)

    def beat(self, vm):
        """Send the heartbeat of one VM."""
        members, mesh = self.members[vm], self.meshes[vm]
        for other, link in list(mesh.links_by_vm.items()):
            keep = other in mesh.targets
            beat = Heartbeat(
                vm, members.own.incarnation, digest=members.digest, keep=keep
            )
            self.queue.append((link, beat))

    def run_until(self, condition, limit_ms=60_000):
        """Step until the condition holds; return milliseconds, or None."""
        start = self.clock.now()
        while not condition():
            if self.clock.now() - start >= limit_ms:
                return None
            self.step()
        return self.clock.now() - start

    def run(self, milliseconds):
        """Step for some time."""
        self.run_until(lambda: False, milliseconds)

    def alive(self):
        """Return the VMs that run."""
        return [vm for vm in self.members if vm not in self.down]

    def all_see(self, vms, state, observers=None):
        """Return whether all observers hold ``vms`` in a state."""
        return all(
            self.members[observer].records_by_vm[vm].state.value == state
            for observer in observers or self.alive()
            for vm in vms
        )

    def agree(self):
        """Return whether all running VMs hold equal records."""
        return len({self.members[vm].digest for vm in self.alive()}) == 1

    def heaviest(self, since):
        """Return the most bytes of records that one VM sent since a snapshot."""
        return max(self.bytes_by_vm[vm] - since.get(vm, 0) for vm in self.alive())

    def wrongly_dead(self):
        """Return how many running VMs some other running VM holds for dead."""
        alive = set(self.alive())
        return len(
            {
                vm
                for observer in alive
                for vm, record in self.members[observer].records_by_vm.items()
                if record.dead and vm in alive
            }
        )


def settle(seed):
    """Return a fleet that has run for a while, and its bytes so far."""
    fleet = Fleet(seed)
    fleet.run(15_000)
    return fleet, dict(fleet.bytes_by_vm)


def report_event(name, fleet, before, milliseconds, bound="-"):
    """Print the figures of one event."""
    value = "never" if milliseconds is None else f"{milliseconds / 1000:.2f}"
    figure(f"{name}: until all agree", value, "s", bound)
    figure(f"{name}: records sent, busiest VM", fleet.heaviest(before), "B")
    figure(f"{name}: running VMs held for dead", fleet.wrongly_dead(), "VMs", "0")


def report_leaving(seed):
    """One VM is marked as leaving by an operator."""
    fleet, before = settle(seed)
    fleet.members["vm-7"].mark_leaving(fleet.clock.now())
    fleet.exchanges["vm-7"].schedule_flush()
    took = fleet.run_until(lambda: fleet.all_see(["vm-7"], "leaving"))
    report_event("leaving VM", fleet, before, took)


def report_failures(name, vms, seed):
    """Some VMs fail at once."""
    fleet, before = settle(seed)
    fleet.down |= set(vms)
    took = fleet.run_until(lambda: fleet.all_see(vms, "dead"))
    report_event(name, fleet, before, took)
    fleet.run(20_000)
    figure(f"{name}: agree 20 s later", int(fleet.agree()), "0/1", "1")


def report_broken_paths(seed):
    """A tenth of all pairs of VMs cannot reach each other, for one minute."""
    fleet, before = settle(seed)
    rng = random.Random(seed)
    vms = list(fleet.members)
    broken = {frozenset(rng.sample(vms, 2)) for _ in range(len(vms) ** 2 // 20)}
    reaches = fleet.reaches
    fleet.reaches = lambda a, b: frozenset((a, b)) not in broken and reaches(a, b)
    fleet.run(60_000)
    rate = fleet.heaviest(before) / 60
    figure(
        "broken paths, 10 %: records sent, busiest VM", f"{rate:.0f}", "B/s", "28000"
    )
    figure("broken paths, 10 %: running VMs held for dead", fleet.wrongly_dead(), "VMs")


def report_partition(seed):
    """Two regions lose two others until each has given up the other."""
    fleet, before = settle(seed)
    fleet.side_by_vm = {
        vm: int(members.own.region[-1]) // 2 for vm, members in fleet.members.items()
    }
    sides = [[], []]
    for vm, side in fleet.side_by_vm.items():
        sides[side].append(vm)

    def apart():
        pairs = (sides, sides[::-1])
        return all(fleet.all_see(far, "dead", near) for near, far in pairs)

    took = fleet.run_until(apart)
    value = "never" if took is None else f"{took / 1000:.2f}"
    figure("partition: each side holds the other for dead", value, "s")
    fleet.run(20_000)
    fleet.members[sides[1][0]].mark_leaving(fleet.clock.now())
    fleet.side_by_vm = None
    before = dict(fleet.bytes_by_vm)
    took = fleet.run_until(lambda: fleet.agree() and fleet.wrongly_dead() == 0)
    report_event("partition healed", fleet, before, took)
    left = fleet.all_see([sides[1][0]], "leaving")
    figure("partition healed: VM that left there is leaving", int(left), "0/1", "1")


def report_restarts(seed):
    """20 VMs restart with a new incarnation, one every second."""
    fleet, before = settle(seed)
    for index in range(20):
        vm = f"vm-{index}"
        for mesh in fleet.meshes.values():
            if mesh.vm == vm:
                for other in list(mesh.links_by_vm):
                    mesh.cut(other)
                    fleet.meshes[other].cut(vm)
        fleet.add(fleet.record(vm, index, 2), [])
        fleet.connect(vm, "vm-389")
        fleet.run(1000)
    took = fleet.run_until(fleet.agree)
    report_event("20 restarts in 20 s", fleet, before, took)


def report_domain(seed):
    """A whole failure domain fails."""
    domain = [f"vm-{i}" for i in range(VMS) if i % DOMAINS == 4]
    report_failures("a failure domain fails", domain, seed)


def report_sixteen(seed):
    """As many VMs fail at once as in a day."""
    report_failures("16 VMs fail", [f"vm-{23 * i}" for i in range(16)], seed)


GROUPS = {
    "leaving": report_leaving,
    "failures": report_sixteen,
    "domain": report_domain,
    "paths": report_broken_paths,
    "restarts": report_restarts,
    "partition": report_partition,
}


def main(names):
    """Print the figures of all groups, or of the named ones."""
    for seed, name in enumerate(GROUPS, start=1):
        if not names or name in names:
            GROUPS[name](seed)


if __name__ == "__main__":
    main(sys.argv[1:])
