"""The one watch per VM: it follows the root of the bundle in the store."""

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
FIRST_DELAY_MS = 200
LONGEST_DELAY_MS = 10_000


class BundleWatch:
    """Offers every root that appears in the store to the keeper.

    :param on_contact: called after every answer of the store.
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
        self._delay_ms = FIRST_DELAY_MS

    async def run(self) -> None:
        """Watch until cancelled; back off with jitter while the store is out."""
        while True:
            if await self._watch_once():
                self._delay_ms = FIRST_DELAY_MS
                continue
            await asyncio.sleep(self._delay_ms * random.uniform(0.5, 1.0) / 1000)
            self._delay_ms = min(2 * self._delay_ms, LONGEST_DELAY_MS)

    async def _watch_once(self) -> bool:
        outcome = await self._store.watch(
            BUNDLE_ROOT_KEY, self._revision, WATCH_WAIT_MS
        )
        if isinstance(outcome, Err):
            log.warn("watch failed: {}", outcome.err_value.detail)
            return False
        self._on_contact()
        events, revision = outcome.ok_value
        if events and events[-1].value is not None:
            if not await self._offer(events[-1].value):
                return False
        self._revision = revision
        return True

    async def _offer(self, value: bytes) -> bool:
        """Fetch missing parts and offer the root; ``False`` to try it again."""
        try:
            signed = decode_root(value)
        except BundleError as error:
            self._refuse(error)
            return True
        missing = self._keeper.missing_parts(signed)
        if isinstance(missing, Err):
            error = missing.err_value
            if error.place == "root.version":
                log.info("root in the store not taken: {}", error)
            else:
                self._refuse(error)
            return True
        return await self._fetch_and_offer(signed, missing.ok_value)

    async def _fetch_and_offer(
        self, signed: SignedRoot, missing: tuple[str, ...]
    ) -> bool:
        parts = {}
        for digest in missing:
            stored = await self._store.get(part_key(digest))
            # Parts are written before the root, so one that is absent may follow.
            if isinstance(stored, Err) or stored.ok_value.value is None:
                return False
            parts[digest] = stored.ok_value.value
        offered = self._keeper.offer(signed, parts)
        if isinstance(offered, Err):
            self._refuse(offered.err_value)
        return True

    def _refuse(self, error: BundleError) -> None:
        log.error("bundle in the store refused: {}", error)
        if self._on_refused:
            self._on_refused(error)
