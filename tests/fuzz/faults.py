"""The faults and repairs that the fleet machine injects, by name."""

from collections.abc import Awaitable, Callable

from tests.fuzz.fleet import DAEMONS, SERVICES, FuzzFleet

STORE_DELAY_MS = 800
LINK_DELAY_MS = 40
MAX_LOST_REPLIES = 3

# Takes the fleet and an index, which selects one of the qualifying processes or pairs
# modulo their number; returns whether one qualified, or whether an admission succeeded.
Fault = Callable[[FuzzFleet, int], Awaitable[bool]]


def _pick(names, index: int):
    names = list(names)
    return names[index % len(names)] if names else None


async def kill_runner(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_runners(), index)
    if name:
        await fleet.kill(name)
    return name is not None


async def pause_runner(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_runners(), index)
    if name:
        fleet.pause(name)
    return name is not None


async def kill_daemon(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_daemons(), index)
    if name:
        await fleet.kill(name)
    return name is not None


async def pause_daemon(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_daemons(), index)
    if name:
        fleet.pause(name)
    return name is not None


async def wake(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(sorted(fleet.paused), index)
    if name:
        fleet.resume(name)
    return name is not None


async def restart(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(sorted(fleet.dead), index)
    if name:
        await fleet.restart(name)
    return name is not None


async def drain_vm(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_daemons(), index)
    if name:
        await fleet.drain(name, _pick(fleet.serving(), index // len(DAEMONS)))
    return name is not None


async def admit_vm(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(filter(fleet.is_up, sorted(fleet.drained_at_by_vm)), index)
    return await fleet.admit(name) if name else False


async def leave_runner(fleet: FuzzFleet, index: int) -> bool:
    name = _pick(fleet.spare_runners(), index)
    if name:
        await fleet.set_leaving(name, True)
    return name is not None


def _pair_names(fleet: FuzzFleet) -> list[str]:
    return (
        [f"callers:{name}" for name in DAEMONS]
        + [f"engine:{name}" for name in fleet.runners]
        + [f"fabric:{name}" for name in fleet.runners]
        + [f"platform:{name}" for name in DAEMONS]
        + [f"service:{name}" for name in SERVICES]
    )


async def cut(fleet: FuzzFleet, index: int) -> bool:
    await fleet.proxy.cut(_pick(_pair_names(fleet), index))
    return True


async def silence(fleet: FuzzFleet, index: int) -> bool:
    await fleet.proxy.silence(_pick(_pair_names(fleet), index))
    return True


async def slow_link(fleet: FuzzFleet, index: int) -> bool:
    pair = _pick(_pair_names(fleet), index)
    await fleet.proxy.set_faults(
        pair, to_target_ms=LINK_DELAY_MS, to_source_ms=LINK_DELAY_MS
    )
    return True


async def store_out(fleet: FuzzFleet, index: int) -> bool:
    await fleet.set_store(outage=True)
    return True


async def store_back(fleet: FuzzFleet, index: int) -> bool:
    await fleet.set_store()
    return True


async def store_slow(fleet: FuzzFleet, index: int) -> bool:
    await fleet.set_store(delay_ms=STORE_DELAY_MS)
    return True


async def lose_store_replies(fleet: FuzzFleet, index: int) -> bool:
    await fleet.set_store(lose_replies=1 + index % MAX_LOST_REPLIES)
    return True


async def roll(fleet: FuzzFleet, index: int) -> bool:
    fleet.roll(1)
    return True


async def roll_twice(fleet: FuzzFleet, index: int) -> bool:
    fleet.roll(2)
    return True


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_runner,
        pause_runner,
        kill_daemon,
        pause_daemon,
        cut,
        silence,
        slow_link,
        store_out,
        store_slow,
        lose_store_replies,
        roll,
        roll_twice,
        drain_vm,
        leave_runner,
        wake,
        restart,
        store_back,
        admit_vm,
    )
}
