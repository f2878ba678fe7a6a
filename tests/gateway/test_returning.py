"""The load answered here: callers that are refused during an outage of the store.

Each has one repeat. The outage lasts longer than API keys may be accepted without the
store, and its end is not known.
"""

import random

import pytest

from heathershunt.gateway.returning import LEAST_MS, retry_after_ms

ACCEPTED_MS = 4500
STREAM_MS = 20_000
CALL_MS = 1500
CALLERS = 4000


def share_served(wait):
    """Return the share of streams that come back to a store that is back."""
    source = random.Random(7)
    served = 0
    for _ in range(CALLERS):
        outage_ms = source.uniform(ACCEPTED_MS, 15_000)
        age_ms = source.uniform(ACCEPTED_MS, outage_ms)
        served += outage_ms <= age_ms + wait(int(age_ms)) < age_ms + STREAM_MS
    return served / CALLERS


def test_streams_come_back_when_the_store_is_likely_to_be_back():
    # Guards against callers that use up their repeat while nothing has changed.
    soon = share_served(lambda age_ms: LEAST_MS)
    later = share_served(lambda age_ms: retry_after_ms(age_ms, STREAM_MS))
    assert later > 2 * soon
    assert later > 0.6


@pytest.mark.parametrize("age_ms", [None, 0, 5000, 60_000, 3_600_000])
def test_caller_has_time_left_to_be_served_elsewhere(age_ms):
    # Guards against callers that could have been served by a VM that has the store.
    for left_ms in (CALL_MS, STREAM_MS):
        assert LEAST_MS <= retry_after_ms(age_ms, left_ms) <= left_ms / 3


def test_vm_without_a_view_yet_asks_to_come_back_soon():
    assert retry_after_ms(None, None) == LEAST_MS
