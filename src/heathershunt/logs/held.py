"""Log lines of requests, held until the request ends."""

from collections.abc import Iterable

MAX_HELD_LINES = 4096


class HeldLines:
    """Holds lines by request until it is known whether the request failed.

    :param max_lines: most lines held for all requests together.

    .. versionadded:: 0.3
    """

    def __init__(self, max_lines: int = MAX_HELD_LINES) -> None:
        self._max_lines = max_lines
        self._lines_by_request: dict[str, list[bytes]] = {}
        self._count = 0

    def __contains__(self, request: str) -> bool:
        return request in self._lines_by_request

    def add(self, request: str, line: bytes) -> int:
        """Hold a line; return how many lines were dropped to make space.

        The lines of the oldest request are dropped first.
        """
        self._lines_by_request.setdefault(request, []).append(line)
        self._count += 1
        dropped = 0
        while self._count > self._max_lines:
            oldest = next(iter(self._lines_by_request))
            dropped += len(self.take(oldest))
        return dropped

    def take(self, request: str) -> list[bytes]:
        """Remove and return the lines of a request."""
        lines = self._lines_by_request.pop(request, [])
        self._count -= len(lines)
        return lines

    def take_all(self) -> Iterable[bytes]:
        """Remove and yield all lines."""
        for request in list(self._lines_by_request):
            yield from self.take(request)
