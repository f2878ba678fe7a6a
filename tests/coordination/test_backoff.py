"""Load: a fleet that asks a store which is away."""

from heathershunt.coordination.backoff import Backoff
from heathershunt.coordination.lease import RETRY_LEAST_MS, RETRY_MOST_MS

OUTAGE_MS = 8000
# Entries that lapsed with the store are to be back within about two seconds.
BACK_WITHIN_MS = 2000


def test_pauses_grow_to_a_bound_and_start_anew_after_a_success():
    backoff = Backoff(50, 400)
    pauses = [backoff.next_ms() for _ in range(50)]
    assert all(50 <= pause <= 400 for pause in pauses)
    assert pauses[0] <= 100
    assert max(pauses[3:]) > 200
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_renewals_during_an_outage_are_few_and_resume_soon():
    # Guards against thousands of priced calls from a large fleet while the store is
    # away, and against entries that come back too late.
    calls = spent = 0
    backoff = Backoff(RETRY_LEAST_MS, RETRY_MOST_MS)
    while spent < OUTAGE_MS:
        spent += backoff.next_ms()
        calls += 1
    assert calls <= 30
    assert RETRY_MOST_MS <= BACK_WITHIN_MS / 2
