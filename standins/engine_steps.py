"""Step loop of an engine stand-in, which processes work in batches."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from standins.engine_state import EngineSpec, Work

# A step that starts late because the process was busy is shortened by at most this.
CATCH_UP_SECONDS = 0.002


class StepQueue:
    """Runs queued work in steps, urgent work first.

    :param spec: gives the batch limit and the fixed time of a step.
    :param cost_ms: returns the time that one item adds to a step.
    :param finish: called with the items of a step when the step has ended.
    """

    def __init__(
        self,
        spec: EngineSpec,
        cost_ms: Callable[[Work], float],
        finish: Callable[[list[Work]], Awaitable[None]],
    ) -> None:
        self._spec = spec
        self._cost_ms = cost_ms
        self._finish = finish
        self._waiting: list[Work] = []
        self._wake = asyncio.Event()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, work: Work) -> None:
        """Queue an item for a later step."""
        self._waiting.append(work)
        self._wake.set()

    async def run(self) -> None:
        """Run steps until cancelled."""
        due = time.monotonic()
        while True:
            await self._wake.wait()
            if not self._waiting:
                self._wake.clear()
                continue
            batch = self._take_batch()
            cost = self._spec.step_ms + sum(map(self._cost_ms, batch))
            due = max(due, time.monotonic() - CATCH_UP_SECONDS) + cost / 1000
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._finish(batch)

    def _take_batch(self) -> list[Work]:
        self._waiting.sort(key=lambda work: work.priority)
        limit = self._spec.batch_limit
        batch, self._waiting = self._waiting[:limit], self._waiting[limit:]
        return batch
