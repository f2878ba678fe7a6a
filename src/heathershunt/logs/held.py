"""Lines of requests that wait for the request's end."""

from collections.abc import Iterable

MAX_HELD_LINES = 4096


class HeldLines:
    """Keeps lines by request until it is known whether the request failed.

    .. versionadded:: 0.3
    """

    def __init__(self, most: int = MAX_HELD_LINES) -> None:
        self._most = most
        self._lines_by_request: dict[str, list[bytes]] = {}
        self._count = 0

    def __contains__(self, request: str) -> bool:
        return request in self._lines_by_request

    def add(self, request: str, line: bytes) -> int:
        """Keep a line; return how many lines of older requests made way for it."""
        self._lines_by_request.setdefault(request, []).append(line)
        self._count += 1
        dropped = 0
        while self._count > self._most:
            oldest = next(iter(self._lines_by_request))
            dropped += len(self.take(oldest))
        return dropped

    def take(self, request: str) -> list[bytes]:
        """Return the lines of a request and forget them."""
        lines = self._lines_by_request.pop(request, [])
        self._count -= len(lines)
        return lines

    def take_all(self) -> Iterable[bytes]:
        """Return all lines and forget them."""
        for request in list(self._lines_by_request):
            yield from self.take(request)
