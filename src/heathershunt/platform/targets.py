"""Decoder of the store entries in which targets describe themselves."""

import ipaddress

import msgspec

from heathershunt.discovery import LayerRange, Target
from heathershunt.http import Address
from heathershunt.schema.decoding import MalformedError, brief, decode_untrusted
from heathershunt.schema.fields import (
    Count,
    Label,
    Layer,
    Milliseconds,
    Name,
    Text,
    Version,
    Whole,
)

READY = "ready"
DRAINING = "draining"


class EntryError(ValueError):
    """A store entry that is malformed, out of bounds or has an unknown state.

    .. versionadded:: 0.2
    """


class LayersEntry(msgspec.Struct):
    """Range of layers in the entries and reports of runners."""

    # ``from`` is a keyword of Python.
    first: Layer = msgspec.field(name="from")
    # The layer after the last one.
    to: Layer
    version: Version = 0


class _Entry(msgspec.Struct):
    service: Label
    address: Text
    zone: Label
    state: Text
    slots: Count
    # Number of the heartbeat at which the entry changed last.
    sequence: Whole
    # Not used, but each target writes them: other writers may leave them out.
    version: Text
    cold_remaining_ms: Milliseconds
    # Start of the process in milliseconds since the Unix epoch.
    born: Whole = 0
    kind: Label | None = None
    layers: LayersEntry | None = None


_decoder = msgspec.json.Decoder(_Entry)


def decode_target(target_id: str, raw: bytes) -> Target:
    """Decode the entry of a target.

    :param target_id: id of the process, which is also written into header fields.
    :raises EntryError: if the entry or the id is malformed or out of bounds, or the
        state is unknown, as in an entry of another kind of writer.
    """
    try:
        msgspec.convert(target_id, Name)
        entry = decode_untrusted(_decoder.decode, raw)
        address = _decode_address(entry.address)
    except ValueError as error:
        detail = brief(error)
        raise EntryError(f"entry of target {brief(target_id)!r}: {detail}") from None
    if entry.state not in (READY, DRAINING):
        state = brief(entry.state)
        raise EntryError(
            f"entry of target {brief(target_id)!r}: unknown state {state!r}"
        )
    return Target(
        id=target_id,
        service=entry.service,
        address=address,
        domain=entry.zone,
        slots=max(1, entry.slots),
        incarnation=entry.born,
        is_draining=entry.state == DRAINING,
        kind=entry.kind or "",
        held=decode_layers(entry.layers),
        heartbeats=entry.sequence,
    )


def _decode_address(text: str) -> Address:
    """Return the address of a target, which is an IP address and a port.

    :raises ValueError: for any other text; a name would be looked up at each send.
    """
    address = Address.from_text(text)
    ipaddress.ip_address(address.host.strip("[]"))
    if address.port == 0:
        raise MalformedError("the port is 0")
    return address


def decode_layers(layers: LayersEntry | None) -> LayerRange | None:
    """Return the range of layers; ``None`` if it is missing or empty."""
    if layers is None or layers.to <= layers.first:
        return None
    return LayerRange(layers.first, layers.to, layers.version)
