"""A chain: runners that pass one request on, each with its layers."""

from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.discovery import Target


@dataclass(frozen=True, slots=True)
class ChainPart:
    """Layers of a chain that one runner computes.

    :param end: layer after the last one.
    """

    runner: Target
    first: int
    end: int

    @property
    def size(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class Chain:
    """Parts that cover every layer once and in order.

    .. versionadded:: 0.2
    """

    parts: tuple[ChainPart, ...]

    @classmethod
    def from_parts(cls, parts: Iterable[ChainPart]) -> "Chain":
        """Join the parts of a runner that comes more than once.

        A runner may stand in a chain only once, and it holds whatever lies between
        two of its parts.
        """
        joined: list[ChainPart] = []
        for part in parts:
            at = next(
                (n for n, p in enumerate(joined) if p.runner.id == part.runner.id), None
            )
            if at is None:
                joined.append(part)
            else:
                first = joined[at].first
                joined[at:] = [ChainPart(part.runner, first, part.end)]
        return cls(tuple(joined))

    @property
    def head(self) -> Target:
        """Return the runner that the request is sent to."""
        return self.parts[0].runner

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains of the runners."""
        return frozenset(part.runner.domain for part in self.parts)

    def covers(self, layers: int) -> bool:
        """Return whether all ``layers`` are there, once and in order."""
        at = 0
        for part in self.parts:
            if part.first != at or part.end <= at:
                return False
            at = part.end
        return at == layers

    def runner_at(self, address: str) -> Target | None:
        """Return the runner of this chain with an address, as ``ip:port``."""
        for part in self.parts:
            if str(part.runner.address) == address:
                return part.runner
        return None
