import pytest
from result import Ok

from heathershunt.retrybudget import (
    FLEET_KEY,
    NO_RECORD,
    FleetKeeper,
    FleetRecord,
    decode_fleet,
)
from heathershunt.retrybudget.fleet import CHANGE_MS
from heathershunt.schema.decoding import MalformedError


class Fleet:
    """A fleet as its first VM sees it, and the calls of the store."""

    def __init__(self, clock):
        self._clock = clock
        self.vms, self.rank = 33, 0
        self.written = NO_RECORD
        self.is_current = True
        self.calls = 0
        self.keeper = FleetKeeper(
            self,
            clock,
            lambda: self.vms,
            lambda: self.written,
            lambda: self.rank,
            lambda: self.is_current,
            max_flat_vms=8,
        )

    async def commit(self, expected, values, removed):
        self.calls += 1
        for item in values:
            assert item.key == FLEET_KEY
            self.written = decode_fleet(item.value)
        if removed:
            self.written = NO_RECORD
        return Ok(None)

    async def run(self, milliseconds):
        for _ in range(milliseconds // 1000):
            await self.keeper.run_once()
            self._clock.advance(1000)


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


async def test_size_of_a_large_fleet_and_the_start_are_written_once(fleet):
    await fleet.run(10 * CHANGE_MS)
    assert (fleet.written.vms, fleet.calls) == (33, 2)


async def test_small_fleet_writes_nothing(fleet):
    # Guards against calls of the store in fleets that divide by head count.
    fleet.vms = 8
    await fleet.run(10 * CHANGE_MS)
    assert fleet.calls == 0


async def test_restart_of_all_vms_changes_nothing(fleet):
    # Guards against processes that find a size from the middle of a restart.
    await fleet.run(2 * CHANGE_MS)
    fleet.vms = 3
    await fleet.run(CHANGE_MS - 2000)
    fleet.vms = 33
    await fleet.run(2 * CHANGE_MS)
    assert (fleet.written.vms, fleet.calls) == (33, 2)


async def test_vms_that_come_and_go_cause_no_calls(fleet):
    await fleet.run(2 * CHANGE_MS)
    for vms in (32, 33, 30, 33):
        fleet.vms = vms
        await fleet.run(2 * CHANGE_MS)
    assert fleet.calls == 2


@pytest.mark.parametrize(("vms", "written"), [(78, 78), (12, 12), (8, 0)])
async def test_changed_size_is_written(fleet, vms, written):
    await fleet.run(2 * CHANGE_MS)
    fleet.vms = vms
    await fleet.run(2 * CHANGE_MS)
    assert (fleet.written.vms, fleet.calls) == (written, 3)


async def test_start_of_the_first_vm_is_written_at_once(clock, fleet):
    await fleet.run(2000)
    assert fleet.written == FleetRecord(0, [1_000_000])
    clock.advance(60_000)
    restarted = Fleet(clock)
    restarted.written = fleet.written
    await restarted.run(2000)
    assert restarted.written.starts[0] == 1_000_000
    assert len(restarted.written.starts) == 2


# Guards against processes that take a restart of all VMs for the first one.
@pytest.mark.parametrize(
    ("starts", "had_restart"),
    [
        ([], True),
        ([50_000], False),
        ([50_000, 96_000], True),
        ([50_000, 99_000], False),
        ([50_000, 101_000], False),
        ([89_500], True),
    ],
)
def test_restarts_of_the_window_before_are_known(starts, had_restart):
    assert FleetRecord(33, starts).had_restart(100_000, 10_000) is had_restart


@pytest.mark.parametrize("change", [{"rank": 1}, {"is_current": False}])
async def test_other_vms_write_nothing(fleet, change):
    for name, value in change.items():
        setattr(fleet, name, value)
    await fleet.run(10 * CHANGE_MS)
    assert fleet.calls == 0


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"33",
        b'{"vms":-1}',
        b'{"vms":1e30}',
        b'{"vms":9,"starts":[1.5]}',
        b'{"vms":9,"starts":[1,2,3,4,5]}',
        b"\xff",
    ],
)
def test_malformed_record_is_rejected(value):
    with pytest.raises(MalformedError):
        decode_fleet(value)
