"""Chains: the runners that compute one request in turn, each with its layers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from heathershunt.discovery import Target


@dataclass(frozen=True, slots=True)
class ChainPart:
    """Layers of a chain that one runner computes.

    :param first: first layer.
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

    :param cost_ms: estimated time of the request by the search that found the chain;
        0 if none did.

    .. versionadded:: 0.2
    """

    parts: tuple[ChainPart, ...]
    cost_ms: float = field(default=0.0, compare=False)

    @classmethod
    def from_parts(cls, parts: Iterable[ChainPart], cost_ms: float = 0.0) -> "Chain":
        """Create a chain, with the parts of a runner that occurs twice merged into one.

        A runner may occur in a chain only once. It holds all layers between two of its
        parts, so the merged part replaces the parts between them too.
        """
        merged: list[ChainPart] = []
        for part in parts:
            at = next(
                (n for n, p in enumerate(merged) if p.runner.id == part.runner.id), None
            )
            if at is None:
                merged.append(part)
            else:
                first = merged[at].first
                merged[at:] = [ChainPart(part.runner, first, part.end)]
        return cls(tuple(merged), cost_ms)

    @property
    def head(self) -> Target:
        """Return the first runner, which receives the request."""
        return self.parts[0].runner

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains of the runners."""
        return frozenset(part.runner.domain for part in self.parts)

    def covers(self, layers: int) -> bool:
        """Return whether the parts cover all ``layers`` layers once and in order."""
        at = 0
        for part in self.parts:
            if part.first != at or part.end <= at:
                return False
            at = part.end
        return at == layers

    def runner_at(self, address: str) -> Target | None:
        """Return the runner with an address, as ``ip:port``, or ``None``."""
        for part in self.parts:
            if str(part.runner.address) == address:
                return part.runner
        return None
