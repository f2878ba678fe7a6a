"""Entries of the store that another writer left: they cost a log line, no more."""

import asyncio
import json
import os

import logbook
import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from heathershunt.clock import ManualClock
from heathershunt.coordination import Changes, Entry, Snapshot
from heathershunt.crashes import PartGuard
from heathershunt.gateway.configurations import KEPT_KEY
from heathershunt.gateway.state import SiteState
from heathershunt.logs import EventLog
from heathershunt.pipelines import ChainChooser, LoadLedger, PaceTracker, PeerNotes
from heathershunt.pipelines.chooser import Job
from heathershunt.pipelines.layout import LayoutConfig, plan_layout
from heathershunt.pipelines.notes import RunnerNote, merge_notes
from heathershunt.platform.decoder import PlatformDecoder
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.names import CONFIGURATION_KEY, TARGET_PREFIX
from heathershunt.ratelimits import LimitGuard
from heathershunt.relay import SuspectList
from heathershunt.retrybudget import FLEET_KEY
from tests.gateway.site import configuration

DEVNULL = os.open(os.devnull, os.O_WRONLY)
NESTED = b"[" * 100_000
NESTED_MEMBER = b'{"callers":"127.0.0.1:1","x":' + NESTED
MANY_DIGITS = b"9" * 4000
SOUND = {
    f"runner-{domain}{number}": {
        "service": "engine",
        "address": f"10.0.{number}.{ord(domain)}:8080",
        "zone": domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 5,
        "cold_remaining_ms": 0,
        "born": 1_700_000_000_000,
        "kind": "large",
        "layers": {"from": first, "to": end, "version": 1},
    }
    for domain in "ab"
    for number, (first, end) in enumerate(((0, 40), (30, 60), (50, 80)))
}
# What makes an entry odd: the field, and a value that no target writes there.
ODD_TEXTS = (7, None, [], {}, "", "x" * 5000, "a\r\nb: c", "\0")
ODD_NUMBERS = (-1, 1.5, "8", None, [], 2**62, 2**70, 10**30, 10**400)
ODD_ADDRESSES = (
    *ODD_TEXTS,
    "10.0.0.1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999",
    "10.0.0.1:-1",
    "10.0.0.1:80\n",
    "999.0.0.1:80",
    "no-such-host:80",
    ":80",
)
BEYOND_THE_MODEL = {"from": 0, "to": 81}
ODD_LAYERS = (
    7,
    "0-80",
    [0, 80],
    {"from": 0},
    {"from": -1, "to": 80},
    BEYOND_THE_MODEL,
    {"from": 0, "to": 2**62},
    {"from": 0, "to": 2**80},
    {"from": 0, "to": 10**400},
    {"from": 2**70, "to": 2**80},
    {"from": 0, "to": 80, "version": 2**62},
    {"from": 0, "to": 80, "version": -1},
    {"from": 0, "to": 80, "version": 10**400},
    {"from": 0, "to": 80.5},
)
ODD_FIELDS = [
    *(("service", value) for value in ODD_TEXTS),
    *(("address", value) for value in ODD_ADDRESSES),
    *(("zone", value) for value in ODD_TEXTS if value != ""),
    *(("state", value) for value in (*ODD_TEXTS, "gone")),
    *(("slots", value) for value in ODD_NUMBERS),
    *(("born", value) for value in ODD_NUMBERS),
    *(("sequence", value) for value in ODD_NUMBERS),
    *(("version", value) for value in (7, None, [], "x" * 5000)),
    *(("cold_remaining_ms", value) for value in ("8", None, -1, 1e300, 10**400)),
    *(("kind", value) for value in ODD_TEXTS if value not in ("", None)),
    *(("layers", value) for value in ODD_LAYERS),
]
ODD_BYTES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"7",
    NESTED,
    b'{"service":"engine","x":' + NESTED,
    b'{"service":"engine","address":"10.0.0.9:80","zone":"a","state":"ready",'
    b'"sequence":' + MANY_DIGITS + b"}",
    b'{"service":"engine","address":"10.0.0.9:80","zone":"a","state":"ready",'
    b'"slots":NaN}',
]
ODD_IDS = ("", "a b", "a\r\nx: y", "\u00e9", "x" * 300, "a\0")


NEEDED = ("service", "address", "zone", "version", "slots", "state", "sequence")
MISSING = [
    json.dumps({k: v for k, v in SOUND["runner-a0"].items() if k != name}).encode()
    for name in (*NEEDED, "cold_remaining_ms")
]


