"""The faults that the fuzzing machine injects, by name."""

from collections.abc import Awaitable, Callable

from tests.fuzz.fleet import DAEMONS, SERVICES, FuzzFleet

OUTAGE_DELAY_MS = 800
LINK_DELAY_MS = 40
LOST_REPLIES = 3

# A fault gets the fleet and a number that chooses its place; it returns whether it
# was possible.
Fault = Callable[[FuzzFleet, int], Awaitable[bool]]


def _pick(names, place: int):
    names = list(names)
    return names[place % len(names)] if names else None


async def kill_runner(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_runners(), place)
    if name:
        await fleet.kill(name)
    return name is not None


async def pause_runner(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_runners(), place)
    if name:
        fleet.pause(name)
    return name is not None


async def kill_daemon(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_daemons(), place)
    if name:
        await fleet.kill(name)
    return name is not None


async def pause_daemon(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_daemons(), place)
    if name:
        fleet.pause(name)
    return name is not None


async def wake(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(sorted(fleet.paused), place)
    if name:
        fleet.wake(name)
    return name is not None


async def restart(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(sorted(fleet.dead), place)
    if name:
        await fleet.restart(name)
    return name is not None


async def drain_vm(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_daemons(), place)
    if name:
        await fleet.drain(name, _pick(fleet.serving(), place // len(DAEMONS)))
    return name is not None


async def admit_vm(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(filter(fleet.is_up, sorted(fleet.drained_at_by_vm)), place)
    return await fleet.admit(name) if name else False


async def leave_runner(fleet: FuzzFleet, place: int) -> bool:
    name = _pick(fleet.spare_runners(), place)
    if name:
        await fleet.set_left(name, True)
    return name is not None


def _pairs(fleet: FuzzFleet) -> list[str]:
    return (
        [f"callers:{name}" for name in DAEMONS]
        + [f"engine:{name}" for name in fleet.runners]
        + [f"fabric:{name}" for name in fleet.runners]
        + [f"platform:{name}" for name in DAEMONS]
        + [f"service:{name}" for name in SERVICES]
    )


async def cut(fleet: FuzzFleet, place: int) -> bool:
    await fleet.proxy.cut(_pick(_pairs(fleet), place))
    return True


async def silence(fleet: FuzzFleet, place: int) -> bool:
    await fleet.proxy.silence(_pick(_pairs(fleet), place))
    return True


async def slow_link(fleet: FuzzFleet, place: int) -> bool:
    pair = _pick(_pairs(fleet), place)
    await fleet.proxy.set_faults(
        pair, to_target_ms=LINK_DELAY_MS, to_source_ms=LINK_DELAY_MS
    )
    return True


async def store_out(fleet: FuzzFleet, place: int) -> bool:
    await fleet.set_store(outage=True)
    return True


async def store_back(fleet: FuzzFleet, place: int) -> bool:
    await fleet.set_store()
    return True


async def store_slow(fleet: FuzzFleet, place: int) -> bool:
    await fleet.set_store(delay_ms=OUTAGE_DELAY_MS)
    return True


async def lose_store_replies(fleet: FuzzFleet, place: int) -> bool:
    await fleet.set_store(lose_replies=1 + place % LOST_REPLIES)
    return True


async def roll(fleet: FuzzFleet, place: int) -> bool:
    fleet.roll(1)
    return True


async def roll_twice(fleet: FuzzFleet, place: int) -> bool:
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
