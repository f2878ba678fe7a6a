"""Decoder of the store entries in which targets describe themselves."""

import msgspec

from heathershunt.discovery import LayerRange, Target
from heathershunt.http import Address

READY = "ready"
DRAINING = "draining"


class EntryError(ValueError):
    """A store entry that is malformed or has an unknown state.

    .. versionadded:: 0.2
    """


class LayersEntry(msgspec.Struct):
    """Range of layers in the entries and reports of runners."""

    # ``from`` is a keyword of Python.
    first: int = msgspec.field(name="from")
    # The layer after the last one.
    to: int
    version: int = 0


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Start of the process in milliseconds since the Unix epoch.
    born: int = 0
    # Number of the heartbeat at which the entry changed last.
    sequence: int = 0
    kind: str | None = None
    layers: LayersEntry | None = None


_decoder = msgspec.json.Decoder(_Entry)


def decode_target(target_id: str, raw: bytes) -> Target:
    """Decode the entry of a target.

    :raises EntryError: if the entry is malformed or has an unknown state, as an entry
        of another kind of writer does.
    """
    try:
        entry = _decoder.decode(raw)
        address = Address.from_text(entry.address)
    except (ValueError, RecursionError) as error:
        raise EntryError(f"entry of target {target_id!r}: {error}") from None
    if entry.state not in (READY, DRAINING):
        raise EntryError(
            f"entry of target {target_id!r}: unknown state {entry.state!r}"
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


def decode_layers(layers: LayersEntry | None) -> LayerRange | None:
    """Return the range of layers; ``None`` if it is missing, empty or negative."""
    if layers is None or layers.to <= layers.first or layers.first < 0:
        return None
    return LayerRange(layers.first, layers.to, layers.version)
