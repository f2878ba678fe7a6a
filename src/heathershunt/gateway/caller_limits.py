"""Limits on the connections and requests of callers."""

from heathershunt.catalog import Catalog
from heathershunt.http import HttpLimits

BODY_TIMEOUT_MS = 15_000
# Every request uses two file descriptors: the caller's connection and the target's.
DESCRIPTORS_PER_CONNECTION = 2
RESERVED_DESCRIPTORS = 300


def caller_limits(catalog: Catalog, max_descriptors: int) -> HttpLimits:
    """Return the limits that a configuration sets.

    :param max_descriptors: file descriptors that the process may open.
    """
    limits = catalog.limits
    descriptors = max_descriptors - RESERVED_DESCRIPTORS
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        connections=max(1, descriptors // DESCRIPTORS_PER_CONNECTION),
        request_ms=BODY_TIMEOUT_MS,
        idle_ms=limits.idle_timeout_ms,
        head_ms=limits.header_timeout_ms,
    )
