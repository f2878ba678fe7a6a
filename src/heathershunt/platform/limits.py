"""Decoding of the limit that a target names in its answers."""

import math
from collections.abc import Mapping

import logbook

from heathershunt.platform.names import RATE_LIMIT

log = logbook.Logger("heathershunt.platform")


def decode_limit(headers: Mapping[str, str]) -> float | None:
    """Return the requests a second that a target takes; ``None`` without a limit.

    A malformed limit counts as none.
    """
    text = headers.get(RATE_LIMIT.decode())
    if text is None:
        return None
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if math.isfinite(per_s) and per_s >= 0:
        return per_s
    log.warning("malformed limit in an answer: {!r}", text[:40])
    return None
