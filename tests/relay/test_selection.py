"""How long a stream waits for a chain, and which runners it avoids."""

from types import SimpleNamespace

import pytest

from heathershunt.availability import Notice
from heathershunt.pipelines import Chain
from heathershunt.pipelines.chain import ChainPart
from heathershunt.ratelimits import Statement
from heathershunt.ratelimits.guard import START_MS
from heathershunt.relay.capacity import CapacityGate
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.selection import ChainSelection
from tests.pipelines import engines


@pytest.fixture
def selection(context, spec, attempts, progress):
    return ChainSelection(
        context, CapacityGate(context.clock), spec, attempts, progress, lambda: False
    )


class FullChooser:
    """Has a chain with capacity only after some searches.

    :param full_for: searches that find no capacity; ``None`` for all.
    """

    def __init__(self, full_for, has_layers=True):
        self.full_for = full_for
        self.holds_all = has_layers
        self.searches = 0

    def has_layers(self, engine, runners, avoided):
        return self.holds_all

    def choose(self, engine, runners, job, vms, avoided, needs_room=False, **heads):
        self.searches += needs_room
        is_full = self.full_for is None or self.searches <= self.full_for
        if not self.holds_all or (needs_room and is_full):
            return None
        return "chain"


@pytest.fixture
def wait_with(selection, context, monkeypatch):
    """Return a coroutine function that waits for a chain from a chooser."""

    async def sleep(seconds):
        context.clock.advance(int(seconds * 1000))

    monkeypatch.setattr("heathershunt.relay.selection.asyncio.sleep", sleep)

    async def wait_with(chooser):
        context.chooser = chooser
        return await selection.wait_for_chain(), context.clock.now()

    return wait_with


async def test_stream_waits_for_capacity_while_it_may_still_start(wait_with):
    # Case: the memory of all chains is full for a moment, as after a runner died.
    chain, now = await wait_with(FullChooser(full_for=3))
    assert chain == "chain"
    assert 0 < now < 500


async def test_stream_is_sent_to_a_full_chain_before_it_would_start_too_late(
    wait_with,
):
    # Guards against a VM that refuses everything because it still counts the streams
    # of VMs that were killed.
    chain, now = await wait_with(FullChooser(full_for=None))
    assert chain == "chain"
    assert now <= 500


async def test_stream_for_which_layers_are_missing_is_refused_at_once(wait_with):
    assert await wait_with(FullChooser(full_for=None, has_layers=False)) == (
        None,
        0,
    )


async def test_stream_that_was_sent_before_is_sent_to_a_full_chain(attempts, wait_with):
    attempts.sends = 1
    chain, _ = await wait_with(FullChooser(full_for=None))
    assert chain == "chain"


class LastHolders:
    """Runners with the last layers, all full; the least loaded one is chosen."""

    def __init__(self, *ids):
        self.ids = ids

    def has_layers(self, engine, runners, avoided):
        return bool(self.ids)

    def choose(self, engine, runners, job, vms, avoided, needs_room=False, **heads):
        left = [name for name in self.ids if name not in avoided]
        return left[0] if left and not needs_room else None


@pytest.fixture
def holders(context):
    """List two runners that hold the last layers; the first one has no load."""
    runners = engines.runner(1), engines.runner(2)
    for runner in runners:
        context.registry.put(runner)
    return runners


async def test_full_runner_is_preferred_to_an_ejected_one(wait_with, context, holders):
    # Case: one of two holders of the last layers dies during a burst, and the other is
    # full. Streams sent to the dead one are rejected until the retry budget is used up.
    dead, full = holders
    context.suspects.eject(dead)
    chain, _ = await wait_with(LastHolders(dead.id, full.id))
    assert chain == full.id


async def test_ejected_runner_is_tried_when_there_is_no_other(
    wait_with, context, holders
):
    # Guards against refusals because of a report that arrived too late.
    dead, _ = holders
    context.suspects.eject(dead)
    chain, _ = await wait_with(LastHolders(dead.id))
    assert chain == dead.id


async def test_stream_is_not_sent_to_a_runner_that_just_rejected_one(
    wait_with, context, holders
):
    # Guards against eight sends to a dead runner within 100 ms.
    rejecting, _ = holders
    context.suspects.back_off(rejecting, 10_000)
    chain, now = await wait_with(LastHolders(rejecting.id))
    assert chain is None
    assert now <= 500


async def test_stream_that_has_begun_waits_until_a_back_off_ends(
    progress, wait_with, context, holders
):
    rejecting, _ = holders
    progress.accept([StreamEvent(1, b"id: 1\n\n")])
    context.suspects.back_off(rejecting, 700)
    chain, now = await wait_with(LastHolders(rejecting.id))
    assert chain == rejecting.id
    assert 700 <= now <= 800


async def test_stream_that_was_sent_may_use_avoided_runners_when_no_other_is_left(
    attempts, wait_with, holders
):
    # Guards against streams that fail after all runners were silent for a moment, as
    # they are when this VM has lost its links.
    first, second = holders
    attempts.sends = attempts.deliveries = 1
    attempts.avoided |= {first.id, second.id}
    chain, now = await wait_with(LastHolders(first.id, second.id))
    assert chain == first.id
    assert now >= 1000, "the runners get some time to recover"


async def test_stream_that_was_not_sent_is_refused_when_all_runners_are_avoided(
    attempts, wait_with, holders
):
    # Guards against requests that wait here though they may be sent elsewhere at once.
    first, second = holders
    attempts.avoided |= {first.id, second.id}
    chain, now = await wait_with(LastHolders(first.id, second.id))
    assert chain is None
    assert now <= 500


