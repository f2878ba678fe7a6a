"""One plain call: its targets, and what their replies mean."""

import asyncio
from dataclasses import dataclass, field

from result import Ok, Result

from heathershunt.catalog import Route
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import Response, TransportError
from heathershunt.relay.call_crashes import CallWitness
from heathershunt.relay.earlier import EarlierSends
from heathershunt.relay.messages import CallerRequest, ReplyHead
from heathershunt.relay.retrying import RequestRetries
from heathershunt.verdict import Progress

SERVER_ERROR = 500
TIMEOUT_DETAIL = "no complete answer in time"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply from a target.

    .. versionadded:: 0.2
    """

    head: ReplyHead
    body: bytes

    def response(self) -> Response:
        """Return the reply as a response to the caller."""
        return Response(self.head.status, self.head.headers, self.body)


# The outcome of one send.
Outcome = Result[Reply, TransportError]


@dataclass(slots=True)
class Call:
    """One call of a caller, and what was tried for it.

    :param deadline: time by which the caller must have the response.
    :param witness: reports crashes of the call's targets.
    :param retries: takes the retries of the call.
    :ivar tried: ids of the targets that the call was sent to.
    :ivar received_by: ids of the targets that may have received the call.
    :ivar sends: sends that may have reached a target.
    :ivar connect_failures: sends that failed before any byte was sent.
    :ivar may_have_started: whether a target may have run the call.
    :ivar held: exchange with a silent target that is waited for while others are
        tried; ``None`` without one.

    .. versionadded:: 0.8
    """

    request: CallerRequest
    route: Route
    service: str
    account: str | None
    deadline: Millis
    witness: CallWitness
    retries: RequestRetries
    tried: set[str] = field(default_factory=set)
    received_by: set[str] = field(default_factory=set)
    sends: int = 0
    connect_failures: int = 0
    may_have_started: bool = False
    held: asyncio.Future | None = None

    def add_earlier(self, earlier: EarlierSends) -> None:
        """Count the sends of the call by other VMs."""
        self.tried.update(earlier.target_ids)
        self.received_by.update(earlier.target_ids)
        self.sends = earlier.sends
        self.may_have_started = earlier.may_have_run

    def all_sends(self) -> EarlierSends:
        """Return all sends of the call so far, and how many more there may be."""
        left = max(0, self.route.max_attempts - self.sends)
        received_by = frozenset(self.received_by)
        return EarlierSends(
            received_by, self.sends, self.may_have_started, left, is_counted=True
        )

    def record_send(self, target: Target) -> None:
        """Count a send that may have reached a target."""
        self.sends += 1
        self.received_by.add(target.id)

    @property
    def may_be_sent(self) -> bool:
        """Return whether the call may be sent to another target."""
        return self.sends < self.route.max_attempts

    @property
    def may_be_repeated(self) -> bool:
        """Return whether the call may be sent once more after the next send."""
        return self.route.is_retryable and self.sends + 1 < self.route.max_attempts


def is_server_error(outcome: Outcome | None) -> bool:
    """Return whether the outcome of a send is a target's answer that it failed."""
    if not isinstance(outcome, Ok):
        return False
    head = outcome.ok_value.head
    return not head.is_not_run and head.status >= SERVER_ERROR


def is_answer(reply: Reply) -> bool:
    """Return whether a reply may be passed on as the answer to its request."""
    head = reply.head
    if head.is_success:
        return head.has_signature and not head.is_not_run
    return head.may_be_passed_on and not head.is_not_run


async def report_outcome(
    witness: CallWitness,
    target: Target,
    sent_at: Millis,
    outcome: Outcome,
) -> None:
    """Report what the outcome of a send shows about the call."""
    if isinstance(outcome, Ok):
        if not outcome.ok_value.head.is_not_run:
            witness.on_answered()
    elif is_broken_off(outcome.err_value):
        await witness.on_broken_off(target, sent_at)


def is_broken_off(error: TransportError) -> bool:
    """Return whether a target received a call and closed its connection too early."""
    return error.progress is Progress.SENT and error.detail != TIMEOUT_DETAIL
