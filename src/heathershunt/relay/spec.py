"""Parameters of an admitted stream."""

from dataclasses import dataclass

from heathershunt.catalog import Engine, Route
from heathershunt.clock import Millis
from heathershunt.pipelines import Job
from heathershunt.relay.earlier import NO_SENDS, EarlierSends
from heathershunt.relay.messages import CallerRequest
from heathershunt.relay.timeouts import StreamTimeouts


@dataclass(frozen=True, slots=True)
class StreamSpec:
    """Request, route and limits of an admitted stream.

    :param service: name of the service that the stream is sent to.
    :param engine: engine of that service.
    :param account: name of the client account; ``None`` if the route needs no API key.
    :param deadline: time by which the stream must have ended.
    :param earlier: sends of the stream by other VMs.
    :param rank: priority, that of the account if it has one; 0 is the highest.
    :param is_ordered: whether the stream waits for capacity in the order of priorities
        and accounts.

    .. versionadded:: 0.3
    """

    request: CallerRequest
    route: Route
    service: str
    engine: Engine
    account: str | None
    deadline: Millis
    earlier: EarlierSends = NO_SENDS
    rank: int = 0
    is_ordered: bool = False

    @property
    def timeouts(self) -> StreamTimeouts:
        """Return the timeouts of the route."""
        return StreamTimeouts.from_route(self.route)

    @property
    def job(self) -> Job:
        """Return the prompt and answer lengths to choose a chain for."""
        request = self.request
        estimate = request.estimated_tokens or self.engine.mean_answer_tokens
        limit = request.max_tokens
        answer = min(estimate or limit, limit) if limit else estimate
        return Job(request.prompt_tokens, max(1.0, answer))
