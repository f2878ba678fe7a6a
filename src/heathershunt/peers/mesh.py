"""All peer links of one VM: dials, accepts and checks them, sends heartbeats."""

import asyncio
import logging
import random
import ssl
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

import logbook
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from heathershunt.clock import Clock, Millis
from heathershunt.peers.backoff import DialBackoff
from heathershunt.peers.link import PeerLink
from heathershunt.peers.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL,
    Heartbeat,
    Hello,
    Message,
    MessageError,
    decode_message,
    encode_message,
)

log = logbook.Logger("heathershunt.peers")

# websockets logs a traceback for each failed handshake; its logger is silenced, and
# the mesh logs one line instead.
_websockets_logger = logging.getLogger("heathershunt.peers.websockets")
_websockets_logger.addHandler(logging.NullHandler())
_websockets_logger.propagate = False

WRITE_LIMIT_BYTES = 65_536
RECEIVE_QUEUE_FRAMES = 16


@dataclass(frozen=True)
class MeshLimits:
    """Times and bounds of a mesh.

    :param heartbeat_ms: time between two heartbeats.
    :param silence_ms: a link on which nothing was received, or nothing of a queue
        sent, for longer is closed.
    :param tick_ms: time between two checks of all links.
    :param handshake_ms: longest time from connecting to the other side's hello.
    :param unneeded_ms: a link that neither side needs is closed after this long; a
        link also counts as needed for this long after its last use.
    :param max_links: inbound links are refused while this many links are open.
    """

    heartbeat_ms: int = 1000
    silence_ms: int = 3000
    tick_ms: int = 500
    handshake_ms: int = 2000
    unneeded_ms: int = 10_000
    max_links: int = 512


@dataclass(frozen=True)
class MeshTls:
    """Contexts for mutual TLS: one for accepting, one for dialling."""

    server: ssl.SSLContext
    client: ssl.SSLContext


