"""What was done for a request before this VM relays it, and when it is not served."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from heathershunt.http import Response, StreamResponse
from heathershunt.relay.resumption import ResumePoint
from heathershunt.verdict import Refusal


@dataclass(frozen=True, slots=True)
class EarlierSends:
    """Sends of a request so far, also by other VMs.

    :param target_ids: ids of the targets that may have received it, as far as they are
        known and count for the attempts of its route.
    :param sends: number of sends that may have reached a target.
    :param may_have_run: whether a target may have run it.
    :param attempts: number of further targets that it may be sent to; ``None`` for what
        its route allows.
    :param is_counted: whether the request is counted in a retry budget.

    .. versionadded:: 0.10
    """

    target_ids: frozenset[str] = frozenset()
    sends: int = 0
    may_have_run: bool = False
    attempts: int | None = None
    is_counted: bool = False

    def max_attempts(self, allowed: int) -> int:
        """Return the number of targets, with those of the earlier sends.

        :param allowed: number of targets that the route allows.
        """
        return allowed if self.attempts is None else self.sends + self.attempts


NO_SENDS = EarlierSends()


@dataclass(frozen=True, slots=True)
class Unserved:
    """A request for which this VM has no answer of a target.

    :param refusal: answer for the caller if nothing else can be done.
    :param sends: all sends of the request.
    :param resume: where a stream goes on that has begun; ``None`` for its start.

    .. versionadded:: 0.10
    """

    refusal: Refusal
    sends: EarlierSends
    resume: ResumePoint | None = None


# Returns an answer, by other means, to a request that was not served, or why these
# means failed; ``None`` if there are none.
Fallback = Callable[[Unserved], Awaitable[Response | StreamResponse | Refusal | None]]


async def no_fallback(unserved: Unserved) -> None:
    """Return ``None``: the caller gets the refusal."""
