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
from heathershunt.schema.fields import Amount

PROTOCOL = 1
MAX_MESSAGE_BYTES = 196_608
# Parts of a bundle and forwarded bodies are sent in chunks of this size, so that even
# on a slow link a chunk is sent well within the silence limit of the mesh.
CHUNK_BYTES = 65_536
MAX_RECORDS_PER_MESSAGE = 200
MAX_SUSPICIONS_PER_MESSAGE = 64
MAX_DEMANDS_PER_MESSAGE = 2048

Sha256 = Annotated[str, msgspec.Meta(max_length=64)]
Bytes = Annotated[bytes, msgspec.Meta(max_length=MAX_MESSAGE_BYTES)]
Text = Annotated[str, msgspec.Meta(max_length=2048)]
Status = Annotated[int, msgspec.Meta(ge=0, le=599)]
# Statuses below are of interim responses, which no reply has, or of no response.
FIRST_FINAL_STATUS = 200


class MessageError(Exception):
    """Data from a peer that is not a valid message.

    .. versionadded:: 0.1
    """


def _check_status(status: int) -> None:
    if 0 < status < FIRST_FINAL_STATUS:
        raise ValueError(f"status {status} of a reply")


@dataclass(frozen=True)
class Hello:
    """First message on a link, in both directions.

    :param address: the sender's peer listener, as ``ip:port``.
    :param domain: the sender's failure domain.
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
    """Liveness message, sent on every link every ``MeshLimits.heartbeat_ms``.

    :param hlc: hybrid logical time of the sender.
    :param digest: digest of the sender's membership records.
    :param keep: the sender needs this link; a link that neither side needs is closed.
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
    """Membership records that changed, and VMs that a neighbour suspects."""

    records: Annotated[
        tuple[VmRecord, ...], msgspec.Meta(max_length=MAX_RECORDS_PER_MESSAGE)
    ] = ()
    suspicions: Annotated[
        tuple[Suspicion, ...], msgspec.Meta(max_length=MAX_SUSPICIONS_PER_MESSAGE)
    ] = ()


@dataclass(frozen=True)
class RootRequest:
    """Requests the signed root with the given hash."""

    sha256: Sha256


@dataclass(frozen=True)
class RootReply:
    """The signed root; ``data`` is empty if the sender has replaced that root."""

    sha256: Sha256
    data: Bytes = b""


@dataclass(frozen=True)
class PartRequest:
    """Requests up to ``CHUNK_BYTES`` of a part, from ``offset`` on."""

    sha256: Sha256
    offset: Counter = 0


@dataclass(frozen=True)
class PartReply:
    """A chunk of a part.

    :param size: bytes of the whole part; 0 if the sender does not have the part.
    """

    sha256: Sha256
    offset: Counter = 0
    size: Counter = 0
    data: Bytes = b""


@dataclass(frozen=True)
class Forward:
    """A request that the receiving VM is to run.

    :param id: unique among the requests that the sender forwards on this link.
    :param kind: name of the handler.
    :param body: first chunk of the body; the rest follows in ``ForwardChunk``.
    :param size: size of the whole body in bytes.
    """

    id: Counter
    kind: Name
    headers: dict[str, str] = field(default_factory=dict)
    body: Bytes = b""
    size: Counter = 0


@dataclass(frozen=True)
class ForwardChunk:
    """A chunk of the body of a forwarded request or of its reply.

    :param reply: the chunk belongs to the reply, not to the request.
    :param status: HTTP status; set in the first chunk of a reply only.
    """

    id: Counter
    data: Bytes = b""
    reply: bool = True
    status: Status = 0
    headers: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _check_status(self.status)


@dataclass(frozen=True)
class ForwardEnd:
    """End of a reply; from the requesting side, cancellation of the request.

    :param verdict: value of :class:`heathershunt.verdict.Verdict`.
    :param status: HTTP status of a refusal, 0 for a complete reply.
    :param retry_after: milliseconds to wait before a retry.
    :param address: listener for callers of a VM to use instead.
    """

    id: Counter
    verdict: Text = "ran"
    reply: bool = True
    status: Status = 0
    title: Text = ""
    detail: Text = ""
    retry_after: Counter | None = None
    address: AddressText | None = None

    def __post_init__(self) -> None:
        _check_status(self.status)


@dataclass(frozen=True)
class Demand:
    """Requests per second that the sender receives, per client account."""

    vm: Name
    incarnation: Counter
    rates: Annotated[
        tuple[tuple[Name, Amount], ...],
        msgspec.Meta(max_length=MAX_DEMANDS_PER_MESSAGE),
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
    """Return the fields of a record from its wire form, a list without field names.

    New fields must be added at the end: an older daemon ignores additional values,
    and a newer one uses the defaults for values that an older one does not send.
    """
    if not isinstance(row, list):
        raise MessageError("record is not a list")
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
        raise MessageError(f"message larger than {MAX_MESSAGE_BYTES} bytes")
    try:
        fields = cbor2.loads(data)
        cls = CLASS_BY_TAG[fields.pop("t")]
        if cls is Records:
            rows = fields.get("records", ())
            fields["records"] = [_record_fields(row) for row in rows]
        # Without builtin_types, msgspec would accept base64 text for a bytes field.
        return msgspec.convert(fields, cls, builtin_types=(bytes,))
    except MessageError:
        raise
    except (KeyError, AttributeError):
        raise MessageError("missing or unknown message tag") from None
    except Exception as error:
        # The decoders raise many types on hostile input, even RecursionError.
        raise MessageError(f"{type(error).__name__}: {error}") from None
