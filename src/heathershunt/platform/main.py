"""Command line of the gateway on the users' platform."""

import asyncio
import signal
import sys

import logbook

from heathershunt.clock import SystemClock
from heathershunt.gateway import GatewayConfig
from heathershunt.gateway.app import Gateway
from heathershunt.gateway.ports import Ports
from heathershunt.http import HttpClient
from heathershunt.logs import EventLog, JsonHandler
from heathershunt.logs.events import ReloadIgnored
from heathershunt.platform.decoder import PlatformDecoder
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.runners import RunnerClient
from heathershunt.platform.settings import PlatformSettingsError, load_settings
from heathershunt.platform.store import MetadataStore

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3

log = logbook.Logger("heathershunt.platform")


async def serve(config: GatewayConfig) -> None:
    """Run one gateway until SIGTERM or SIGINT.

    :raises OSError: if a listener cannot be bound.
    """
    clock = SystemClock()
    events = EventLog(sys.stdout.fileno(), config.vm, clock)
    http = HttpClient()
    codec = HeaderCodec(clock)
    ports = Ports(
        store=MetadataStore(http, config.store),
        runners=RunnerClient(http),
        wire=codec,
        decoder=PlatformDecoder(codec),
    )
    gateway = Gateway(config, ports, http, clock, events)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The settings cannot change while the process runs, so a reload is only logged.
    loop.add_signal_handler(signal.SIGHUP, events.emit, ReloadIgnored())
    await gateway.start()
    await stop.wait()
    await gateway.shut_down()
    http.close()


def main() -> None:
    """Run the gateway with the settings file named by the environment."""
    try:
        config = load_settings()
    except PlatformSettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    JsonHandler(sys.stderr, config.vm, logbook.INFO).push_application()
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)


if __name__ == "__main__":
    main()
