"""Requests and responses as the handlers of a server see them."""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from heathershunt.verdict import Refusal

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class Request:
    """One request, with header names in lower case.

    :param peer: IP address of the sender.
    :param target: path and query as they were sent, without decoding.
    :param fields: header fields in the order of arrival, repeated ones too, with names
        in lower case.

    .. versionadded:: 0.1
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    peer: str = ""
    target: str = ""
    fields: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True)
class Response:
    """A response whose body is complete.

    .. versionadded:: 0.1
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


class ResponseStream(Protocol):
    """Sink of a streamed response body.

    .. versionadded:: 0.1
    """

    def write(self, data: bytes) -> None:
        """Queue body bytes; never blocks."""

    def backlog(self) -> int:
        """Return the bytes queued that the caller has not taken yet."""

    async def drain(self) -> None:
        """Wait until the caller has taken enough of the backlog."""

    async def wait_closed(self) -> None:
        """Wait until the caller's connection is closed."""


@dataclass(frozen=True)
class StreamResponse:
    """A response whose body is written by ``run``; it ends when ``run`` returns.

    If ``run`` raises, the connection is cut without the end of the body, so that a
    truncated answer never looks complete.

    :param on_closed: called once the body has ended, also if ``run`` never began.
    :param on_confirmed: called when the caller shows that it took the whole body: it
        sends its next request or closes its side of the connection.

    .. versionadded:: 0.1
    """

    status: int
    headers: Mapping[str, str]
    run: Callable[[ResponseStream], Awaitable[None]]
    on_confirmed: Callable[[], None] | None = None
    on_closed: Callable[[], None] | None = None


def json_response(
    status: int, payload: Any, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    body = json.dumps(payload, separators=(",", ":")).encode()
    return Response(
        status, {"content-type": "application/json", **(headers or {})}, body
    )


def problem_response(refusal: Refusal) -> Response:
    """Return the RFC 9457 problem document of ``refusal``."""
    payload = {
        "type": "about:blank",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "verdict": refusal.verdict.value,
    }
    headers = {"content-type": "application/problem+json"}
    if refusal.retry_after is not None:
        seconds = -(-refusal.retry_after // MILLISECONDS_PER_SECOND)
        headers["retry-after"] = str(max(1, seconds))
        payload["retry_after_ms"] = refusal.retry_after
    if refusal.address is not None:
        payload["address"] = refusal.address
    body = json.dumps(payload, separators=(",", ":")).encode()
    return Response(refusal.status, headers, body)