def encode(entry):
    return json.dumps(entry).encode()


def odd_entry(field, value):
    """Return an entry of a runner with all layers that is odd in one field."""
    entry = SOUND["runner-a0"] | {"layers": {"from": 0, "to": 80, "version": 1}}
    return encode(entry | {"address": "10.0.9.9:8080", "slots": 8, field: value})


def odd_entries():
    """Return a strategy for keys and values of odd entries of targets."""
    values = st.one_of(
        st.sampled_from(ODD_FIELDS).map(lambda pair: odd_entry(*pair)),
        st.sampled_from(ODD_BYTES + MISSING),
        st.binary(max_size=40),
    )
    by_value = st.tuples(st.just("odd"), values)
    by_id = st.tuples(st.sampled_from(ODD_IDS), st.just(odd_entry("version", "v1")))
    return st.lists(st.one_of(by_value, by_id), min_size=1, max_size=4)


class UnwrittenLog(EventLog):
    """Encodes its lines, and drops them without an event loop."""

    def _schedule(self, delay_ms):
        self._queue.clear()


class Site:
    """The state of a site and what decides on it, without I/O."""

    def __init__(self):
        self.clock = ManualClock(start=10_000, wall=1_700_000_100_000)
        self.ledger = LoadLedger(self.clock)
        self.events = UnwrittenLog(DEVNULL, "vm-1", self.clock)
        emit = self.events.emit
        self.notes = PeerNotes(self.clock, list, emit)
        self.suspects = SuspectList(self.clock, emit, self.notes)
        self.paces = PaceTracker(self.clock, emit, self.notes)
        self.chooser = ChainChooser(self.ledger, self.paces)
        self.state = SiteState(
            PlatformDecoder(HeaderCodec(self.clock)),
            self.clock,
            self.suspects,
            PartGuard(self.clock, emit, lambda: 1),
            LimitGuard(
                self.clock,
                "vm-1",
                lambda: ["vm-1"],
                lambda target_id: self.state.registry.get(target_id),
                emit,
            ),
            self.events,
            lambda catalog: None,
            lambda vm: None,
        )

    def apply(self, pairs, as_snapshot):
        entries = [Entry(key, value, 5) for key, value in pairs]
        if as_snapshot:
            self.state.on_snapshot(Snapshot(tuple(entries), 5, 0))
        else:
            changes = tuple((entry.key, entry) for entry in entries)
            self.state.on_changes(Changes(changes, 5, 0))

    def chosen(self):
        """Return what the relay and the placement would do now."""
        engine = self.state.engines()["engine"]
        runners = self.state.registry.of_service("engine")
        chain = self.chooser.choose(engine, runners, Job(700, 20), 1)
        assert chain is not None
        repaired = self.chooser.repair(
            engine, runners, Job(700, 20), 1, chain, {chain.parts[-1].runner.id}
        )
        for found in (chain, repaired):
            assert {part.runner.id for part in found.parts} <= SOUND.keys()
        return plan_layout(engine, runners, LayoutConfig())

    def exchange_notes(self):
        """Send notes on all targets to another VM, as after their failure."""
        for service in ("engine", "desk"):
            for target in self.state.registry.of_service(service):
                self.suspects.eject(target)
        raw = msgspec.msgpack.encode(self.suspects.notes())
        notes = msgspec.msgpack.decode(raw, type=list[RunnerNote])
        self.notes.set_others(merge_notes([notes, notes]))


def sound_pairs():
    pairs = [(TARGET_PREFIX + name, encode(entry)) for name, entry in SOUND.items()]
    return [(CONFIGURATION_KEY, encode(configuration(1))), *pairs]


@settings(max_examples=400)
@given(odd=odd_entries(), as_snapshot=st.booleans(), is_first=st.booleans())
@example(odd=[("odd", odd_entry("born", 2**70))], as_snapshot=True, is_first=True)
@example(
    odd=[("odd", odd_entry("layers", {"from": 0, "to": 10**400}))],
    as_snapshot=False,
    is_first=False,
)
def test_odd_entries_of_targets_leave_all_others_in_use(odd, as_snapshot, is_first):
    # Guards against one odd entry that ends the watch, takes requests, hides the layers
    # of sound runners, or cannot be encoded in messages between VMs.
    site = Site()
    pairs = [(TARGET_PREFIX + target_id, value) for target_id, value in odd]
    sound = sound_pairs()
    with logbook.TestHandler() as lines:
        site.apply(pairs + sound if is_first else sound + pairs, True)
        if not as_snapshot:
            site.apply(pairs, False)
    plan = site.chosen()
    site.exchange_notes()
    alone = Site()
    alone.apply(sound, True)
    assert plan == alone.chosen()
    listed = {r.id for r in site.state.registry.of_service("engine")}
    # One that claims layers beyond the model is listed, but not used.
    assert listed - {"odd"} == SOUND.keys()
    assert all(len(record.message) <= 1000 for record in lines.records)


