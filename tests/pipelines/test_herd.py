"""The load answered here: bursts of streams at VMs that know little of each other."""

from collections import Counter
from dataclasses import replace

import pytest

from heathershunt.pipelines import ChainChooser, Job, LoadLedger, PaceBook
from heathershunt.pipelines.chooser import kv_capacity
from heathershunt.pipelines.load import RunnerLoad

JOB = Job(760, 167)
STREAMS = 160


class Herd:
    """VMs that choose for a burst of streams, each without news of the others."""

    def __init__(self, vms, clock):
        self.ledgers = [LoadLedger(clock) for _ in range(vms)]
        self.choosers = [
            ChainChooser(led, PaceBook(clock, print)) for led in self.ledgers
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

    def inform(self):
        """Tell every VM the load of all others."""
        for ledger in self.ledgers:
            ledger.set_others(
                {runner_id: RunnerLoad(1, 0, kv) for runner_id, kv in self.used.items()}
            )


@pytest.fixture
def five_domains(runner):
    """Five domains with one holder of each layer; the first one has faster cards."""
    return [
        runner("medium" if domain == "a" else "small", domain, (at, at + 5))
        for domain in "abcde"
        for at in range(0, 80, 5)
    ]


@pytest.mark.parametrize("is_informed", [False, True])
def test_vms_without_news_do_not_all_fill_the_same_runners(
    engine, five_domains, clock, is_informed
):
    # The load: all VMs are restarted at once and their callers come back within half a
    # second, or many come between two exchanges of loads. All chose the same domain.
    engine = replace(engine, kv_bytes=4 * engine.kv_bytes)
    herd = Herd(STREAMS, clock)
    if is_informed:
        herd.inform()
    herd.send(engine, five_domains, STREAMS)
    assert herd.rejected <= STREAMS / 10


def test_vms_that_were_all_started_at_once_do_not_know_how_many_they_are(
    engine, runner, clock
):
    # The load: all callers come back to VMs that have just started. Each knew only
    # itself, so all chose the runners that are the fastest ones for one VM's requests.
    runners = [
        runner("medium" if domain == "a" else "small", domain, (at, at + 5))
        for domain in "abcde"
        for at in range(0, 80, 5)
        for _ in range(2)
    ]
    engine = replace(engine, kv_bytes=8 * engine.kv_bytes)
    herd = Herd(STREAMS, clock)
    herd.inform()
    herd.send(engine, runners, STREAMS, known_vms=1)
    assert herd.rejected <= STREAMS / 10
