"""Requests and responses of the handlers of a server."""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from heathershunt.verdict import Refusal

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class Request:
    """One request, with header names in lower case.

    :param path: percent-decoded path.
    :param peer: IP address of the sender.
    :param target: path and query as received, not decoded.
    :param fields: all header fields in the received order, including repeated ones,
        with names in lower case.

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
        """Queue body bytes without blocking."""

    def backlog(self) -> int:
        """Return the number of queued bytes that have not been sent yet."""

    async def drain(self) -> None:
        """Wait until the backlog is small enough to write more."""

    async def wait_closed(self) -> None:
        """Wait until the caller's connection is closed."""


@dataclass(frozen=True)
class StreamResponse:
    """A response whose body is written by ``run``; it ends when ``run`` returns.

    If ``run`` raises, the connection is aborted without the end of the body, so that a
    truncated response never looks complete.

    :param on_closed: called once, when the body has ended or failed, even if ``run``
        was never called.
    :param on_confirmed: called when the caller has shown that it received the whole
        body, by sending its next request or closing its side of the connection.

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
    """Return a response with the RFC 9457 problem document of ``refusal``.

    ``retry-after`` is in whole seconds, rounded up; ``retry_after_ms`` is exact.
    """
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
