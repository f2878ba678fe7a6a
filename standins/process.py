"""Processes that the launcher started."""

import asyncio
import contextlib
import signal
from dataclasses import dataclass, field
from pathlib import Path

from heathershunt.http import Address


@dataclass
class Process:
    """One started process.

    :param info: the JSON line that a stand-in printed when it was ready.
    """

    name: str
    process: asyncio.subprocess.Process
    log_path: Path
    address: Address | None = None
    info: dict = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; do nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.send(signal.SIGKILL)

    def pause(self) -> None:
        """Send SIGSTOP, which suspends the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT to a suspended process."""
        self.send(signal.SIGCONT)

    async def fall_silent(self, milliseconds: int) -> None:
        """Suspend the process for a while, after which it goes on where it was.

        Its connections stay open, and the kernel accepts new ones meanwhile.
        """
        self.pause()
        try:
            await asyncio.sleep(milliseconds / 1000)
        finally:
            self.resume()

    async def terminate(self) -> int:
        """Send SIGTERM, wait for the process to end and return its exit code."""
        self.send(signal.SIGTERM)
        return await self.process.wait()

    def log_text(self) -> str:
        """Return what the process wrote to standard error."""
        return self.log_path.read_text(errors="replace")
