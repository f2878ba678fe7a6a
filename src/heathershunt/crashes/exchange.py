"""Exchange of evidence between VMs as soon as there is some."""

import asyncio
from collections.abc import Callable, Sequence

import logbook
import msgspec
from result import Err

from heathershunt.crashes.guard import PartGuard
from heathershunt.crashes.messages import CrashDigest
from heathershunt.http import Address, HttpClient, Request, Response

CRASHES_PATH = "/crashes/"
EXCHANGE_TIMEOUT_MS = 300
# Time between two rounds, which bounds the messages in a series of crashes.
ROUND_PERIOD_MS = 250
MAX_REPLY_BYTES = 65_536

log = logbook.Logger("heathershunt.crashes")


class CrashExchange:
    """Sends evidence of this VM to others at once; both sides then know the same.

    The periodic exchange of loads spreads it further.

    :param recipients: called for lists of addresses; of each list, the first VM that
        answers receives the evidence.

    .. versionadded:: 0.6
    """

    def __init__(
        self,
        http: HttpClient,
        guard: PartGuard,
        recipients: Callable[[], Sequence[Sequence[Address]]],
    ) -> None:
        self._http = http
        self._guard = guard
        self._recipients = recipients
        self._wake = asyncio.Event()
        guard.on_news = self._wake.set

    async def run(self) -> None:
        """Send evidence whenever there is some, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.gather(*map(self._send_to_first, self._recipients()))
            await asyncio.sleep(ROUND_PERIOD_MS / 1000)

    async def _send_to_first(self, addresses: Sequence[Address]) -> None:
        for address in addresses:
            if await self._send(address):
                return

    async def _send(self, address: Address) -> bool:
        outcome = await self._http.exchange(
            address,
            "POST",
            CRASHES_PATH,
            body=msgspec.msgpack.encode(self._guard.digest()),
            timeout_ms=EXCHANGE_TIMEOUT_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            detail = outcome.err_value.detail
            log.info("evidence of crashes not sent to {}: {}", address, detail)
            return False
        status, raw = outcome.ok_value
        if status != 200:
            log.warning("evidence of crashes refused by {}: {}", address, status)
            return False
        try:
            self._guard.merge(msgspec.msgpack.decode(raw, type=CrashDigest))
        except ValueError as error:
            log.warning("malformed reply on crashes from {}: {}", address, error)
        return True

    async def handle(self, request: Request) -> Response:
        """Answer the evidence of a VM with that of this one; 400 if malformed."""
        try:
            digest = msgspec.msgpack.decode(request.body, type=CrashDigest)
        except ValueError as error:
            log.warning("malformed message on crashes: {}", error)
            return Response(400)
        self._guard.merge(digest)
        return Response(200, {}, msgspec.msgpack.encode(self._guard.digest()))
