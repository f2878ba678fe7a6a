"""How soon evidence is known by all VMs of a fleet, over the exchanges alone."""

import random

import msgspec
import pytest

from heathershunt.clock import ManualClock, Millis
from heathershunt.crashes import Evidence, PartGuard, RequestKeys, RunnerCrash
from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.topology import Topology
from heathershunt.http import Address
from heathershunt.pipelines.load_exchange import (
    EXCHANGE_PERIOD_MS,
    LARGE_FLEET_PERIOD_MS,
)

# The shortest ``contact_ms`` of all sites: by then, all VMs must know of a part.
KNOWN_WITHIN_MS = 3000
STEP_MS = 10


class Fleet:
    """VMs that exchange evidence as the gateways do, in simulated time.

    :param dead: names of VMs that do not answer.
    """

    def __init__(self, size, dead=frozenset()):
        self.clock = ManualClock()
        self.random = random.Random(size)
        members = MemberList(self.clock)
        self.names = [f"vm-{number:03}" for number in range(size)]
        self.name_by_address = {}
        for number, name in enumerate(self.names):
            address = Address("10.0.0.1", 1000 + number)
            self.name_by_address[address] = name
            members.put(Member(name, "", "a", address))
        self.live = [name for name in self.names if name not in dead]
        self.topologies = {name: Topology(members, name, 500) for name in self.names}
        self.guards = {}
        self.due = {}
        for name in self.live:
            guard = PartGuard(self.clock, lambda event: None, lambda: size)
            guard.on_news = lambda name=name: self.push(name)
            self.guards[name] = guard
            self.due[name] = self.random.uniform(0, self.period_ms(name))

    def period_ms(self, name):
        is_flat = self.topologies[name].fleet_factor() <= 1
        period = EXCHANGE_PERIOD_MS if is_flat else LARGE_FLEET_PERIOD_MS
        return period * self.random.uniform(0.8, 1.2)

    def push(self, name):
        for addresses in self.topologies[name].news_recipients():
            self.exchange(name, addresses)

    def exchange(self, name, addresses):
        """Exchange evidence with the first of some VMs that answers."""
        for address in addresses:
            other = name if address is None else self.name_by_address[address]
            if other in self.guards:
                self.guards[other].merge(self.guards[name].digest())
                self.guards[name].merge(self.guards[other].digest())
                return

    def crash(self, name, number, parts=("deadly", "own")):
        crash = RunnerCrash(f"runner-{number}", 1)
        sent_at = Millis(self.clock.now() - 50)
        keys = RequestKeys("request:own", parts)
        self.guards[name].record_crash("a", keys, crash, sent_at, Evidence.BEGUN)

    def run(self, ms):
        end = self.clock.now() + ms
        while self.clock.now() < end:
            self.clock.advance(STEP_MS)
            for name in self.live:
                if self.due[name] <= self.clock.now():
                    self.due[name] += self.period_ms(name)
                    self.exchange(name, self.topologies[name].aggregators())

    def knowing(self):
        return sum(guard.is_blocked("deadly") for guard in self.guards.values())


@pytest.mark.parametrize("size", [4, 26, 78, 390])
def test_all_vms_know_in_time(size):
    fleet = Fleet(size)
    first, second = fleet.random.sample(fleet.live, 2)
    fleet.crash(first, 1)
    fleet.run(200)
    fleet.crash(second, 2)
    fleet.run(KNOWN_WITHIN_MS)
    assert fleet.knowing() == size


# Guards against a fleet that no longer learns once the VMs are gone that pass it on.
@pytest.mark.parametrize("size", [26, 78, 390])
def test_all_vms_know_in_time_without_the_first_aggregators(size):
    topology = Fleet(size).topologies["vm-000"]
    groups = topology._groups(sorted(f"vm-{number:03}" for number in range(size)))
    fleet = Fleet(size, frozenset(name for group in groups for name in group[:2]))
    fleet.crash(fleet.live[0], 1)
    fleet.run(200)
    fleet.crash(fleet.live[-1], 2)
    fleet.run(KNOWN_WITHIN_MS)
    assert fleet.knowing() == len(fleet.live)


def test_vm_that_starts_knows_after_its_first_exchange():
    fleet = Fleet(78)
    fleet.crash("vm-070", 1)
    fleet.run(200)
    fleet.crash("vm-070", 2)
    fleet.run(KNOWN_WITHIN_MS)
    fleet.guards["vm-050"] = PartGuard(fleet.clock, print, lambda: 78)
    fleet.exchange("vm-050", fleet.topologies["vm-050"].aggregators())
    assert fleet.guards["vm-050"].is_blocked("deadly")


def test_message_is_bounded():
    fleet = Fleet(4)
    for number in range(300):
        fleet.clock.advance(100)
        fleet.crash("vm-001", number, ("deadly", f"own-{number}"))
    digest = fleet.guards["vm-001"].digest()
    assert len(digest.rows) == 64
    assert len(msgspec.msgpack.encode(digest)) < 8192
