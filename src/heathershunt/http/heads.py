"""Heads of responses."""

from http import HTTPStatus

import h11

from heathershunt.http.messages import Response, StreamResponse

# Versions of which h11 reads the framing of a body. It takes any other digits as well.
KNOWN_VERSIONS = (b"1.0", b"1.1")
# The first status after those that RFC 9110 allows. h11 takes up to 999.
END_OF_STATUSES = 600


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


def check_head(response: h11.Response) -> None:
    """Check what h11 accepts of a received head though it is no valid answer.

    :raises h11.RemoteProtocolError: if the head has an invalid status or version, or
        names chunks in version 1.0, whose framing RFC 9112 calls faulty.

    .. versionadded:: 0.10
    """
    if response.status_code >= END_OF_STATUSES:
        raise h11.RemoteProtocolError(f"invalid status {response.status_code}")
    version = response.http_version
    if version not in KNOWN_VERSIONS:
        raise h11.RemoteProtocolError(f"unknown version HTTP/{version.decode()}")
    has_coding = any(name == b"transfer-encoding" for name, _ in response.headers)
    if has_coding and version != b"1.1":
        raise h11.RemoteProtocolError("chunks in an answer of HTTP/1.0")


def _reason_phrase(status: int) -> str:
    """Return the reason phrase, ``""`` for the unknown statuses of plain services."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
