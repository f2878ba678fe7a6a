"""What a caller wants of a stream."""

from dataclasses import dataclass

from heathershunt.catalog import Engine, Route
from heathershunt.clock import Millis
from heathershunt.pipelines import Job
from heathershunt.relay.messages import CallerRequest
from heathershunt.relay.timeouts import StreamTimeouts


@dataclass(frozen=True, slots=True)
class StreamSpec:
    """A stream that was admitted.

    :param service: service of the route that serves it.
    :param engine: engine of that service.
    :param account: client account, if any.
    :param deadline: time by which the stream must have ended.

    .. versionadded:: 0.3
    """

    request: CallerRequest
    route: Route
    service: str
    engine: Engine
    account: str | None
    deadline: Millis

    @property
    def timeouts(self) -> StreamTimeouts:
        """Return the times that the route allows."""
        return StreamTimeouts.from_route(self.route)

    @property
    def job(self) -> Job:
        """Return what the stream asks of a chain."""
        request = self.request
        likely = request.likely_tokens or self.engine.usual_answer
        most = request.most_tokens
        answer = min(likely or most, most) if most else likely
        return Job(request.prompt_tokens, max(1.0, answer))
