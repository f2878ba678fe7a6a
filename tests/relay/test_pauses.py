"""When a chain that gives no event is left."""

from types import SimpleNamespace

import pytest

from heathershunt.pipelines import Chain
from heathershunt.pipelines.chain import ChainPart
from heathershunt.relay.pauses import PauseWatch
from tests.pipelines import engines


@pytest.fixture
def pauses(parts, spec, attempts, progress):
    return PauseWatch(parts, spec, attempts, progress)


@pytest.fixture
def chain():
    return Chain.from_parts([ChainPart(engines.runner(1), 0, 80)])


def test_slow_chain_is_left_while_repeats_are_left(pauses, parts, chain):
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: True)
    assert pauses.reason_to_leave(chain, None, 1000) is None
    assert pauses.reason_to_leave(chain, None, 1300) is not None


def test_slow_chain_is_kept_when_no_repeat_is_left(pauses, parts, chain):
    # The load: half of the runners are lost in a burst and all chains are slow. A
    # stream that leaves its chain without a repeat fails though it would be served.
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: False)
    assert pauses.reason_to_leave(chain, None, 5000) is None


def test_chain_with_a_dead_runner_is_left_all_the_same(pauses, parts, chain):
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: False)
    assert pauses.reason_to_leave(chain, engines.runner(1), 300) is not None
