"""Requests that wait for a retry, in their order."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class RetryQueue:
    """Requests that wait for a retry, by service and in the order of arrival.

    Streams that have begun come first, since they can no longer be refused.

    .. versionadded:: 0.10
    """

    def __init__(self) -> None:
        # Values state whether the stream has begun.
        self._waiting_by_service: dict[str, dict[asyncio.Future[None], bool]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._waiting_by_service.values()))

    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return list(self._waiting_by_service)

    def count(self, service: str, has_begun: bool) -> int:
        """Return how many requests of one kind wait."""
        waiting = self._waiting_by_service.get(service, {})
        return Counter(waiting.values())[has_begun]

    @contextmanager
    def joined(self, service: str, has_begun: bool) -> Iterator[asyncio.Future[None]]:
        """Add a request inside the ``with`` block; its turn completes the future."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting_by_service.setdefault(service, {})[turn] = has_begun
        try:
            yield turn
        finally:
            self._remove(service, turn)

    def call_next(self, service: str, count: int, only_begun: bool) -> None:
        """Let the next requests try to take a retry.

        :param only_begun: whether only streams that have begun may take it.
        """
        waiting = self._waiting_by_service.get(service, {})
        begun = [turn for turn, has_begun in waiting.items() if has_begun]
        others = [turn for turn, has_begun in waiting.items() if not has_begun]
        for turn in (begun if only_begun else begun + others)[:count]:
            if not turn.done():
                turn.set_result(None)
            self._remove(service, turn)

    def _remove(self, service: str, turn: asyncio.Future[None]) -> None:
        waiting = self._waiting_by_service.get(service)
        if waiting is None:
            return
        waiting.pop(turn, None)
        if not waiting:
            del self._waiting_by_service[service]
