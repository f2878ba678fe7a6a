import pytest
from result import Ok

from heathershunt.retrybudget import FLEET_SIZE_KEY, FleetSizeKeeper, decode_fleet_size
from heathershunt.retrybudget.fleet_size import CHANGE_MS
from heathershunt.schema.decoding import MalformedError


class Fleet:
    """A fleet as its first VM sees it, and the calls of the store."""

    def __init__(self, clock):
        self._clock = clock
        self.vms, self.written, self.rank = 33, 0, 0
        self.is_current = True
        self.calls = 0
        self.keeper = FleetSizeKeeper(
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
            assert item.key == FLEET_SIZE_KEY
            self.written = decode_fleet_size(item.value)
        if removed:
            self.written = 0
        return Ok(None)

    async def run(self, milliseconds):
        for _ in range(milliseconds // 1000):
            await self.keeper.run_once()
            self._clock.advance(1000)


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


async def test_size_of_a_large_fleet_is_written_once(fleet):
    await fleet.run(10 * CHANGE_MS)
    assert (fleet.written, fleet.calls) == (33, 1)


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
    assert (fleet.written, fleet.calls) == (33, 1)


async def test_vms_that_come_and_go_cause_no_calls(fleet):
    await fleet.run(2 * CHANGE_MS)
    for vms in (32, 33, 30, 33):
        fleet.vms = vms
        await fleet.run(2 * CHANGE_MS)
    assert fleet.calls == 1


@pytest.mark.parametrize(("vms", "written"), [(78, 78), (12, 12), (8, 0)])
async def test_changed_size_is_written(fleet, vms, written):
    await fleet.run(2 * CHANGE_MS)
    fleet.vms = vms
    await fleet.run(2 * CHANGE_MS)
    assert (fleet.written, fleet.calls) == (written, 2)


@pytest.mark.parametrize("change", [{"rank": 1}, {"is_current": False}])
async def test_other_vms_write_nothing(fleet, change):
    for name, value in change.items():
        setattr(fleet, name, value)
    await fleet.run(10 * CHANGE_MS)
    assert fleet.calls == 0


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"1.5", b'"33"', b"1e30", b"{}", b"\xff"]
)
def test_malformed_size_is_rejected(value):
    with pytest.raises(MalformedError):
        decode_fleet_size(value)
