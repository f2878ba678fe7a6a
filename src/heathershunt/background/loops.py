"""Background loops that an error does not end."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from heathershunt.clock import SystemClock
from heathershunt.logs import RepeatLimiter
from heathershunt.schema.decoding import brief

RESTART_MS = 500

log = logbook.Logger("heathershunt.background")


async def keep_running(run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns or is cancelled; start it again after an error.

    Nobody awaits the task of a loop, so its error would end it without a trace, and the
    process would go on without what the loop does.

    .. versionadded:: 0.8
    """
    name = brief(getattr(run, "__qualname__", run))
    lines = RepeatLimiter(SystemClock())
    while True:
        try:
            return await run()
        except Exception as error:
            if lines.take(type(error).__name__):
                log.exception("{} starts again after an error: {}", name, brief(error))
        await asyncio.sleep(RESTART_MS / 1000)