class PeerMesh:
    """Keeps the links of this VM and passes their messages to handlers.

    :param hello: returns the hello of this VM; called for every new link.
    :param heartbeat: returns the heartbeat of this VM; called every ``heartbeat_ms``.
    :param rng: source of jitter.
    :param tls: contexts for mutual TLS; without them links are not encrypted.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        hello: Callable[[], Hello],
        heartbeat: Callable[[], Heartbeat],
        clock: Clock,
        rng: random.Random,
        limits: MeshLimits | None = None,
        tls: MeshTls | None = None,
    ) -> None:
        self.links_by_vm: dict[str, PeerLink] = {}
        self.seeds: tuple[str, ...] = ()
        self._hello = hello
        self._heartbeat = heartbeat
        self._clock = clock
        self._limits = limits or MeshLimits()
        self._tls = tls
        self._handlers_by_class: dict[type, list[Callable]] = {}
        self._on_up: list[Callable[[PeerLink], None]] = []
        self._on_down: list[Callable[[PeerLink], None]] = []
        self._persistent_address_by_vm: dict[str, str] = {}
        self._vm_by_address: dict[str, str] = {}
        self._backoff = DialBackoff(rng)
        self._dials_by_address: dict[str, asyncio.Task] = {}
        self._link_tasks: set[asyncio.Task] = set()
        self._accepting = 0
        self._heartbeat_due = Millis(0)
        self._server = None
        self._ticker: asyncio.Task | None = None
        self._closing = False

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.sockets[0].getsockname()[1]

    def on(self, cls: type, handler: Callable[[PeerLink, Message], None]) -> None:
        """Call ``handler(link, message)`` for every message of class ``cls``."""
        self._handlers_by_class.setdefault(cls, []).append(handler)

    def on_up(self, handler: Callable[[PeerLink], None]) -> None:
        """Call ``handler(link)`` for every link that opens."""
        self._on_up.append(handler)

    def on_down(self, handler: Callable[[PeerLink], None]) -> None:
        """Call ``handler(link)`` for every link that has closed."""
        self._on_down.append(handler)

    async def start(self, host: str, port: int) -> None:
        """Listen for links and start to dial and to send heartbeats."""
        self._server = await serve(
            self._accept,
            host,
            port,
            ssl=self._tls.server if self._tls else None,
            open_timeout=self._limits.handshake_ms / 1000,
            server_header=None,
            **_socket_options(),
        )
        self._ticker = asyncio.create_task(self._tick_forever())

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Set the addresses to dial while no link is open."""
        self.seeds = tuple(addresses)
        self._dial_missing()

    def set_persistent_peers(self, address_by_vm: Mapping[str, str]) -> None:
        """Set the VMs that this VM keeps links to."""
        self._persistent_address_by_vm = dict(address_by_vm)
        self._dial_missing()

    def vm_at(self, address: str) -> str | None:
        """Return the VM that the last successful dial of ``address`` reached."""
        return self._vm_by_address.get(address)

    def probe(self, address: str) -> None:
        """Dial an address once, unless a link to its VM is open."""
        vm = self._vm_by_address.get(address)
        if vm is None or vm not in self.links_by_vm:
            self._start_dial(address)

    async def link_to(self, vm: str, address: str | None) -> PeerLink | None:
        """Return the link to ``vm``; dial ``address`` if there is none.

        Returns ``None`` if the dial fails or reaches another VM.
        """
        link = self.links_by_vm.get(vm)
        if link is None and address:
            task = self._start_dial(address)
            if task is not None:
                await asyncio.wait([task])
            link = self.links_by_vm.get(vm)
        if link is not None:
            link.used_at = self._clock.now()
        return link

    def broadcast(self, message: Message, skip: PeerLink | None = None) -> None:
        """Queue a message on every link but ``skip``; full queues drop it."""
        data = encode_message(message)
        for link in list(self.links_by_vm.values()):
            if link is not skip:
                link.offer_encoded(data)

    def send_heartbeats(self) -> None:
        """Send a heartbeat now on every link, except those with a long send queue."""
        self._heartbeat_due = Millis(self._clock.now() + self._limits.heartbeat_ms)
        heartbeat = self._heartbeat()
        needed = encode_message(replace(heartbeat, keep=True))
        unneeded = encode_message(replace(heartbeat, keep=False))
        for link in list(self.links_by_vm.values()):
            if link.queued_bytes <= WRITE_LIMIT_BYTES:
                link.offer_encoded(needed if self._needs(link) else unneeded)

    async def close(self, flush_ms: int = 500) -> None:
        """Close all links and stop listening.

        :param flush_ms: longest time to send the queued messages first.
        """
        self._closing = True
        if self._ticker:
            self._ticker.cancel()
        for task in list(self._dials_by_address.values()):
            task.cancel()
        links = list(self.links_by_vm.values())
        await asyncio.gather(*(link.drain_and_close(flush_ms) for link in links))
        if self._server:
            self._server.close(close_connections=True)
            await self._server.wait_closed()

    def _needs(self, link: PeerLink) -> bool:
        if link.vm in self._persistent_address_by_vm or link.active_calls:
            return True
        used = link.used_at
        limit = self._limits.unneeded_ms
        return used is not None and self._clock.now() - used < limit

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(self._limits.tick_ms / 1000)
            try:
                self._tick(self._clock.now())
            except Exception:
                log.exception("periodic check of the peer links failed")

    def _tick(self, now: Millis) -> None:
        for link in list(self.links_by_vm.values()):
            if link.silent_ms(now) > self._limits.silence_ms:
                log.warning("closing the link to {}: silence limit exceeded", link.vm)
                link.abort()
            elif self._is_unneeded(link, now):
                link.abort()
        if now + self._limits.tick_ms // 2 >= self._heartbeat_due:
            self.send_heartbeats()
        self._dial_missing()

    def _is_unneeded(self, link: PeerLink, now: Millis) -> bool:
        """Return whether neither side has needed the link for ``unneeded_ms``.

        In that time heartbeats report to the other side that this VM no longer needs
        the link; otherwise the close would count as a failure of this VM there.
        """
        if self._needs(link) or link.needed_by_peer:
            link.unneeded_since = None
        elif link.unneeded_since is None:
            link.unneeded_since = now
        since = link.unneeded_since
        return since is not None and now - since > self._limits.unneeded_ms

    def _dial_missing(self) -> None:
        if self._closing or self._server is None:
            return
        now = self._clock.now()
        for vm, address in self._persistent_address_by_vm.items():
            if vm not in self.links_by_vm and self._backoff.is_due(address, now):
                self._start_dial(address)
        if not self.links_by_vm:
            own = self._hello().vm
            for address in self.seeds:
                known = self._vm_by_address.get(address)
                if known != own and self._backoff.is_due(address, now):
                    self._start_dial(address)

    def _start_dial(self, address: str) -> asyncio.Task | None:
        if self._closing or not address:
            return None
        task = self._dials_by_address.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address))
            self._dials_by_address[address] = task
            task.add_done_callback(lambda _: self._dials_by_address.pop(address, None))
        return task

    async def _dial(self, address: str) -> None:
        """Dial and exchange hellos; the link then runs in a task of its own."""
        scheme = "wss" if self._tls else "ws"
        socket = None
        try:
            async with asyncio.timeout(self._limits.handshake_ms / 1000):
                socket = await connect(
                    f"{scheme}://{address}/",
                    ssl=self._tls.client if self._tls else None,
                    open_timeout=None,
                    proxy=None,
                    user_agent_header=None,
                    **_socket_options(),
                )
                hello = await self._exchange_hellos(socket)
        except (OSError, TimeoutError, WebSocketException, MessageError) as error:
            if socket is not None:
                socket.transport.abort()
            self._backoff.record_failure(address, self._clock.now())
            log.debug("dialling {} failed: {}", address, error or type(error).__name__)
            return
        self._backoff.record_connection(address, self._clock.now())
        self._vm_by_address[address] = hello.vm
        link = PeerLink(socket, hello, True, self._clock)
        if self._register(link):
            task = asyncio.create_task(self._run_link(link))
            self._link_tasks.add(task)
            task.add_done_callback(self._link_tasks.discard)

    async def _accept(self, socket) -> None:
        if len(self.links_by_vm) + self._accepting >= self._limits.max_links:
            log.warning("refusing a link: limit of {} links", self._limits.max_links)
            socket.transport.abort()
            return
        self._accepting += 1
        try:
            async with asyncio.timeout(self._limits.handshake_ms / 1000):
                hello = await self._exchange_hellos(socket)
        except (OSError, TimeoutError, ConnectionClosed, MessageError) as error:
            log.warning("closing an inbound link: no valid hello: {}", error)
            socket.transport.abort()
            return
        finally:
            self._accepting -= 1
        link = PeerLink(socket, hello, False, self._clock)
        if self._register(link):
            await self._run_link(link)

    async def _exchange_hellos(self, socket) -> Hello:
        await socket.send(encode_message(self._hello()))
        data = await socket.recv()
        hello = decode_message(data) if isinstance(data, bytes) else None
        if not isinstance(hello, Hello):
            raise MessageError("first message is not a hello")
        if hello.protocol != PROTOCOL:
            raise MessageError(f"protocol {hello.protocol} instead of {PROTOCOL}")
        return hello

    def _register(self, link: PeerLink) -> bool:
        old = self.links_by_vm.get(link.vm)
        own = self._hello().vm
        if self._closing or link.vm == own or (old and not _replaces(link, old, own)):
            link.abort()
            return False
        self.links_by_vm[link.vm] = link
        if old:
            old.abort()
        return True

    async def _run_link(self, link: PeerLink) -> None:
        log.info("link to {} is up", link.vm)
        _call_each(self._on_up, link)
        reason = await link.run(self._dispatch)
        log.info("link to {} is down: {}", link.vm, reason)
        if self.links_by_vm.get(link.vm) is link:
            del self.links_by_vm[link.vm]
        _call_each(self._on_down, link)

    def _dispatch(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, Heartbeat):
            link.needed_by_peer = message.keep
        _call_each(self._handlers_by_class.get(type(message), ()), link, message)


def _call_each(handlers: Iterable[Callable], link: PeerLink, *message) -> None:
    for handler in handlers:
        try:
            handler(link, *message)
        except Exception:
            log.exception("event handler failed on the link to {}", link.vm)


def _socket_options() -> dict:
    return {
        "compression": None,
        "max_size": MAX_MESSAGE_BYTES,
        "max_queue": RECEIVE_QUEUE_FRAMES,
        "write_limit": WRITE_LIMIT_BYTES,
        "ping_interval": None,
        "close_timeout": 1,
        "logger": _websockets_logger,
    }


def _replaces(new: PeerLink, old: PeerLink, own: str) -> bool:
    """Return whether ``new`` replaces ``old``, a link to the same VM.

    A link to a newer incarnation replaces one to an older. A new link in the same
    direction as ``old`` replaces it, because its dialling side no longer uses ``old``.
    Of two links in opposite directions, both sides keep the one that the VM with the
    smaller name dialled, so that they choose the same.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.dialled == old.dialled or old.closed:
        return True
    return new.dialled == (own < new.vm)
