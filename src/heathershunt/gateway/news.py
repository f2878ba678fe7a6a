"""Exchange between VMs of what they have seen, as soon as there is something new."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import logbook
import msgspec
from result import Err

from heathershunt.clock import SystemClock
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.logs import RepeatLimiter
from heathershunt.schema.decoding import MalformedError, decode_untrusted

CRASHES_PATH = "/crashes/"
LIMITS_PATH = "/limits/"
EXCHANGE_TIMEOUT_MS = 300
# In each period at most this many rounds are sent, which bounds the messages while much
# happens. A request crashes a second target right after the first, as it is retried, so
# the news of both must go out at once.
ROUND_PERIOD_MS = 250
ROUNDS_PER_PERIOD = 2
MAX_REPLY_BYTES = 65_536

log = logbook.Logger("heathershunt.gateway")


class NewsSource(Protocol):
    """What a VM knows and exchanges with the others, as a ``msgspec`` structure.

    :ivar on_news: called when the others should learn something at once.

    .. versionadded:: 0.7
    """

    on_news: Callable[[], None]

    def digest(self) -> Any:
        """Return what the other VMs are told."""

    def merge(self, digest: Any) -> None:
        """Add what another VM knows."""


class NewsExchange:
    """Sends what this VM knows to others at once; both sides then know the same.

    The periodic exchange of loads spreads it further.

    :param path: path of these messages.
    :param digest_type: type of the digests of the source.
    :param recipients: called for lists of addresses; of each list, the first VM that
        answers receives the news.

    .. versionadded:: 0.7
    """

    def __init__(
        self,
        http: HttpClient,
        path: str,
        source: NewsSource,
        digest_type: type,
        recipients: Callable[[], Sequence[Sequence[Address]]],
    ) -> None:
        self._http = http
        self._path = path
        self._source = source
        decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(digest_type)
        self._decode = decoder.decode
        self._lines = RepeatLimiter(SystemClock())
        self._recipients = recipients
        self._wake = asyncio.Event()
        source.on_news = self._wake.set

    async def run(self) -> None:
        """Send news whenever there are some, until cancelled."""
        now = asyncio.get_running_loop().time
        started: deque[float] = deque(maxlen=ROUNDS_PER_PERIOD)
        while True:
            await self._wake.wait()
            if len(started) == ROUNDS_PER_PERIOD:
                next_at = started[0] + ROUND_PERIOD_MS / 1000
                await asyncio.sleep(max(0.0, next_at - now()))
            self._wake.clear()
            started.append(now())
            await asyncio.gather(*map(self._send_to_first, self._recipients()))

    async def _send_to_first(self, addresses: Sequence[Address]) -> None:
        for address in addresses:
            if await self._send(address):
                return

    async def _send(self, address: Address) -> bool:
        outcome = await self._http.exchange(
            address,
            "POST",
            self._path,
            body=msgspec.msgpack.encode(self._source.digest()),
            timeout_ms=EXCHANGE_TIMEOUT_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            detail = outcome.err_value.detail
            log.info("news of {} not sent to {}: {}", self._path, address, detail)
            return False
        status, raw = outcome.ok_value
        if status != 200:
            self._log(str(address), f"refused with status {status}")
            return False
        try:
            self._source.merge(decode_untrusted(self._decode, raw))
        except MalformedError as error:
            self._log(str(address), f"malformed reply: {error}")
        return True

    def _log(self, sender: str, detail: str) -> None:
        """Log a failure of a VM, unless one was logged a short time ago."""
        if self._lines.take(sender):
            log.warning("news of {}, {}: {}", self._path, sender, detail)

    async def handle(self, request: Request) -> Response:
        """Answer the news of a VM with what this one knows; 400 if malformed."""
        try:
            digest = decode_untrusted(self._decode, request.body)
        except MalformedError as error:
            self._log("another VM", f"malformed message: {error}")
            return Response(400)
        self._source.merge(digest)
        return Response(200, {}, msgspec.msgpack.encode(self._source.digest()))
