import asyncio

import logbook

from heathershunt.background import keep_running


async def test_loop_starts_again_after_an_error(monkeypatch):
    # Guards against a process that goes on without one of its loops, and without a line
    # in its log, after an error that the loop does not expect.
    monkeypatch.setattr("heathershunt.background.loops.RESTART_MS", 0)
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 20:
            raise RuntimeError("x" * 10_000)

    with logbook.TestHandler() as lines:
        await keep_running(run)
    assert len(runs) == 20
    assert len(lines.records) == 1
    assert len(lines.records[0].message) < 500


async def test_cancelled_loop_does_not_start_again():
    task = asyncio.create_task(keep_running(asyncio.Event().wait))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task}, timeout=1)
    assert task.cancelled()
