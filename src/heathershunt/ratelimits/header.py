"""The header field in which targets of the daemon name their limit."""

import math
from collections.abc import Mapping

import logbook

RATE_LIMIT_HEADER = "rate-limit"

log = logbook.Logger("heathershunt.ratelimits")


def decode_limit(headers: Mapping[str, str], name: str) -> float | None:
    """Return the requests a second that a target takes; ``None`` without a limit.

    A malformed limit counts as none.

    :param name: name of the header field, in lower case.
    """
    text = headers.get(name)
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
