"""Watches the root of the bundle in the store; each VM has one such watch."""

import asyncio
import random
from collections.abc import Callable

import logbook
from result import Err

from heathershunt.bundle import BundleError, BundleKeeper, SignedRoot, decode_root
from heathershunt.store.client import KeyValueStore
from heathershunt.store.roll import BUNDLE_ROOT_KEY, part_key

log = logbook.Logger("heathershunt.store")

WATCH_WAIT_MS = 5000
MIN_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 10_000


class BundleWatch:
    """Fetches new bundles from the store and offers them to the keeper.

    :param on_contact: called after every reply to a watch, with or without a change.
    :param on_refused: called with the reason when a root or bundle is refused.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        store: KeyValueStore,
        keeper: BundleKeeper,
        on_contact: Callable[[], None],
        on_refused: Callable[[BundleError], None] | None = None,
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._on_contact = on_contact
        self._on_refused = on_refused
        self._revision = 0
        self._delay_ms = MIN_RETRY_DELAY_MS

    async def run(self) -> None:
        """Watch until cancelled; back off with jitter after each failure."""
        while True:
            if await self._watch_once():
                self._delay_ms = MIN_RETRY_DELAY_MS
                continue
            await asyncio.sleep(self._delay_ms * random.uniform(0.5, 1.0) / 1000)
            self._delay_ms = min(2 * self._delay_ms, MAX_RETRY_DELAY_MS)

    async def _watch_once(self) -> bool:
        """Handle one reply; return ``False`` if the same watch must be repeated."""
        outcome = await self._store.watch(
            BUNDLE_ROOT_KEY, self._revision, WATCH_WAIT_MS
        )
        if isinstance(outcome, Err):
            log.warn("watch of the bundle root failed: {}", outcome.err_value.detail)
            return False
        self._on_contact()
        events, revision = outcome.ok_value
        if events and events[-1].value is not None:
            if not await self._offer(events[-1].value):
                return False
        self._revision = revision
        return True

    async def _offer(self, value: bytes) -> bool:
        """Offer a root after fetching its missing parts; ``False`` to try again."""
        try:
            signed = decode_root(value)
        except BundleError as error:
            self._report_refusal(error)
            return True
        missing = self._keeper.missing_parts(signed)
        if isinstance(missing, Err):
            error = missing.err_value
            if error.place == "root.version":
                log.info("root in the store ignored: {}", error)
            else:
                self._report_refusal(error)
            return True
        return await self._fetch_and_offer(signed, missing.ok_value)

    async def _fetch_and_offer(
        self, signed: SignedRoot, missing: tuple[str, ...]
    ) -> bool:
        parts = {}
        for digest in missing:
            stored = await self._store.get(part_key(digest))
            # Parts are written before the root, but a replica of the store may lag, so
            # a part that is absent now can appear later.
            if isinstance(stored, Err) or stored.ok_value.value is None:
                return False
            parts[digest] = stored.ok_value.value
        offered = self._keeper.offer(signed, parts)
        if isinstance(offered, Err):
            self._report_refusal(offered.err_value)
        return True

    def _report_refusal(self, error: BundleError) -> None:
        log.error("bundle in the store refused: {}", error)
        if self._on_refused:
            self._on_refused(error)
