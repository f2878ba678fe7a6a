"""Heads of responses."""

from http import HTTPStatus

import h11

from heathershunt.http.messages import Response, StreamResponse


def build_head(response: Response | StreamResponse, closes: bool) -> h11.Response:
    """Return the head of a response, with the framing of its body.

    :param closes: whether the connection closes after the response.
    :raises h11.LocalProtocolError: if the head is not valid HTTP/1.1.
    :raises UnicodeEncodeError: if a value has characters outside of Latin-1.

    .. versionadded:: 0.8
    """
    headers = list(response.headers.items())
    if closes:
        headers.append(("connection", "close"))
    if isinstance(response, Response):
        headers.append(("content-length", str(len(response.body))))
    else:
        headers.append(("transfer-encoding", "chunked"))
    return h11.Response(
        status_code=response.status,
        headers=[
            (name.encode("ascii"), text.encode("latin-1")) for name, text in headers
        ],
        reason=_reason_phrase(response.status).encode(),
    )


def _reason_phrase(status: int) -> str:
    """Return the reason phrase, ``""`` for the unknown statuses of plain services."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
