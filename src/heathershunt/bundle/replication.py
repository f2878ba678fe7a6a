"""Fetches newer bundles from peers and serves the bundle in force to them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook
from result import Err

from heathershunt.bundle.confirmation import ConfirmationTracker
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.keeper import BundleKeeper
from heathershunt.bundle.parts import (
    MAX_PART_BYTES,
    SignedRoot,
    decode_root,
    encode_signed_root,
)
from heathershunt.clock import Clock
from heathershunt.peers import (
    Heartbeat,
    LinkClosedError,
    PartReply,
    PartRequest,
    PeerLink,
    PeerMesh,
    RootReply,
    RootRequest,
)
from heathershunt.peers.messages import CHUNK_BYTES

log = logbook.Logger("heathershunt.bundle")

REPLY_TIMEOUT_MS = 3000
# Parts requested at a time. One at a time would cost a round trip for each of the 128
# parts of a large bundle, 13 s over a link with a round trip of 100 ms.
MAX_PARTS_IN_FLIGHT = 8
# How long a peer is skipped after a failed fetch, so that others are tried first.
FAILED_PEER_SKIP_MS = 5000


class FetchError(Exception):
    """A peer did not deliver the bundle that it announced.

    .. versionadded:: 0.1
    """


_FETCH_FAILURES = (FetchError, BundleError, LinkClosedError, TimeoutError)


@dataclass
class _Fetch:
    """The current fetch from one peer, with its unanswered requests."""

    link: PeerLink
    root: asyncio.Future | None = None
    # Futures of the unanswered part requests, by hash and offset.
    parts: dict[tuple[str, int], asyncio.Future] = field(default_factory=dict)

    def fail(self, detail: str) -> None:
        for future in (self.root, *self.parts.values()):
            if future is not None and not future.done():
                future.set_exception(FetchError(detail))


class BundleReplicator:
    """Replicates the bundle of the highest version between peers.

    Heartbeats announce the version in force on each peer. A higher version is fetched
    from one peer at a time; if a fetch fails, the parts that arrived are kept for the
    next peer. :class:`BundleKeeper` does all verification.

    :param tracker: records every heartbeat of a peer.
    :param on_conflict: called with the name of a VM that announces a different bundle
        of the version in force, once per VM and bundle.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        keeper: BundleKeeper,
        mesh: PeerMesh,
        clock: Clock,
        tracker: ConfirmationTracker | None = None,
        on_conflict: Callable[[str], None] | None = None,
    ) -> None:
        self._keeper = keeper
        self._mesh = mesh
        self._clock = clock
        self._tracker = tracker
        self._on_conflict = on_conflict
        self._announced_by_link: dict[PeerLink, tuple[int, str]] = {}
        self._failed_at_by_vm: dict[str, int] = {}
        self._conflicts: set[tuple[str, str]] = set()
        self._staged_by_sha256: dict[str, bytes] = {}
        self._fetch: _Fetch | None = None
        self._task: asyncio.Task | None = None
        self._announced_version = keeper.version
        mesh.on(Heartbeat, self._on_heartbeat)
        mesh.on(RootRequest, self._on_root_request)
        mesh.on(RootReply, self._on_root_reply)
        mesh.on(PartRequest, self._on_part_request)
        mesh.on(PartReply, self._on_part_reply)
        mesh.on_down(self._on_link_down)

    def announce(self) -> None:
        """Send a heartbeat to all peers now if the version in force has risen.

        Must be called after the keeper took a bundle from a source other than peers.
        """
        if self._keeper.version > self._announced_version:
            self._announced_version = self._keeper.version
            self._mesh.send_heartbeats()

    def close(self) -> None:
        """Cancel the current fetch."""
        if self._task is not None:
            self._task.cancel()

    def _on_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        if self._tracker is not None:
            self._tracker.record_peer_contact(self._clock.now())
        self._announced_by_link[link] = (
            heartbeat.bundle_version,
            heartbeat.bundle_sha256,
        )
        if heartbeat.bundle_version > self._keeper.version:
            self._start_fetch()
        elif heartbeat.bundle_version == self._keeper.version:
            self._report_conflict(link, heartbeat)

    def _report_conflict(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        conflict = (link.vm, heartbeat.bundle_sha256)
        if (
            heartbeat.bundle_sha256 == self._keeper.sha256
            or conflict in self._conflicts
        ):
            return
        self._conflicts.add(conflict)
        log.error(
            "{} has a different bundle of version {}: {}",
            link.vm,
            heartbeat.bundle_version,
            heartbeat.bundle_sha256[:12],
        )
        if self._on_conflict:
            self._on_conflict(link.vm)

    def _on_link_down(self, link: PeerLink) -> None:
        self._announced_by_link.pop(link, None)
        if self._fetch is not None and self._fetch.link is link:
            self._fetch.fail("the link closed")

    def _start_fetch(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._fetch_highest())

    def _next_source(self) -> tuple[PeerLink, str] | None:
        """Return the link to fetch from and the hash of the root that it announced.

        This is the link with the highest version, and of these the one with the fewest
        queued bytes. Returns ``None`` if no version is above the one in force.
        """
        now = self._clock.now()
        best = None
        best_key = (self._keeper.version, 0)
        for link, (version, sha256) in self._announced_by_link.items():
            failed_at = self._failed_at_by_vm.get(link.vm)
            if failed_at is not None and now - failed_at < FAILED_PEER_SKIP_MS:
                continue
            key = (version, -link.queued_bytes)
            if version > self._keeper.version and (best is None or key > best_key):
                best, best_key = (link, sha256), key
        return best

    async def _fetch_highest(self) -> None:
        while (source := self._next_source()) is not None:
            link, sha256 = source
            self._fetch = _Fetch(link)
            try:
                await self._fetch_from(link, sha256)
            except _FETCH_FAILURES as error:
                detail = str(error) or "no reply"
                log.warning("fetching a bundle from {} failed: {}", link.vm, detail)
                self._failed_at_by_vm[link.vm] = self._clock.now()
            finally:
                self._fetch = None
        if len(self._failed_at_by_vm) > len(self._announced_by_link):
            self._failed_at_by_vm.clear()

    async def _fetch_from(self, link: PeerLink, sha256: str) -> None:
        signed = await self._fetch_root(link, sha256)
        missing = self._keeper.missing_parts(signed)
        if isinstance(missing, Err):
            raise missing.err_value
        size_by_sha256 = {entry.sha256: entry.size for entry in signed.root().parts}
        self._staged_by_sha256 = {
            key: data
            for key, data in self._staged_by_sha256.items()
            if key in size_by_sha256
        }
        wanted = [key for key in missing.ok_value if key not in self._staged_by_sha256]
        await self._fetch_parts(link, wanted, size_by_sha256)
        outcome = self._keeper.offer(signed, self._staged_by_sha256)
        if isinstance(outcome, Err):
            # A staged part may be the cause, so the next attempt fetches all again.
            self._staged_by_sha256 = {}
            raise outcome.err_value
        self._staged_by_sha256 = {}
        log.info("bundle {} fetched from {}", self._keeper.version, link.vm)
        self.announce()

    async def _fetch_root(self, link: PeerLink, sha256: str) -> SignedRoot:
        future = asyncio.get_running_loop().create_future()
        self._fetch.root = future
        if not link.offer(RootRequest(sha256)):
            raise FetchError("the send queue is full or the link closed")
        async with asyncio.timeout(REPLY_TIMEOUT_MS / 1000):
            reply: RootReply = await future
        if not reply.data:
            raise FetchError(f"the peer no longer has root {sha256[:12]}")
        signed = decode_root(reply.data)
        if signed.sha256 != sha256:
            raise FetchError(f"the peer sent another root than {sha256[:12]}")
        return signed

    async def _fetch_parts(
        self, link: PeerLink, wanted: list[str], size_by_sha256: dict[str, int]
    ) -> None:
        remaining = iter(dict.fromkeys(wanted))

        async def fetch_remaining() -> None:
            for sha256 in remaining:
                data = await self._fetch_part(link, sha256, size_by_sha256[sha256])
                self._staged_by_sha256[sha256] = data

        try:
            async with asyncio.TaskGroup() as group:
                for _ in range(MAX_PARTS_IN_FLIGHT):
                    group.create_task(fetch_remaining())
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None

    async def _fetch_part(self, link: PeerLink, sha256: str, size: int) -> bytes:
        if not 0 < size <= MAX_PART_BYTES:
            raise FetchError(f"a part has {size} bytes, not 1 to {MAX_PART_BYTES}")
        received = bytearray()
        while len(received) < size:
            key = (sha256, len(received))
            future = asyncio.get_running_loop().create_future()
            self._fetch.parts[key] = future
            await link.send(PartRequest(*key))
            async with asyncio.timeout(REPLY_TIMEOUT_MS / 1000):
                reply: PartReply = await future
            if reply.size != size or not reply.data:
                raise FetchError(f"the peer does not have part {sha256[:12]}")
            received += reply.data
        return bytes(received)

    def _on_root_request(self, link: PeerLink, message: RootRequest) -> None:
        signed = self._keeper.signed
        is_held = signed is not None and signed.sha256 == message.sha256
        data = encode_signed_root(signed) if is_held else b""
        link.offer(RootReply(message.sha256, data))

    def _on_root_reply(self, link: PeerLink, message: RootReply) -> None:
        fetch = self._fetch
        if fetch and fetch.link is link and fetch.root and not fetch.root.done():
            fetch.root.set_result(message)

    def _on_part_request(self, link: PeerLink, message: PartRequest) -> None:
        data = self._keeper.parts_by_sha256.get(message.sha256, b"")
        chunk = data[message.offset : message.offset + CHUNK_BYTES]
        link.offer(PartReply(message.sha256, message.offset, len(data), chunk))

    def _on_part_reply(self, link: PeerLink, message: PartReply) -> None:
        fetch = self._fetch
        if fetch is None or fetch.link is not link:
            return
        future = fetch.parts.pop((message.sha256, message.offset), None)
        if future is not None and not future.done():
            future.set_result(message)
