"""What counts as a fault of a runner."""

import asyncio
from collections import Counter

import pytest

from heathershunt.pipelines import Chain, ChainPart, PaceTracker, RunnerReport
from heathershunt.relay import Diagnosis, SuspectList
from heathershunt.relay.diagnosis import REPORT_TIMEOUT_MS
from tests.pipelines import engines

SLOW = 12.0


class Runners:
    """Returns the reports that a test sets; ``None`` for a runner without one."""

    def __init__(self):
        self.pace_by_id = {}
        self.unanswered_requests = 0
        self.lost_requests_by_id = Counter()

    async def report(self, runner, timeout_ms):
        if self.lost_requests_by_id[runner.id]:
            self.lost_requests_by_id[runner.id] -= 1
            await asyncio.sleep(timeout_ms / 1000)
            return None
        if self.unanswered_requests:
            self.unanswered_requests -= 1
            return None
        pace = self.pace_by_id.get(runner.id)
        if pace is None:
            return None
        return RunnerReport(0, 0, False, None, 0, 0, 0.0, 0.0, pace)


@pytest.fixture
def chain():
    first, second = engines.runner(1, held=(0, 40)), engines.runner(2, held=(40, 80))
    return Chain((ChainPart(first, 0, 40), ChainPart(second, 40, 80)))


@pytest.fixture
def runners(chain):
    runners = Runners()
    runners.pace_by_id = {part.runner.id: 1.0 for part in chain.parts}
    return runners


@pytest.fixture
def paces(clock):
    return PaceTracker(clock, print)


@pytest.fixture
def suspects(clock):
    return SuspectList(clock, print)


@pytest.fixture
def diagnosis(clock, runners, suspects, paces):
    return Diagnosis(clock, runners, suspects, paces)


async def test_slow_runner_is_not_at_fault(diagnosis, runners, chain, paces):
    # Case: two fifths of the runners are twelve times slower. Streams that left them
    # used up the retries, and most requests ended with 502.
    slow = chain.parts[1].runner
    runners.pace_by_id[slow.id] = SLOW
    assert await diagnosis.find_faulty(chain) is None
    assert paces.pace(slow.id) == SLOW


async def test_all_runners_without_a_report_are_ejected(
    diagnosis, suspects, runners, chain
):
    # Guards against a replacement chain with another dead runner when several die at
    # once.
    runners.pace_by_id.clear()
    assert await diagnosis.find_faulty(chain) == chain.parts[0].runner
    assert all(suspects.is_ejected(part.runner) for part in chain.parts)


async def test_no_runner_is_ejected_when_all_are_silent_for_a_moment(
    diagnosis, suspects, runners, chain
):
    # Guards against a VM that ejects all runners when it has lost its links for a
    # moment.
    runners.unanswered_requests = len(chain.parts)
    assert await diagnosis.find_faulty(chain) is None
    assert not any(suspects.is_ejected(part.runner) for part in chain.parts)


async def test_runner_without_a_report_is_at_fault(diagnosis, runners, chain):
    dead = chain.parts[1].runner
    del runners.pace_by_id[dead.id]
    assert await diagnosis.find_faulty(chain) == dead


async def test_lost_report_request_is_sent_again(diagnosis, runners, chain, suspects):
    # Guards against the ejection of healthy runners while links lose packets.
    healthy = chain.parts[1].runner
    runners.lost_requests_by_id[healthy.id] = 1
    assert await diagnosis.find_faulty(chain) is None
    assert not suspects.is_ejected(healthy)


async def test_silent_runner_is_found_in_time_when_both_requests_are_lost(
    diagnosis, runners, chain
):
    silent = chain.parts[1].runner
    runners.lost_requests_by_id[silent.id] = 2
    async with asyncio.timeout(5 * REPORT_TIMEOUT_MS / 1000):
        assert await diagnosis.find_faulty(chain) == silent


async def test_rejecting_runner_is_checked_without_delaying_the_request(
    diagnosis, runners, chain, suspects
):
    # Guards against streams that wait for the report of a dead runner before they are
    # sent to another chain.
    dead = chain.parts[1].runner
    del runners.pace_by_id[dead.id]
    diagnosis.check_rejection(dead)
    assert suspects.is_backed_off(dead)
    assert not suspects.is_ejected(dead)
    await asyncio.sleep(0.01)
    assert suspects.is_ejected(dead)
