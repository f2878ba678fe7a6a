"""Ids that tie the answers of own processes to the requests on a kept connection.

A second copy of an earlier answer can arrive after the next request was written. Only
an id in the answer tells such a copy from the answer that is waited for.
"""

import itertools
from collections.abc import Awaitable, Callable

from heathershunt.http.messages import Request, Response

CORRELATION_HEADER = "x-correlation-id"

# Ids need to differ only among the requests of one connection.
_ids = itertools.count(1)


class WrongAnswerError(ConnectionError):
    """An answer to another request than the one that was sent.

    .. versionadded:: 0.5
    """


def next_correlation_id() -> str:
    """Return an id that this process has not used before."""
    return str(next(_ids))


def correlated(
    handler: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler whose answers repeat the id of their request.

    .. versionadded:: 0.5
    """

    async def handle(request: Request) -> Response:
        response = await handler(request)
        correlation_id = request.headers.get(CORRELATION_HEADER)
        if correlation_id is None:
            return response
        headers = {**response.headers, CORRELATION_HEADER: correlation_id}
        return Response(response.status, headers, response.body)

    return handle
