"""Background tasks that go on after an error."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

log = logbook.Logger("heathershunt.daemon")

RESTART_DELAY_MS = 250


async def keep_running(run: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a background task until it returns; start it again after an error.

    Requests depend on these tasks: without the checks of the queues, for one, nobody
    refuses a draft that waits for too long.

    :param name: name of the task in the log.

    .. versionadded:: 0.8
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("background task {} failed, starting it again", name)
        await asyncio.sleep(RESTART_DELAY_MS / 1000)
