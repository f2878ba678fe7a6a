import random

import pytest

from heathershunt.discovery import Member
from heathershunt.forwarding import HopChooser
from heathershunt.http import Address

MAX_ASKED = 4
REQUESTS = 40
GAP_MS = 500


def members(count):
    return [
        Member(f"vm-{n}", f"10.0.0.{n}:80", "abc"[n % 3], Address(f"10.0.0.{n}", 81))
        for n in range(count)
    ]


def asked_until_taken(chooser, cut):
    """Return how many VMs one request asks; ``None`` if no VM took it."""
    asked = set()
    while len(asked) < MAX_ASKED:
        member = chooser.choose(asked)
        asked.add(member.vm)
        if member.vm not in cut:
            chooser.record_taken(member.vm)
            return len(asked)
        chooser.leave_out(member.vm)
    return None


def choices(clock, is_cut):
    fleet = members(71)
    chooser = HopChooser(clock, "vm-0", "a", lambda: fleet, random.Random(1))
    cut = {member.vm for member in fleet if is_cut(member)}
    results = []
    for _ in range(REQUESTS):
        results.append(asked_until_taken(chooser, cut))
        clock.advance(GAP_MS)
    return results


# Guards against a VM of a large domain that is cut off as a whole: with a request every
# 500 ms it asked only VMs of its own domain, none of which could take it.
def test_other_domains_are_asked_when_the_whole_domain_is_cut_off(clock):
    results = choices(clock, lambda member: member.domain == "a")
    assert None not in results
    assert max(results) <= 3


# Guards against requests that ask only VMs that are cut off too, where most are.
@pytest.mark.parametrize("share", [0.6, 0.8])
def test_vms_that_took_a_request_are_asked_again_when_most_are_cut_off(clock, share):
    rng = random.Random(2)
    shares = {f"vm-{n}": rng.random() for n in range(71)}
    results = choices(clock, lambda member: shares[member.vm] < share)
    assert results.count(None) <= REQUESTS // 10
