"""Requests of callers, what the router adds to them, and heads of replies."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from heathershunt.availability import Notice
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import ClientResponse, Response, TransportError
from heathershunt.pipelines import Chain
from heathershunt.verdict import Progress, Refusal

# Statuses that state that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller; a retry by the caller is another one.

    :param target: path and query as sent.
    :param fields: header fields to pass on unchanged.
    :param deadline: time by which the caller stops waiting; ``None`` if it named none.
    :param api_key: API key, ``None`` without one.
    :param prompt_tokens: length of the prompt; 0 for plain calls.
    :param max_tokens: limit of the tokens to generate; 0 without one.
    :param estimated_tokens: the caller's estimate of the tokens to generate.
    :param last_event_id: id of the event after which a stream resumes; ``None`` for
        its start.
    :param prompt_parts: ids of the parts of the prompt, in order; requests share parts,
        except for the last one.

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
    api_key: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    estimated_tokens: int | None = None
    last_event_id: int | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds to a request for one send.

    :param left_ms: time left for the target to answer, in milliseconds.
    :param account: name of the client account; ``None`` if the route needs no API key.
    :param chain: runners that process the request; ``None`` for plain calls.
    :param rank: priority of the request, 0 being the highest; ``None`` for plain calls.
    :param last_event_id: id of the event after which the run starts; ``None`` for the
        start of the stream.

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
    """Decoded head of a target's reply.

    :param request_id: request id that the target echoes; empty without one.
    :param has_signature: whether the reply carries a signature of the target.
    :param is_not_run: whether the target states that it did not run the request.
    :param faulty_address: runner of the chain that caused the failure, as ``ip:port``;
        ``None`` if none is named.
    :param limit_per_s: requests a second that the target takes from all VMs together;
        ``None`` if it names no limit.
    :param notice: what the reply says of the target's availability.
    :param headers: header fields to pass back to the caller.

    .. versionadded:: 0.2
    """

    status: int
    request_id: str
    has_signature: bool
    is_not_run: bool
    faulty_address: str | None
    limit_per_s: float | None
    notice: Notice
    headers: Mapping[str, str]

    def error_unless_to(self, request_id: str) -> TransportError | None:
        """Return an error unless the reply is to the request with this id.

        Nothing that it says counts then, in particular not that a request was not run:
        a target may send a reply to an earlier request once more.
        """
        if self.request_id == request_id:
            return None
        return TransportError(Progress.SENT, "the reply is not to this request")

    @property
    def may_be_passed_on(self) -> bool:
        """Return whether the caller may get the status of a reply that was run.

        Some statuses state that the request was not run.
        """
        return self.status not in NOT_RUN_STATUSES

    @property
    def is_final_error(self) -> bool:
        """Return whether the reply is an error of the request for any runner."""
        return 400 <= self.status < 500 and self.may_be_passed_on

    @property
    def starts_stream(self) -> bool:
        """Return whether events of a run follow; a reply without a type may do so."""
        content_type = self.headers.get("content-type", EVENT_STREAM)
        is_stream = content_type.partition(";")[0].strip().lower() == EVENT_STREAM
        return self.status == 200 and self.has_signature and is_stream

    @property
    def is_success(self) -> bool:
        """Return whether the status says that the request succeeded."""
        return 200 <= self.status < 300


class TargetWire(Protocol):
    """Encodes requests to targets and decodes their replies.

    .. versionadded:: 0.2
    """

    def fields(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request to a target."""

    def reply_head(self, response: ClientResponse) -> ReplyHead:
        """Return the decoded head of a reply."""

    def refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the response to a caller whose request was refused or failed."""


def refuse(
    wire: TargetWire, refusal: Refusal, request: CallerRequest | None
) -> Response:
    """Return the response to a caller for a refusal.

    :param request: refused request; without it, the response has no request id.
    """
    return wire.refusal(refusal, request.id if request else "")
