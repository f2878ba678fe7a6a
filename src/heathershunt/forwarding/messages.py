"""Message with which a request is forwarded, and the header fields of its answer."""

from collections.abc import Collection, Mapping
from dataclasses import replace
from urllib.parse import quote, unquote

import msgspec

from heathershunt.clock import Millis
from heathershunt.relay.earlier import EarlierSends
from heathershunt.relay.messages import CallerRequest
from heathershunt.schema.decoding import MalformedError, decode_untrusted
from heathershunt.schema.fields import Count, Text, Whole

FORWARD_PATH = "/forward/"
VERSION = 1
# The request was not sent to any target, for a reason of the receiver.
NOT_TAKEN_HEADER = "x-not-taken"
# Targets to which the receiver sent a request that it then refused.
SENT_TO_HEADER = "x-sent-to"
# The answer is one for the caller. An answer without this field is from a listener that
# took no request, as it has too many connections, or from an earlier version.
SERVED_HEADER = "x-served"
# Fields for the sending VM alone, and those that concern one connection.
_DROPPED_FIELDS = frozenset(
    {
        NOT_TAKEN_HEADER,
        SENT_TO_HEADER,
        SERVED_HEADER,
        "connection",
        "content-length",
        "transfer-encoding",
    }
)


class ForwardMessage(msgspec.Struct, array_like=True, frozen=True):
    """One request of a caller, as the VM that it reached forwards it.

    The API key is part of the request, so a message is never logged.

    :param sender: name of the VM that forwards it.
    :param request: request without its times, which are of the sender's clock.
    :param left_ms: time left to answer it, in milliseconds.
    :param sent_to: ids of the targets that may have received it.
    :param sends: number of sends that may have reached a target.
    :param may_have_run: whether a target may have run it.
    :param attempts: number of further targets that it may be sent to.
    :param is_counted: whether the sender counted it in its retry budget.

    .. versionadded:: 0.10
    """

    version: Whole
    sender: Text
    request: CallerRequest
    left_ms: Whole
    sent_to: tuple[Text, ...] = ()
    sends: Count = 0
    may_have_run: bool = False
    attempts: Count = 0
    is_counted: bool = False

    @property
    def earlier(self) -> EarlierSends:
        """Return what was done for the request before."""
        return EarlierSends(
            frozenset(self.sent_to),
            self.sends,
            self.may_have_run,
            self.attempts,
            self.is_counted,
        )

    def request_at(self, now: Millis) -> CallerRequest:
        """Return the request with times of this VM's clock."""
        deadline = Millis(now + self.left_ms)
        return replace(self.request, received_at=now, deadline=deadline)


_decoder = msgspec.msgpack.Decoder(ForwardMessage)


def encode_forward(
    sender: str, request: CallerRequest, earlier: EarlierSends, left_ms: int
) -> bytes:
    """Return the message that forwards a request.

    :param left_ms: time left to answer it, in milliseconds.
    """
    return msgspec.msgpack.encode(
        ForwardMessage(
            VERSION,
            sender,
            replace(request, received_at=Millis(0), deadline=None),
            max(0, left_ms),
            tuple(sorted(earlier.target_ids)),
            earlier.sends,
            earlier.may_have_run,
            earlier.attempts or 0,
            earlier.is_counted,
        )
    )


def decode_forward(raw: bytes) -> ForwardMessage:
    """Return the message of another VM.

    :raises MalformedError: if it is malformed or of another version.
    """
    message = decode_untrusted(_decoder.decode, raw)
    if message.version != VERSION:
        raise MalformedError(f"version {message.version} is not known")
    return message


def caller_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the header fields of an answer that are for the caller."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_FIELDS
    }


def encode_ids(target_ids: Collection[str]) -> str:
    """Return ids of targets as a value of :data:`SENT_TO_HEADER`."""
    return ",".join(quote(target_id, safe="") for target_id in sorted(target_ids))


def decode_ids(value: str) -> frozenset[str]:
    """Return the ids in a value of :data:`SENT_TO_HEADER`."""
    return frozenset(unquote(part) for part in value.split(",") if part)
