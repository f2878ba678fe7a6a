"""Decision which requests a VM that stops still takes."""

from collections import deque

from heathershunt.clock import Clock, Millis

# Answers of a route whose times are kept.
KEPT_ANSWERS = 32
# A request is taken if the time that is left is this many times the longest recent one.
MARGIN_FACTOR = 1.25
# Added to that, as a sound target may be silent for a second or so.
SILENCE_MS = 1500


class AnswerTimes:
    """Times that the answers of each route took from the request to their end.

    .. versionadded:: 0.9
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_by_route: dict[str, deque[int]] = {}
        self._started_by_route: dict[str, dict[str, Millis]] = {}

    def start(self, route: str, request_id: str) -> None:
        """Record that a request of a route is served from now on."""
        started = self._started_by_route.setdefault(route, {})
        started[request_id] = self._clock.now()

    def end(self, route: str, request_id: str, is_answered: bool) -> None:
        """Record that a request is no longer served.

        :param is_answered: whether a target has answered it; only then it counts.
        """
        started_at = self._started_by_route.get(route, {}).pop(request_id, None)
        if started_at is None or not is_answered:
            return
        ended = self._ended_by_route.setdefault(route, deque(maxlen=KEPT_ANSWERS))
        ended.append(self._clock.now() - started_at)

    def longest_ms(self, route: str) -> int | None:
        """Return the longest recent time of a route; ``None`` if there is none.

        A request that is served now counts with the time that it has taken so far, as
        targets may have become slow.
        """
        ended = self._ended_by_route.get(route)
        if not ended:
            return None
        now = self._clock.now()
        running = self._started_by_route.get(route, {}).values()
        return max(*ended, *(now - started_at for started_at in running), 0)


class StopGate:
    """Tells whether a request still fits before the process ends.

    One that is turned away at once may be sent to another VM; one that is taken and cut
    may have run, so most may not be sent again.

    :ivar ends_at: time by which all answers must have ended; ``None`` until the process
        is asked to stop.

    .. versionadded:: 0.9
    """

    def __init__(self, clock: Clock, times: AnswerTimes) -> None:
        self._clock = clock
        self._times = times
        self.ends_at: Millis | None = None

    def may_take(self, route: str, deadline: Millis) -> bool:
        """Return whether a request of a route may be taken.

        :param deadline: time by which it is answered in any case.
        """
        if self.ends_at is None or deadline <= self.ends_at:
            return True
        longest_ms = self._times.longest_ms(route)
        if longest_ms is None:
            return False
        needed_ms = MARGIN_FACTOR * longest_ms + SILENCE_MS
        return self._clock.now() + needed_ms <= self.ends_at
