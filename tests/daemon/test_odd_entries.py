"""Odd entries and reports that a daemon reads: they cost a log line, no more."""

import asyncio
import json

import logbook
import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.clock import SystemClock
from heathershunt.http import Address, HttpClient, HttpServer, Response
from heathershunt.routing import InFlight
from heathershunt.runners import RunnerPoller, RunnerRegistry
from heathershunt.store import ListedVm, VmList, VmRole
from tests.scripted import ScriptedTarget, answer, late_duplicates

NESTED = "[" * 100_000
BIG = 10**400
SOUND = [
    {"vm": "vm1", "domain": "a", "state": "live", "role": "entry", "address": "x"},
    {
        "vm": "vm2",
        "domain": "a",
        "state": "live",
        "role": "runner",
        "address": "127.0.0.1:7",
    },
    {
        "vm": "vm3",
        "domain": "a",
        "state": "live",
        "role": "service",
        "address": "127.0.0.1:8",
        "service": "orders",
    },
]
ODD_VALUES = (7, None, [], {}, "", "x" * 5000, "a\r\nb", BIG, True)
ODD_ADDRESSES = (
    *ODD_VALUES,
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:-1",
)


def odd_entry(field, value):
    return SOUND[1] | {"vm": "odd", "address": "127.0.0.1:9", field: value}


odd_items = st.one_of(
    st.sampled_from(
        [
            *(odd_entry("vm", value) for value in ODD_VALUES),
            *(odd_entry("domain", value) for value in ODD_VALUES if value != ""),
            *(odd_entry("role", value) for value in ODD_VALUES),
            *(odd_entry("address", value) for value in ODD_ADDRESSES),
            *(odd_entry("state", value) for value in ODD_VALUES),
        ]
    ),
    st.sampled_from(ODD_VALUES),
)


