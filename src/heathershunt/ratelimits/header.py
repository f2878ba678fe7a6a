"""The header field in which targets of the daemon name their limit."""

from collections.abc import Mapping

import logbook
import msgspec

from heathershunt.clock import SystemClock
from heathershunt.logs import RepeatLimiter
from heathershunt.schema.fields import Amount

RATE_LIMIT_HEADER = "rate-limit"

MAX_QUOTED = 40

log = logbook.Logger("heathershunt.ratelimits")
_lines = RepeatLimiter(SystemClock())


def decode_limit(headers: Mapping[str, str], name: str) -> float | None:
    """Return the requests a second that a target takes; ``None`` without a limit.

    A malformed limit counts as none.

    :param name: name of the header field, in lower case.
    """
    text = headers.get(name)
    if text is None:
        return None
    try:
        return msgspec.convert(float(text), Amount)
    except ValueError:
        if _lines.take(text[:MAX_QUOTED]):
            log.warning("malformed limit in an answer: {!r}", text[:MAX_QUOTED])
        return None
