"""Bursts of streams at VMs with a stale or incomplete view of each other's load."""

from collections import Counter
from dataclasses import replace

import pytest

from heathershunt.pipelines import ChainChooser, Job, LoadLedger, PaceTracker
from heathershunt.pipelines.estimates import kv_capacity
from heathershunt.pipelines.load import RunnerLoad

JOB = Job(760, 167)
STREAMS = 160


class Burst:
    """A burst of streams that several VMs route without an exchange of their loads."""

    def __init__(self, vms, clock):
        self.ledgers = [LoadLedger(clock) for _ in range(vms)]
        self.choosers = [
            ChainChooser(led, PaceTracker(clock, print)) for led in self.ledgers
        ]
        self.used = Counter()
        self.rejected = 0

    def send(self, engine, runners, streams, known_vms=None):
        vms = known_vms or len(self.ledgers)
        for number in range(streams):
            vm = number % len(self.ledgers)
            chain = self.choosers[vm].choose(engine, runners, JOB, vms)
            self.ledgers[vm].add(chain, JOB.tokens)
            if any(
                self.used[part.runner.id] + JOB.tokens * part.size
                > kv_capacity(engine, part.runner)
                for part in chain.parts
            ):
                self.rejected += 1
                continue
            for part in chain.parts:
                self.used[part.runner.id] += JOB.tokens * part.size

    def share_loads(self):
        """Give every VM the load of all runners, as an exchange between them would."""
        for ledger in self.ledgers:
            ledger.set_others(
                {runner_id: RunnerLoad(1, 0, kv) for runner_id, kv in self.used.items()}
            )


@pytest.fixture
def five_domains(runner):
    """Return five domains with one holder of each layer; the first has faster cards."""
    return [
        runner("medium" if domain == "a" else "small", domain, (at, at + 5))
        for domain in "abcde"
        for at in range(0, 80, 5)
    ]


@pytest.mark.parametrize("has_shared_loads", [False, True])
def test_vms_with_stale_loads_do_not_all_fill_the_same_runners(
    engine, five_domains, clock, has_shared_loads
):
    # Guards against all VMs choosing the same domain: after a restart of all at once,
    # when their callers reconnect within half a second, or when many requests come
    # between two exchanges of loads.
    engine = replace(engine, kv_bytes=4 * engine.kv_bytes)
    burst = Burst(STREAMS, clock)
    if has_shared_loads:
        burst.share_loads()
    burst.send(engine, five_domains, STREAMS)
    assert burst.rejected <= STREAMS / 10


def test_vms_that_start_together_do_not_all_choose_the_fastest_runners(
    engine, runner, clock
):
    # Guards against overload when all callers reconnect to VMs that have just started:
    # each had only itself in its list of VMs, so all chose the runners that are fastest
    # for the requests of one VM.
    runners = [
        runner("medium" if domain == "a" else "small", domain, (at, at + 5))
        for domain in "abcde"
        for at in range(0, 80, 5)
        for _ in range(2)
    ]
    engine = replace(engine, kv_bytes=8 * engine.kv_bytes)
    burst = Burst(STREAMS, clock)
    burst.share_loads()
    burst.send(engine, runners, STREAMS, known_vms=1)
    assert burst.rejected <= STREAMS / 10
