"""Delays between retries, and the load of a fleet on an unavailable store."""

from heathershunt.coordination.backoff import Backoff
from heathershunt.coordination.lease import RETRY_MAX_MS, RETRY_MIN_MS

OUTAGE_MS = 8000
# Entries whose leases expired in an outage must be written again within about two
# seconds.
REREGISTRATION_MS = 2000


def test_delays_grow_to_a_maximum_and_reset_after_a_success():
    backoff = Backoff(50, 400)
    delays = [backoff.next_ms() for _ in range(50)]
    assert all(50 <= delay <= 400 for delay in delays)
    assert delays[0] <= 100
    assert max(delays[3:]) > 200
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_calls_during_an_outage_are_few_and_renewal_resumes_soon():
    # Guards against thousands of billed calls from a large fleet while the store is
    # unavailable, and against entries that are written again too late.
    calls = elapsed_ms = 0
    backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
    while elapsed_ms < OUTAGE_MS:
        elapsed_ms += backoff.next_ms()
        calls += 1
    assert calls <= 30
    assert RETRY_MAX_MS <= REREGISTRATION_MS / 2
