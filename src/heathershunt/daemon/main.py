"""Command line of ``heathershuntd``."""

import asyncio
import signal
import sys

from logbook.compat import redirect_logging

from heathershunt.daemon.app import Daemon
from heathershunt.logs import log_handler
from heathershunt.settings import Settings, SettingsError, load_settings

USAGE = "usage: heathershuntd [--check] SETTINGS.toml"
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
EXIT_USAGE = 64


class ListenError(Exception):
    """Raised if a listener cannot be bound; the message is one line.

    .. versionadded:: 0.1
    """


async def serve(settings: Settings) -> None:
    """Run one daemon until SIGTERM or SIGINT; a second signal ends the drain at once.

    What then still runs is refused.

    :raises ListenError: if a listener cannot be bound.
    """
    daemon = Daemon(settings)
    # Without a handler, SIGHUP would terminate a process that is still starting.
    reload = daemon.operations.reload_certificates
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    try:
        await daemon.start()
    except OSError as error:
        raise ListenError(f"cannot listen: {error.strerror or error}") from None
    stop = asyncio.Event()
    abort = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        (abort if stop.is_set() else stop).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await stop.wait()
    draining = asyncio.create_task(daemon.shut_down())
    aborting = asyncio.create_task(abort.wait())
    await asyncio.wait({draining, aborting}, return_when="FIRST_COMPLETED")
    if not draining.done():
        await daemon.refuse_unfinished()


def main() -> None:
    """Start the daemon; with ``--check``, only check its settings."""
    arguments = sys.argv[1:]
    check_only = "--check" in arguments
    paths = [argument for argument in arguments if argument != "--check"]
    if len(paths) != 1 or paths[0].startswith("-"):
        print(USAGE, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        settings = load_settings(paths[0])
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check_only:
        print(f"{paths[0]}: ok")
        return
    log = settings.log
    log_handler(log.level, log.format, settings.vm.name, sys.stderr).push_application()
    # Libraries use the standard logging; its root logger passes warnings and above.
    redirect_logging(set_root_logger_level=False)
    try:
        asyncio.run(serve(settings))
    except ListenError as error:
        print(f"{paths[0]}: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)


if __name__ == "__main__":
    main()