@pytest.mark.parametrize("field, value", ODD_FIELDS, ids=lambda item: repr(item)[:30])
def test_each_odd_field_names_no_target(field, value):
    # Guards against a value out of range that is used as it stands.
    site = Site()
    site.apply([*sound_pairs(), (TARGET_PREFIX + "odd", odd_entry(field, value))], True)
    site.chosen()
    site.exchange_notes()
    found = site.state.registry.get("odd")
    assert found is None or value == BEYOND_THE_MODEL


@pytest.mark.parametrize("value", MISSING)
def test_entry_without_a_field_names_no_target(value):
    # Guards against a target that is used from a part of an entry.
    site = Site()
    site.apply([*sound_pairs(), (TARGET_PREFIX + "odd", value)], True)
    assert site.state.registry.get("odd") is None


def test_target_whose_entry_becomes_odd_is_not_used_any_longer():
    # Guards against a target that is used from an entry that the store no longer holds:
    # a later snapshot would remove it.
    site = Site()
    site.apply(
        [*sound_pairs(), (TARGET_PREFIX + "other", odd_entry("version", "1"))], True
    )
    assert site.state.registry.get("other") is not None
    site.apply([(TARGET_PREFIX + "other", b"{")], False)
    assert site.state.registry.get("other") is None


ODD_KEYS = (
    CONFIGURATION_KEY,
    KEPT_KEY,
    FLEET_KEY,
    "vm/odd",
    "crashes/odd",
    "leader/placement",
)


@pytest.mark.parametrize("as_snapshot", [True, False])
@pytest.mark.parametrize("value", [*ODD_BYTES, NESTED_MEMBER])
@pytest.mark.parametrize("key", ODD_KEYS)
def test_odd_entry_of_another_kind_leaves_all_others_in_use(key, value, as_snapshot):
    # Guards against a VM that no longer follows the store because of a deeply nested
    # entry: the error of the decoder was none of those that were expected.
    site = Site()
    site.apply(sound_pairs(), True)
    site.apply([(key, value), *sound_pairs()], as_snapshot)
    site.chosen()
    assert site.state.catalog.version == 1


def test_odd_entry_that_is_written_each_second_is_logged_once_a_minute():
    # Guards against a log that one writer of odd entries fills.
    site = Site()
    with logbook.TestHandler() as lines:
        for _ in range(50):
            for value in (b"{", odd_entry("slots", -1), odd_entry("state", "x" * 9999)):
                site.apply([(TARGET_PREFIX + "odd", value)], False)
                site.apply([("vm/odd", value)], False)
                site.apply([("crashes/odd", value)], False)
                site.apply([(CONFIGURATION_KEY, value)], False)
            site.clock.advance(1000)
    assert 4 <= len(lines.records) <= 12
    assert all(len(record.message) <= 1000 for record in lines.records)


def test_many_odd_entries_are_logged_within_a_bound():
    # Guards against a log that grows with the number of odd entries.
    site = Site()
    pairs = [(f"{TARGET_PREFIX}odd-{number}", b"{") for number in range(3000)]
    with logbook.TestHandler() as lines:
        site.apply(sound_pairs() + pairs, True)
        site.apply(sound_pairs() + pairs, True)
    site.chosen()
    assert 1 <= len(lines.records) <= 100


async def test_running_gateway_still_follows_the_store_after_odd_entries(site):
    # Guards against a watch that ends: the VM would use an old configuration for ever.
    for value in ODD_BYTES:
        for key in (*ODD_KEYS[1:4], "servers/odd", "servers/a b"):
            site.store.put(key, value)
    site.store.put(CONFIGURATION_KEY, NESTED)
    await asyncio.sleep(0.3)
    site.store.put(CONFIGURATION_KEY, configuration(2))
    state = site.gateways["vm-1"].state
    await site.until(lambda: state.catalog.version == 2)
    await site.add_gateway("vm-2")
    assert (await site.call("GET", "/status/1", vm="vm-2"))[0] == 200
    assert (await site.call("GET", "/status/1"))[0] == 200
