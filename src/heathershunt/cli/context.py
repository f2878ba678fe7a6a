"""What the commands share: configuration, daemons, output."""

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
    :param text: the same for people.
    :param code: exit code.
    :param warnings: lines for standard error.
    """

    value: Any
    text: str
    code: ExitCode = ExitCode.DONE
    warnings: tuple[str, ...] = ()


class Context:
    """Configuration of one command line and the command it asks for.

    The parser finds a surplus argument only after it has called the command, so a
    command only leaves its work here; it is done when the whole line was accepted.

    :param config: path of the configuration, empty for the default one.
    """

    def __init__(self, config: str = "") -> None:
        self._config = config
        self.work: Callable[[], Output] | None = None

    def plan(self, work: Callable[[], Output]) -> None:
        """Keep the work of a command."""
        self.work = work

    def ask(self, work: Callable[[Daemons], Awaitable[Any]]) -> Any:
        """Run ``work`` with the daemons of the configuration."""
        daemons = Daemons(load_config(self._config))

        async def run() -> Any:
            try:
                return await work(daemons)
            finally:
                daemons.close()

        return asyncio.run(run())

    def bundle_in_force(self) -> tuple[SignedRoot, Bundle] | None:
        """Return the bundle in force at the first daemon that answers."""
        answer = self.ask(lambda daemons: daemons.ask_any("/v1/operator/bundles"))
        if answer.status == NOT_FOUND:
            return None
        if answer.status != 200:
            raise CliError(ExitCode.REFUSED, answer.detail)
        try:
            signed, _, bundle = decode_file(answer.body)
        except BundleError as error:
            raise CliError(ExitCode.REFUSED, f"bundle in force: {error}") from None
        return signed, bundle
