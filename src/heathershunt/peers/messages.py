"""Messages between daemons: frozen dataclasses, sent as CBOR maps tagged by ``t``."""

import dataclasses
from dataclasses import dataclass, field
from typing import Annotated, Any

import cbor2
import msgspec

from heathershunt.peers.record import (
    AddressText,
    Counter,
    Name,
    Suspicion,
    VmRecord,
)

PROTOCOL = 1
MAX_MESSAGE_BYTES = 196_608
# A part of a bundle and a forwarded body travel in pieces of this size, so that a
# slow link still shows progress well within the silence limit.
CHUNK_BYTES = 65_536
MAX_RECORDS_PER_MESSAGE = 200
MAX_SUSPICIONS_PER_MESSAGE = 64
MAX_DEMANDS_PER_MESSAGE = 2048

Sha256 = Annotated[str, msgspec.Meta(max_length=64)]
Bytes = Annotated[bytes, msgspec.Meta(max_length=MAX_MESSAGE_BYTES)]
Text = Annotated[str, msgspec.Meta(max_length=2048)]


class MessageError(Exception):
    """Bytes from a peer that are not a valid message.

    .. versionadded:: 0.1
    """


@dataclass(frozen=True)
class Hello:
    """First message in both directions.

    :param address: the sender's peer listener.
    :param fresh: the sender has no link yet and needs all records.
    """

    vm: Name
    incarnation: Counter
    address: AddressText = ""
    domain: Text = ""
    fresh: bool = False
    protocol: int = PROTOCOL


@dataclass(frozen=True)
class Heartbeat:
    """Sign of life, every second on every link.

    :param hlc: hybrid logical time of the sender.
    :param digest: digest of the sender's records.
    :param keep: the sender wants this link; it is closed when neither side does.
    """

    vm: Name
    incarnation: Counter
    hlc: Counter = 0
    bundle_version: Counter = 0
    bundle_sha256: Sha256 = ""
    digest: Counter = 0
    keep: bool = True


@dataclass(frozen=True)
class Records:
    """Records that changed, and VMs that a neighbour has not seen."""

    records: Annotated[
        tuple[VmRecord, ...], msgspec.Meta(max_length=MAX_RECORDS_PER_MESSAGE)
    ] = ()
    suspicions: Annotated[
        tuple[Suspicion, ...], msgspec.Meta(max_length=MAX_SUSPICIONS_PER_MESSAGE)
    ] = ()


@dataclass(frozen=True)
class RootRequest:
    """Ask for the signed root with the given hash."""

    sha256: Sha256


@dataclass(frozen=True)
class RootReply:
    """The signed root; empty ``data`` if the sender has replaced it."""

    sha256: Sha256
    data: Bytes = b""


@dataclass(frozen=True)
class PartRequest:
    """Ask for up to ``CHUNK_BYTES`` of a part, from ``offset`` on."""

    sha256: Sha256
    offset: Counter = 0


@dataclass(frozen=True)
class PartReply:
    """A piece of a part; ``size`` is that of the whole part, 0 if it is not held."""

    sha256: Sha256
    offset: Counter = 0
    size: Counter = 0
    data: Bytes = b""


@dataclass(frozen=True)
class Forward:
    """A request to run at the receiving VM.

    :param id: unique among the requests that the sender starts on this link.
    :param kind: name of the handler.
    :param body: first piece of the body; the rest follows in ``ForwardChunk``.
    :param size: size of the whole body in bytes.
    """

    id: Counter
    kind: Name
    headers: dict[str, str] = field(default_factory=dict)
    body: Bytes = b""
    size: Counter = 0


@dataclass(frozen=True)
class ForwardChunk:
    """A piece of a body.

    :param reply: the piece belongs to the reply, not to the request.
    :param status: HTTP status; set in the first piece of a reply only.
    """

    id: Counter
    data: Bytes = b""
    reply: bool = True
    status: Annotated[int, msgspec.Meta(ge=0, le=599)] = 0
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class ForwardEnd:
    """End of a reply, or cancellation if it comes from the requesting side.

    :param verdict: value of :class:`heathershunt.verdict.Verdict`.
    :param status: HTTP status of a refusal, 0 for a complete reply.
    """

    id: Counter
    verdict: Text = "ran"
    reply: bool = True
    status: Annotated[int, msgspec.Meta(ge=0, le=599)] = 0
    title: Text = ""
    detail: Text = ""
    retry_after: Counter | None = None
    address: AddressText | None = None


@dataclass(frozen=True)
class Demand:
    """Requests per second that the sender sees, by account."""

    vm: Name
    incarnation: Counter
    rates: Annotated[
        tuple[tuple[Name, float], ...], msgspec.Meta(max_length=MAX_DEMANDS_PER_MESSAGE)
    ] = ()


Message = (
    Hello
    | Heartbeat
    | Records
    | RootRequest
    | RootReply
    | PartRequest
    | PartReply
    | Forward
    | ForwardChunk
    | ForwardEnd
    | Demand
)

CLASS_BY_TAG: dict[str, type] = {
    "hello": Hello,
    "beat": Heartbeat,
    "records": Records,
    "root?": RootRequest,
    "root": RootReply,
    "part?": PartRequest,
    "part": PartReply,
    "fwd": Forward,
    "fwd+": ForwardChunk,
    "fwd.": ForwardEnd,
    "demand": Demand,
}
TAG_BY_CLASS = {cls: tag for tag, cls in CLASS_BY_TAG.items()}


RECORD_FIELDS = tuple(field.name for field in dataclasses.fields(VmRecord))


def _record_fields(row: list) -> dict[str, Any]:
    """Name the values of a record, which travels as a list to save the names.

    New fields go to the end: an older daemon ignores them, and a newer one takes
    their defaults.
    """
    if not isinstance(row, list):
        raise MessageError("a record is not a list")
    return dict(zip(RECORD_FIELDS, row, strict=False))


def encode_message(message: Message) -> bytes:
    """Return the CBOR bytes of a message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    if isinstance(message, Records):
        fields["records"] = [list(record.values()) for record in fields["records"]]
    fields["t"] = TAG_BY_CLASS[type(message)]
    return cbor2.dumps(fields)


def decode_message(data: bytes) -> Message:
    """Decode and validate a message.

    :raises MessageError: for anything that is not exactly one valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"larger than {MAX_MESSAGE_BYTES} bytes")
    try:
        fields = cbor2.loads(data)
        cls = CLASS_BY_TAG[fields.pop("t")]
        if cls is Records:
            rows = fields.get("records", ())
            fields["records"] = [_record_fields(row) for row in rows]
        # Without this a text would pass as base64 of bytes.
        return msgspec.convert(fields, cls, builtin_types=(bytes,))
    except MessageError:
        raise
    except (KeyError, AttributeError):
        raise MessageError("no known tag") from None
    except Exception as error:
        # Decoders raise many types on hostile input, down to RecursionError.
        raise MessageError(f"{type(error).__name__}: {error}") from None
