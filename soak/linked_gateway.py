"""Starts a gateway whose links to the targets are cut as a file says.

The environment names the file in ``SOAK_CUT_FILE``. It holds one of :data:`HOWS`, or
nothing while the links are sound. All addresses of ``SOAK_TARGET_ADDRESSES`` are cut.
"""

import asyncio
import os
import sys
import weakref
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from heathershunt.http import HttpClient  # noqa: E402
from heathershunt.platform import main as program  # noqa: E402

# ``hang`` and ``refuse`` concern new connections alone; ``reset`` also resets those
# that are open.
HOWS = ("hang", "refuse", "reset")
POLL_SECONDS = 0.02


class CutClient(HttpClient):
    """Client whose connections to targets fail while the file says so."""

    def __init__(self) -> None:
        super().__init__()
        self._file = Path(os.environ["SOAK_CUT_FILE"])
        self._targets = set(os.environ["SOAK_TARGET_ADDRESSES"].split(","))
        self._open: weakref.WeakSet = weakref.WeakSet()
        self._watching: asyncio.Task | None = None

    async def _acquire(self, address, fresh, connect_ms=1000):
        if self._watching is None:
            self._watching = asyncio.create_task(self._watch())
        if str(address) not in self._targets:
            return await super()._acquire(address, fresh, connect_ms)
        how = self._file.read_text()
        if how == "hang":
            async with asyncio.timeout(connect_ms / 1000):
                await asyncio.Event().wait()
        if how:
            raise ConnectionRefusedError("refused by the cut")
        connection = await super()._acquire(address, fresh, connect_ms)
        self._open.add(connection)
        return connection

    async def _watch(self) -> None:
        """Reset the open connections while the file says so."""
        while True:
            if self._file.read_text() == "reset":
                for connection in list(self._open):
                    connection.close()
                self._open.clear()
            await asyncio.sleep(POLL_SECONDS)


if __name__ == "__main__":
    program.HttpClient = CutClient
    program.main()
