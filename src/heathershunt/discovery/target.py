"""Targets and the layers that they hold, as registered in the store."""

from dataclasses import dataclass, field

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
    """One process of a target.

    :param id: id of the process; a restarted process may have the same id.
    :param incarnation: wall time in milliseconds when the process started.
    :param is_draining: whether the target is about to leave.
    :param kind: name of the kind of accelerator; empty for plain services.
    :param held: layers that the runner holds; ``None`` if it holds none.
    :param heartbeats: heartbeats of the process until its entry changed last.

    .. versionadded:: 0.2
    """

    id: str
    service: str
    address: Address
    domain: str
    slots: int
    incarnation: int = 0
    is_draining: bool = False
    kind: str = ""
    held: LayerRange | None = None
    heartbeats: int = field(default=0, compare=False)
