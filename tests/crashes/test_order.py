"""The order of crashes, as VMs tell each other of them with different delays."""

import itertools

import pytest

from heathershunt.clock import Millis
from heathershunt.crashes import (
    CrashDigest,
    CrashEvidence,
    Evidence,
    PartJudge,
    PartKey,
    RunnerCrash,
)

KEY = PartKey("a", "request:1")
# A retry is sent 1 ms after the crash of the first target, and crashes the second.
FIRST = (900, 1000)
SECOND = (1001, 1060)


def add(judge, runner, times, key=KEY):
    sent_at, crashed_at = map(Millis, times)
    crash = RunnerCrash(runner, 1)
    item = CrashEvidence(key, crash, sent_at, crashed_at, Evidence.BEGUN)
    judge.add(item, crashed_at)


def is_blocked(judge, at, part="request:1"):
    return judge.block("a", [part], Millis(at)) is not None


def messages():
    """Return the digests that a VM sends after each of two crashes."""
    judge = PartJudge()
    add(judge, "r1", FIRST)
    after_first = CrashDigest.from_judge(judge, Millis(1000))
    add(judge, "r2", SECOND)
    assert is_blocked(judge, 1060)
    return after_first, CrashDigest.from_judge(judge, Millis(1060))


# Guards against VMs that know of both crashes and still do not block the request, as
# the message on the first one took longer than the one on the second.
@pytest.mark.parametrize("delays", list(itertools.product((0, 1, 5, 20, 50), repeat=2)))
def test_crashes_keep_their_order_whatever_the_delays_are(delays):
    first, second = messages()
    judge = PartJudge()
    arrivals = [(1000 + delays[0], first), (1060 + delays[1], second)]
    for at, digest in sorted(arrivals, key=lambda arrival: arrival[0]):
        digest.apply(judge, Millis(at))
    assert is_blocked(judge, 1200)


# Guards against an order that is lost where a third VM passes the messages on.
@pytest.mark.parametrize("delays", list(itertools.product((0, 20), repeat=3)))
def test_crashes_keep_their_order_through_another_vm(delays):
    first, second = messages()
    middle, last = PartJudge(), PartJudge()
    first.apply(middle, Millis(1000 + delays[0]))
    second.apply(middle, Millis(1060 + delays[1]))
    first.apply(last, Millis(1030))
    CrashDigest.from_judge(middle, Millis(1100)).apply(last, Millis(1100 + delays[2]))
    assert is_blocked(last, 1200)


# Guards against runners of a rack that count as crashes in sequence by the delays.
def test_crashes_at_the_same_time_stay_one_after_repeated_messages():
    judge, other = PartJudge(), PartJudge()
    for number, crashed_at in enumerate((1000, 1001, 1040)):
        times = (crashed_at - 200, crashed_at)
        add(judge, f"r{number}", times, PartKey("a", "shared"))
    for delay in (50, 3, 20, 0):
        digest = CrashDigest.from_judge(judge, Millis(1100))
        digest.apply(other, Millis(1100 + delay))
    assert not is_blocked(other, 1200, "shared")
