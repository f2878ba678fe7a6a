"""Ids that match responses to requests on a persistent connection.

A duplicate of an earlier response can arrive after the next request was written. Only
an id in the response distinguishes it from the expected one. The servers of this
project repeat the id of the request.
"""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import replace

from heathershunt.http.messages import Request, Response, StreamResponse

CORRELATION_HEADER = "x-correlation-id"

# Ids need to be unique only within one connection.
_ids = itertools.count(1)


class WrongAnswerError(ConnectionError):
    """A response that does not repeat the id of the request.

    .. versionadded:: 0.5
    """


def next_correlation_id() -> str:
    """Return an id that this process has not used before."""
    return str(next(_ids))


def correlated(
    handler: Callable[[Request], Awaitable[Response | StreamResponse]],
) -> Callable[[Request], Awaitable[Response | StreamResponse]]:
    """Wrap a handler so that its responses repeat the id of the request.

    .. versionadded:: 0.5
    """

    async def handle(request: Request) -> Response | StreamResponse:
        response = await handler(request)
        correlation_id = request.headers.get(CORRELATION_HEADER)
        if correlation_id is None:
            return response
        headers = {**response.headers, CORRELATION_HEADER: correlation_id}
        return replace(response, headers=headers)

    return handle
