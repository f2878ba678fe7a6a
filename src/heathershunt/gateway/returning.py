"""When a caller that was refused for want of the store may come back; pure."""

LEAST_MS = 300
# Part of the time for which the store has been away. How long an outage will last is
# not known; one that has lasted long mostly lasts some time more.
AGE_PART = 0.5
# Part of the caller's time that is left. Another VM may have what this one lacks, and
# needs the rest to serve the request.
LEFT_PART = 0.25


def retry_after_ms(age_ms: int | None, left_ms: int | None) -> int:
    """Return the time after which a request is likely to be served.

    :param age_ms: age of the view of the store; ``None`` without any contact so far.
    :param left_ms: time until the caller gives up; ``None`` if it named none.

    .. versionadded:: 0.5
    """
    wait_ms = AGE_PART * (age_ms or 0)
    if left_ms is not None:
        wait_ms = min(wait_ms, LEFT_PART * left_ms)
    return max(LEAST_MS, int(wait_ms))
