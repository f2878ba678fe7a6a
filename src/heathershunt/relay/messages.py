"""A caller's request, what the router adds to it, and the head of a reply."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import ClientResponse, Response
from heathershunt.pipelines import Chain
from heathershunt.verdict import Refusal


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller.

    :param target: path and query as they were sent.
    :param fields: header fields to pass on as they are.
    :param deadline: time by which the caller stops waiting; ``None`` if it named none.
    :param key: API key, ``None`` without one.
    :param prompt_tokens: tokens to read, 0 for plain calls.
    :param most_tokens: most tokens to write.
    :param likely_tokens: the caller's own estimate of the tokens to write.
    :param last_event_id: event after which a stream goes on; ``None`` for its start.

    .. versionadded:: 0.2
    """

    id: str
    method: str
    host: str
    target: str
    fields: Sequence[tuple[bytes, bytes]]
    body: bytes
    received_at: Millis
    deadline: Millis | None = None
    key: str | None = None
    prompt_tokens: int = 0
    most_tokens: int = 0
    likely_tokens: int | None = None
    last_event_id: int | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds for one send.

    :param left_ms: time that the target has.
    :param account: name of the client account; ``None`` on public routes.
    :param chain: runners that the request passes through; ``None`` for plain calls.

    .. versionadded:: 0.2
    """

    target: Target
    left_ms: int
    account: str | None = None
    chain: Chain | None = None
    rank: int | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """What the head of a target's reply says.

    :param request_id: id that the target echoes; empty without one.
    :param has_receipt: whether the target vouches for its answer.
    :param is_not_run: the target states that it did not run the request.
    :param faulty_address: runner of the chain that is to blame, as ``ip:port``.
    :param headers: fields to pass back to the caller.

    .. versionadded:: 0.2
    """

    status: int
    request_id: str
    has_receipt: bool
    is_not_run: bool
    faulty_address: str | None
    headers: Mapping[str, str]

    @property
    def is_success(self) -> bool:
        """Return whether the status says that the request succeeded."""
        return 200 <= self.status < 300


class TargetWire(Protocol):
    """How requests are written to targets and how their replies are read.

    .. versionadded:: 0.2
    """

    def fields(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request to a target."""

    def reply_head(self, response: ClientResponse) -> ReplyHead:
        """Return what the head of a reply says."""

    def refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the answer to a caller whose request failed here."""


def refuse(
    wire: TargetWire, refusal: Refusal, request: CallerRequest | None
) -> Response:
    """Return the answer for a refusal."""
    return wire.refusal(refusal, request.id if request else "")
