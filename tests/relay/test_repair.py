"""Replacement of a runner when the VM's view of the other runners is out of date."""

import asyncio
from types import SimpleNamespace

import pytest

from heathershunt.clock import Millis
from heathershunt.pipelines import Chain, ChainPart, OrderOutcome, OrderReply
from heathershunt.relay.repair import MAX_ORDERS, ChainRepair
from heathershunt.relay.runs import Run
from tests.pipelines import engines

HEAD, DEAD = engines.runner(1), engines.runner(2)


class Selection:
    """Offers the first spare runner that is not avoided."""

    def __init__(self, spares):
        self.spares = spares
        self.is_faster = False

    def is_new_run_faster(self, repaired, before):
        return self.is_faster

    def find_replacement(self, chain, avoided):
        left = [spare for spare in self.spares if spare.id not in avoided]
        return chain_with(left[0]) if left else None


class Runners:
    """Refuses chains that end at certain runners, and names those runners."""

    def __init__(self):
        self.refused = set()
        self.orders = 0

    async def repath(self, head, request_id, chain):
        self.orders += 1
        last = chain.parts[-1].runner
        if last.id in self.refused:
            return OrderReply(OrderOutcome.CONFLICT, str(last.address))
        return OrderReply(OrderOutcome.DONE)


def chain_with(last):
    return Chain.from_parts([ChainPart(HEAD, 0, 40), ChainPart(last, 40, 80)])


@pytest.fixture
def runners():
    return Runners()


@pytest.fixture
def backed_off():
    return []


@pytest.fixture
def selection():
    return Selection([engines.runner(number) for number in range(3, 9)])


class Budget:
    """Allows a number of retries."""

    def __init__(self, left):
        self.left = left

    def take(self, service, vms, has_begun):
        self.left -= 1
        return self.left >= 0


@pytest.fixture
def repair(context, spec, runners, backed_off, selection, attempts, progress):
    context.runners = runners
    context.events = SimpleNamespace(emit=print)
    context.diagnosis = SimpleNamespace(record_rejection=backed_off.append)
    context.ledger = SimpleNamespace(add=print, remove=print)
    context.budget = Budget(left=1)
    return ChainRepair(context, spec, selection, attempts, progress)


async def test_another_chain_is_ordered_when_a_spare_runner_refuses(
    repair, runners, backed_off
):
    # Guards against streams that are sent again, at the cost of a retry, because the
    # first spare runner had released its layers.
    runners.refused = {"r03"}
    run = Run(chain_with(DEAD), 100, Millis(0))
    assert await repair.replace(run, DEAD)
    assert run.chain == chain_with(engines.runner(4))
    assert [runner.id for runner in backed_off] == ["r03"]
    assert repair.replacements == 1


async def test_orders_for_one_replacement_are_bounded(repair, runners):
    runners.refused = {f"r{number:02}" for number in range(3, 9)}
    run = Run(chain_with(DEAD), 100, Millis(0))
    assert not await repair.replace(run, DEAD)
    assert runners.orders == MAX_ORDERS
    assert run.chain == chain_with(DEAD)


async def test_first_runner_is_not_replaced(repair, runners):
    assert not await repair.replace(Run(chain_with(DEAD), 100, Millis(0)), HEAD)
    assert runners.orders == 0


async def test_stream_is_sent_again_when_replacements_are_in_another_domain(
    repair, runners, selection, attempts
):
    # Case: 18 streams lost a runner whose layers no other runner in the failure domain
    # held. All their tokens crossed one link twice, and no event came for 1.2 s;
    # streams that were sent to another domain continued after 50 ms.
    selection.is_faster = True
    assert not await repair.replace(Run(chain_with(DEAD), 100, Millis(0)), DEAD)
    assert runners.orders == 0
    assert attempts.use_reserved_retry()
    assert not attempts.use_reserved_retry()


async def test_stream_without_a_retry_keeps_its_run(
    repair, context, runners, selection
):
    # Guards against streams that all leave their chains when too few retries are left.
    selection.is_faster = True
    context.budget.left = 0
    run = Run(chain_with(DEAD), 100, Millis(0))
    assert await repair.replace(run, DEAD)
    assert runners.orders == 1


# Guards against a stream that ends a second after its time limit, as an order to a
# silent runner was waited for.
async def test_order_is_not_waited_for_beyond_the_time_limit(
    repair, runners, spec, clock
):
    async def be_silent(head, request_id, chain):
        await asyncio.sleep(3600)

    runners.repath = be_silent
    clock.advance(spec.deadline - clock.now() - 30)
    run = Run(chain_with(DEAD), 100, Millis(0))
    async with asyncio.timeout(0.5):
        assert not await repair.replace(run, DEAD)
    assert run.chain == chain_with(DEAD)
