"""One process that a launcher started, and signals to it."""

import asyncio
import contextlib
import signal
from dataclasses import dataclass, field
from pathlib import Path

from heathershunt.http import Address


@dataclass
class Process:
    """One started process."""

    name: str
    process: asyncio.subprocess.Process
    log_path: Path
    address: Address | None = None
    info: dict = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)

    def pause(self) -> None:
        """Stop the process without ending it."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.send(signal.SIGCONT)

    async def terminate(self) -> int:
        """Ask for a graceful end and return the exit code."""
        self.send(signal.SIGTERM)
        return await self.process.wait()

    def log_text(self) -> str:
        """Return what the process logged."""
        return self.log_path.read_text(errors="replace")