def test_runner_that_may_have_left_during_a_store_outage_is_avoided(selection, context):
    # Guards against rejections that use up the retries right after a store outage.
    kept, missing = engines.runner(1), engines.runner(2)
    context.registry.put(kept)
    context.registry.put(missing)
    context.registry.start_grace_period()
    context.registry.remove(missing.id)
    avoided = []
    context.chooser = SimpleNamespace(
        repair=lambda *args: avoided.append(args[6]),
        choose=lambda *args: avoided.append(args[4]),
    )
    selection.find_replacement(Chain.from_parts([ChainPart(kept, 0, 80)]), {"faulty"})
    assert avoided == [{missing.id, "faulty"}] * 2


def chain_in(*domains):
    size = 80 // len(domains)
    return Chain.from_parts(
        ChainPart(engines.runner(n, domain=domain), n * size, (n + 1) * size)
        for n, domain in enumerate(domains)
    )


@pytest.mark.parametrize(
    "repaired, new_chain, is_faster",
    [
        (chain_in("a", "b", "a"), chain_in("c"), True),
        (chain_in("a", "b", "a"), chain_in("c", "b"), False),
        (chain_in("a", "b", "a"), None, False),
        (chain_in("a", "a"), chain_in("c"), False),
    ],
)
def test_new_run_in_one_domain_is_faster_than_replacements_in_another(
    selection, context, repaired, new_chain, is_faster
):
    context.chooser = SimpleNamespace(choose=lambda *args, **options: new_chain)
    assert selection.is_new_run_faster(repaired, chain_in("a", "a")) == is_faster


@pytest.fixture
def limited_head(context):
    """Return a first runner that takes very few requests a second."""
    runner = engines.runner(1, held=(0, 80))
    context.registry.put(runner)
    context.clock.advance(START_MS)
    context.limits.record(runner, Statement(0.1, context.clock.now()))
    return runner


# Guards against streams that wait for runners whose limits leave nothing for them.
async def test_stream_beyond_all_limits_is_refused_at_once(
    wait_with, selection, context, limited_head
):
    before = context.clock.now()
    assert await wait_with(FullChooser(full_for=0)) == (None, before)
    assert selection.limit_wait_ms > 500


async def test_stream_that_has_begun_waits_for_a_limit(
    wait_with, progress, limited_head, context
):
    progress.accept([StreamEvent(1, b"id: 1\n\n")])
    chain, _ = await wait_with(FullChooser(full_for=2))
    assert chain == "chain"


async def test_stream_is_sent_if_another_first_runner_has_no_limit(
    wait_with, context, limited_head
):
    context.registry.put(engines.runner(2, held=(0, 80)))
    chain, _ = await wait_with(FullChooser(full_for=0))
    assert chain == "chain"


class WorkingHolders(LastHolders):
    """Holds all layers with any of its runners; chooses among the runners given."""

    def has_layers(self, engine, runners, avoided):
        return any(runner.id not in avoided for runner in runners)

    def choose(self, engine, runners, job, vms, avoided, needs_room=False, **heads):
        left = [runner.id for runner in runners if runner.id not in avoided]
        return min(left, default=None)


def ask_for_pause(context, runners, pause_ms):
    for runner in runners:
        context.availability.record(runner, Notice(pause_ms=pause_ms))


# Guards against streams that wait for a pause up to their deadline.
async def test_stream_is_refused_at_once_if_all_runners_pause(
    wait_with, selection, context, holders
):
    ask_for_pause(context, holders, 3000)
    before = context.clock.now()
    assert await wait_with(WorkingHolders()) == (None, before)
    assert selection.wait_detail
    assert 3000 <= selection.told_wait_ms() < 4000


# Guards against a refusal although the pause ends sooner than the stream must begin.
async def test_stream_waits_for_a_short_pause(wait_with, context, holders):
    ask_for_pause(context, holders, 200)
    before = context.clock.now()
    chain, now = await wait_with(WorkingHolders())
    assert chain == holders[0].id
    assert 200 <= now - before <= 300


# Guards against a stream that is broken off because its next runner pauses.
async def test_stream_that_has_begun_waits_for_a_pause(
    wait_with, progress, context, holders
):
    progress.accept([StreamEvent(1, b"id: 1\n\n")])
    ask_for_pause(context, holders, 800)
    chain, _ = await wait_with(WorkingHolders())
    assert chain == holders[0].id


# Guards against a stream that has used up its first runners, which all pause, and waits
# for them although its caller could be served by others.
async def test_stream_whose_allowed_first_runners_pause_is_refused_at_once(
    wait_with, selection, attempts, context, holders
):
    other = engines.runner(3)
    context.registry.put(other)
    for runner in holders:
        attempts.add_head(runner)
    attempts.sends = attempts.deliveries = 2
    ask_for_pause(context, holders, 3000)
    before = context.clock.now()
    assert await wait_with(WorkingHolders()) == (None, before)
    assert selection.told_wait_ms() == 0


# Guards against runners that leave and are used because all others are ejected.
async def test_no_fallback_brings_a_leaving_runner_back(wait_with, context, holders):
    leaving, ejected = holders
    context.availability.record(leaving, Notice(is_leaving=True))
    context.suspects.eject(ejected)
    chain, _ = await wait_with(WorkingHolders())
    assert chain == ejected.id