class Vms:
    """A VM list and a runner that answer with given bodies."""

    def __init__(self):
        self.client = HttpClient()
        self.body = b""
        self._server = HttpServer(self._answer)
        self.registry = RunnerRegistry(InFlight())

    async def start(self):
        await self._server.start("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._server.port)
        self.changes = []
        self.list = VmList(self.client, self.address, self.changes.append)
        self.poller = RunnerPoller(
            self.client, SystemClock(), self.registry, lambda: self.list.entries
        )

    async def _answer(self, request):
        return Response(200, {}, self.body)

    async def stop(self):
        self.client.close()
        await self._server.close()


@pytest.fixture
async def vms():
    vms = Vms()
    await vms.start()
    yield vms
    await vms.stop()


def test_odd_entries_of_the_vm_list_leave_all_others():
    # Guards against a VM list that is not followed any longer, or an entry with a port
    # or a name that breaks what uses it.
    @settings(max_examples=200)
    @given(odd=st.lists(odd_items, min_size=1, max_size=4), is_first=st.booleans())
    def check(odd, is_first):
        runner.run(poll(json.dumps({"vms": odd + SOUND if is_first else SOUND + odd})))

    async def poll(body):
        vms = Vms()
        await vms.start()
        vms.body = body.encode()
        with logbook.TestHandler() as lines:
            await vms.list.poll()
        assert {entry.vm for entry in vms.list.entries} == {"vm1", "vm2", "vm3"}
        assert vms.list.entry_vms() == ["vm1"]
        assert vms.list.service_addresses("orders") == [Address("127.0.0.1", 8)]
        assert [entry.vm for entry in vms.poller._due()] == ["vm2"]
        assert all(len(record.message) < 1000 for record in lines.records)
        await vms.stop()

    with asyncio.Runner() as runner:
        check()


ODD_LISTS = [
    "",
    "null",
    "[]",
    "7",
    '{"vms":null}',
    '{"vms":7}',
    '{"vms":' + NESTED,
    '{"vms":[' + NESTED,
    '{"vms":[7]}',
]


async def test_odd_vm_list_is_logged_once_and_the_last_one_holds(vms):
    # Guards against a line in the log at each poll, that is, each second.
    vms.body = json.dumps({"vms": SOUND}).encode()
    await vms.list.poll()
    with logbook.TestHandler() as lines:
        for _ in range(5):
            for body in (*ODD_LISTS, json.dumps({"vms": [7, "x" * 9000, *SOUND]})):
                vms.body = body.encode()
                await vms.list.poll()
    assert len(vms.list.entries) == 3
    assert len(lines.records) <= 12
    assert all(len(record.message) < 1000 for record in lines.records)


REPORT = {
    "runner": "r1",
    "incarnation": 5,
    "kind": "large",
    "fence": 3,
    "checks_fence": True,
    "leaving": False,
    "vm": "vm2",
    "domain": "a",
    "model": "m",
    "version": "1",
    "adapters": [],
    "first_layer": 0,
    "end_layer": 80,
    "role": "serving",
    "fabric": "",
    "load": {
        "running": 1,
        "queued": 0,
        "batch_limit": 8,
        "step_ms": 5.0,
        "token_ms": 1.0,
        "prefill_token_ms": 0.1,
        "kv_free_tokens": 100,
        "at_ms": 1_700_000_000_000,
    },
}
ODD_REPORTS = [
    *(REPORT | {"incarnation": value} for value in (-1, BIG, 2**70, 1.5, None)),
    *(REPORT | {"fence": value} for value in (-1, BIG, 2**70, 1.5, None)),
    *(REPORT | {"end_layer": value} for value in (-1, BIG, 2**62)),
    *(
        REPORT | {name: "x" * 5000}
        for name in ("runner", "kind", "vm", "domain", "model", "version", "fabric")
    ),
    REPORT | {"adapters": ["x" * 5000]},
    *(
        REPORT | {"load": REPORT["load"] | {name: value}}
        for name in REPORT["load"]
        for value in (-1, BIG, 1e300)
    ),
]


async def test_odd_report_of_a_runner_changes_nothing(vms):
    # Guards against numbers that no later report of the runner can exceed, that the
    # status for operators cannot hold, or that break the choice of a chain.
    vms.body = json.dumps({"vms": SOUND}).encode()
    await vms.list.poll()
    entry = vms.poller._runners()[0]
    object.__setattr__(entry, "address", str(vms.address))
    vms.body = json.dumps(REPORT).encode()
    await vms.poller._poll(entry)
    before = dict(vms.registry.states_by_runner)
    with logbook.TestHandler() as lines:
        for report in ODD_REPORTS:
            vms.body = json.dumps(report).encode()
            await vms.poller._poll(entry)
    assert vms.registry.states_by_runner == before
    assert len(lines.records) == 1


ODD_EVENTS = [
    {"events": [], "next": -1},
    {"events": [], "next": BIG},
    {"events": [{"seq": BIG, "op": "add", "prefix": "p"}], "next": 1},
    {"events": [{"seq": 1, "op": "add", "prefix": "x" * 5000}], "next": 1},
    {"events": NESTED[:100], "next": 1},
]


@pytest.mark.parametrize("reply", ODD_EVENTS, ids=lambda reply: repr(reply)[:40])
async def test_odd_cache_events_change_nothing(vms, reply):
    # Guards against a position that no request can name, and long keys in memory.
    vms.body = json.dumps(reply).encode()
    await vms.poller._poll_events(vms.address, "r1")
    assert vms.registry.prefixes("r1").position == 0
    assert not vms.registry.prefixes("r1").seen_by_hash


async def test_copies_of_earlier_answers_are_not_taken_for_later_ones():
    # Guards against a VM list or a report that is one poll old on each poll, as its
    # sender wrote an earlier one once more: a VM that left would get new work.
    def listing(state):
        return answer(json.dumps({"vms": [SOUND[0] | {"state": state}]}).encode())

    target = ScriptedTarget(late_duplicates(map(listing, ("live", "leaving"))))
    client = HttpClient()
    vms = VmList(client, await target.start(), lambda entries: None)
    await vms.poll()
    await vms.poll()
    assert vms.entries[0].is_leaving
    target.stop()
    reports = [REPORT | {"incarnation": number} for number in (1, 2)]
    bodies = [json.dumps(report).encode() for report in reports]
    target = ScriptedTarget(late_duplicates(map(answer, bodies)))
    registry = RunnerRegistry(InFlight())
    poller = RunnerPoller(client, SystemClock(), registry, tuple)
    address = str(await target.start())
    entry = ListedVm("vm2", "a", "live", VmRole.RUNNER, address)
    for number in (1, 2):
        # Without the request for cache events.
        poller._polls_by_address[address] = 1
        await poller._poll(entry)
        assert registry.states_by_runner["r1"].report.incarnation == number
    client.close()
    target.stop()
