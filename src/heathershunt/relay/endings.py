"""How the process of a target stands after it broke off a plain call."""

from enum import Enum

from heathershunt.discovery import Target, TargetRegistry
from heathershunt.http import HttpClient

CONNECT_MS = 100


class Ending(Enum):
    """State of a target's process after a connection to it broke.

    :cvar CRASHED: the process has ended or restarted, and had not announced that.
    :cvar LEFT: it was leaving, or its entry was gone from the store.
    :cvar RUNS: it accepts connections.
    :cvar UNKNOWN: it neither accepts nor refuses them, as behind a cut link.

    .. versionadded:: 0.8
    """

    CRASHED = "crashed"
    LEFT = "left"
    RUNS = "runs"
    UNKNOWN = "unknown"


async def find_ending(
    target: Target, registry: TargetRegistry, http: HttpClient
) -> Ending:
    """Return how the process of a target stands, which is looked up once.

    A health check would wait for a free slot, so a connection is opened instead.

    :param target: target as it was listed when the call was sent.
    """
    known = registry.get(target.id)
    if known is None or known.is_draining or registry.is_missing(target.id):
        return Ending.LEFT
    if known.incarnation != target.incarnation:
        return Ending.CRASHED
    accepts = await http.accepts(target.address, CONNECT_MS)
    if accepts is None:
        return Ending.UNKNOWN
    return Ending.RUNS if accepts else Ending.CRASHED
