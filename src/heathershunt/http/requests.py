"""Limits on requests, and the conversion of requests parsed by h11."""

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from heathershunt.http.messages import Request


@dataclass(frozen=True)
class HttpLimits:
    """Limits of one listener.

    :param header_bytes: largest request line and header block together.
    :param body_bytes: largest request body.
    :param connections: largest number of open connections.
    :param request_ms: longest time from the first byte of a request to its last.
    :param idle_ms: longest time between two requests on a connection.
    :param head_ms: longest time from the first byte of a request to the end of its
        headers.

    .. versionadded:: 0.1
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    connections: int = 4096
    request_ms: int = 10_000
    idle_ms: int = 75_000
    head_ms: int = 10_000


class RequestRejectedError(Exception):
    """A request that violates the protocol or a limit.

    :ivar status: HTTP status of the response.
    :ivar detail: detail of the problem document in the response.

    .. versionadded:: 0.1
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


def build_request(head: h11.Request, body: bytes, peer: str) -> Request:
    """Return the request for a parsed head and its body.

    :param peer: IP address of the sender.
    :raises RequestRejectedError: if the target is not valid.

    .. versionadded:: 0.5
    """
    try:
        target = urlsplit(head.target.decode("ascii"))
    except ValueError as error:
        detail = f"The request target is not valid: {error}."
        raise RequestRejectedError(400, detail) from None
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return Request(
        head.method.decode("ascii"),
        unquote(target.path),
        dict(parse_qsl(target.query, keep_blank_values=True)),
        headers,
        body,
        peer,
        head.target.decode("ascii"),
        tuple((name, value) for name, value in head.headers),
    )
