import asyncio

import pytest

from heathershunt.background import keep_running


# Guards against callers that wait for ever because the task that checks the queues, or
# the stalls, ended with an error once.
async def test_background_task_goes_on_after_an_error():
    starts = []

    async def run():
        starts.append(len(starts))
        if len(starts) < 3:
            raise KeyError("model")

    async with asyncio.timeout(5):
        await keep_running(run)
    assert len(starts) == 3


async def test_background_task_can_be_cancelled():
    task = asyncio.create_task(keep_running(asyncio.Event().wait))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
