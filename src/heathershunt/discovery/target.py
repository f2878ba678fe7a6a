"""What a target says of itself."""

from dataclasses import dataclass

from heathershunt.http import Address


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers that a runner holds.

    :param first: first layer.
    :param end: layer after the last one.
    :param version: version of the weights.
    """

    first: int
    end: int
    version: int = 0

    @property
    def size(self) -> int:
        """Return the number of layers."""
        return self.end - self.first

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


@dataclass(frozen=True, slots=True)
class Target:
    """One start of a target.

    :param id: identity of this start; a restart may keep it.
    :param born: wall time of the start in milliseconds.
    :param is_draining: whether it is about to leave.
    :param kind: kind of accelerator; empty for plain services.
    :param held: layers it holds; ``None`` for none.

    .. versionadded:: 0.2
    """

    id: str
    service: str
    address: Address
    domain: str
    slots: int
    born: int = 0
    is_draining: bool = False
    kind: str = ""
    held: LayerRange | None = None
