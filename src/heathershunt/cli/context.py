"""Configuration, access to daemons and output, shared by the commands."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from heathershunt.bundle import Bundle, BundleError, SignedRoot, decode_file
from heathershunt.cli.daemons import Daemons
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.cli.files import load_config

NOT_FOUND = 404


@dataclass(frozen=True)
class Output:
    """What a command prints.

    :param value: JSON values for ``--json``.
    :param text: the same as text, for the terminal.
    :param code: exit code.
    :param warnings: lines for standard error.
    """

    value: Any
    text: str
    code: ExitCode = ExitCode.DONE
    warnings: tuple[str, ...] = ()


class Context:
    """Configuration of one command line, and the deferred work of its command.

    fire finds a surplus argument only after it has called the command, so a command
    only stores its work here. It runs once the whole command line is accepted.

    :param config: path of the configuration file, empty for the default one.
    :ivar work: the deferred work, ``None`` if no command was called.
    """

    def __init__(self, config: str = "") -> None:
        self._config = config
        self.work: Callable[[], Output] | None = None

    def defer(self, work: Callable[[], Output]) -> None:
        """Store the work of a command for later."""
        self.work = work

    def run_with_daemons(self, work: Callable[[Daemons], Awaitable[Any]]) -> Any:
        """Run ``work`` to its end with the configured daemons; return its result."""
        daemons = Daemons(load_config(self._config))

        async def run() -> Any:
            try:
                return await work(daemons)
            finally:
                daemons.close()

        return asyncio.run(run())

    def bundle_in_force(self) -> tuple[SignedRoot, Bundle] | None:
        """Return the bundle in force at the first daemon that replies.

        :raises CliError: if no daemon replies, or with an error or an unreadable file.
        """
        reply = self.run_with_daemons(
            lambda daemons: daemons.get_any("/v1/operator/bundles")
        )
        if reply.status == NOT_FOUND:
            return None
        if reply.status != 200:
            raise CliError(ExitCode.REFUSED, reply.detail)
        try:
            signed, _, bundle = decode_file(reply.body)
        except BundleError as error:
            raise CliError(ExitCode.REFUSED, f"bundle in force: {error}") from None
        return signed, bundle
