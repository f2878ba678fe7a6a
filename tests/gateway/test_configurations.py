"""When VMs keep the configuration in force in the store."""

import itertools

import pytest
from result import Err, Ok

from heathershunt.coordination import StoreError, StoreFailure
from heathershunt.gateway.configurations import (
    KEPT_KEY,
    MAX_DELAY_MS,
    RANK_DELAY_MS,
    RETRY_MS,
    ConfigurationKeeper,
    KnownVersions,
    Step,
    next_step,
)


@pytest.mark.parametrize(
    "versions, step",
    [
        ((0, 0, 0), Step.NONE),
        ((3, 3, 0), Step.NONE),
        ((3, 2, 0), Step.WRITE),
        ((3, 0, 0), Step.WRITE),
        ((3, 1, 2), Step.WRITE),
        ((3, 2, 3), Step.NONE),
        ((3, 3, 3), Step.REMOVE),
        ((4, 4, 3), Step.REMOVE),
        ((4, 3, 4), Step.NONE),
    ],
)
def test_newest_configuration_is_kept_until_the_operator_has_it(versions, step):
    assert next_step(KnownVersions(*versions)) is step


class Source:
    """What a VM knows, and a store that other VMs see too."""

    def __init__(self, in_force, operator=1):
        self.raw_configuration = b"newest"
        self.known = KnownVersions(in_force, operator, 0)
        self.writes = []
        self.fails = False

    def versions(self):
        return self.known

    async def commit(self, expectations, values, removed=()):
        self.writes.append(([value.key for value in values], removed))
        if self.fails:
            return Err(StoreError(StoreFailure.UNKNOWN, "away"))
        self.known = KnownVersions(
            self.known.in_force, self.known.operator, self.known.in_force
        )
        return Ok(1)


async def run(clock, keepers, ms):
    for _ in range(0, ms, 50):
        clock.advance(50)
        for keeper in keepers:
            await keeper.run_once()


# Guards against hundreds of VMs that all write the configuration.
@pytest.mark.parametrize("vms", [4, 26, 390])
async def test_one_of_the_vms_writes_it(clock, vms):
    source = Source(3)
    keepers = [
        ConfigurationKeeper(source, clock, source, lambda rank=rank: rank, lambda: True)
        for rank in range(vms)
    ]
    await run(clock, keepers, 2 * MAX_DELAY_MS)
    assert source.writes == [([KEPT_KEY], ())]


async def test_next_vm_writes_it_if_the_first_cannot(clock):
    source = Source(3)
    keeper = ConfigurationKeeper(source, clock, source, lambda: 1, lambda: True)
    await run(clock, [keeper], RANK_DELAY_MS + 100)
    assert source.writes == [([KEPT_KEY], ())]


async def test_failed_write_is_repeated(clock):
    source = Source(3)
    source.fails = True
    keeper = ConfigurationKeeper(source, clock, source, lambda: 0, lambda: True)
    await run(clock, [keeper], RETRY_MS + 100)
    assert len(source.writes) == 2


async def test_vm_with_an_old_view_writes_nothing(clock):
    source = Source(3)
    fresh = itertools.repeat(False)
    keeper = ConfigurationKeeper(source, clock, source, lambda: 0, lambda: next(fresh))
    await run(clock, [keeper], MAX_DELAY_MS)
    assert source.writes == []
