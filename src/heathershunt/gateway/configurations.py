"""Keeps the newest configuration when a restored store holds an older one.

VMs that run keep the configuration in force, as only higher versions replace it. A VM
that starts has none: it asks VMs that run, and reads the copy that one of them keeps in
the store until the operator has written again.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import logbook
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination import LeasedValue, Store
from heathershunt.http import Address, HttpClient, Request, Response

# Key of the configuration that VMs keep in the store.
KEPT_KEY = "configuration/newest"
CONFIGURATION_PATH = "/configuration"
POLL_MS = 100
# Delay of each VM after the one before it in the list, so that one of them writes.
RANK_DELAY_MS = 150
MAX_DELAY_MS = 3000
RETRY_MS = 1000
# VMs that a VM asks as it starts, and the time limit of the questions.
ASKED_VMS = 3
ASK_TIMEOUT_MS = 800
# Time for which a VM that starts waits until others are listed, if the store was ever
# restored: the copy may be older than the entries of all of them.
WAIT_FOR_VMS_MS = 1500
# Era of a store that was never restored.
FIRST_ERA = 1
MAX_CONFIGURATION_BYTES = 1_048_576

log = logbook.Logger("heathershunt.gateway")


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """Versions of the configuration that a VM sees; 0 for none.

    :param in_force: version on this VM.
    :param operator: version that the operator's key in the store holds.
    :param kept: version that VMs keep in the store.
    """

    in_force: int = 0
    operator: int = 0
    kept: int = 0


class Step(Enum):
    """What is to be done with the kept configuration.

    .. versionadded:: 0.7
    """

    NONE = "none"
    WRITE = "write"
    REMOVE = "remove"


def next_step(versions: KnownVersions) -> Step:
    """Return what the versions call for."""
    if versions.in_force > max(versions.operator, versions.kept):
        return Step.WRITE
    if versions.kept and versions.operator >= versions.kept:
        return Step.REMOVE
    return Step.NONE


class ConfigurationSource(Protocol):
    """What a VM knows of the configuration.

    :ivar raw_configuration: the configuration in force as it was written.

    .. versionadded:: 0.7
    """

    raw_configuration: bytes

    def versions(self) -> KnownVersions:
        """Return the versions that this VM sees."""

    def offer_configuration(self, raw: bytes) -> None:
        """Put a configuration in force if it is newer."""


class ConfigurationKeeper:
    """Writes the configuration in force to the store while the operator's is older.

    :param rank: returns the number of VMs in the list before this one.
    :param is_current: returns whether this VM sees the store as it is now.

    .. versionadded:: 0.7
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        source: ConfigurationSource,
        rank: Callable[[], int],
        is_current: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._source = source
        self._rank = rank
        self._is_current = is_current
        self._step = Step.NONE
        self._due_at = Millis(0)

    async def run(self) -> None:
        """Follow the versions until cancelled."""
        while True:
            await asyncio.sleep(POLL_MS / 1000)
            await self.run_once()

    async def run_once(self) -> None:
        """Write or remove the kept configuration if that is due."""
        step = next_step(self._source.versions()) if self._is_current() else Step.NONE
        now = self._clock.now()
        if step is not self._step:
            self._step = step
            delay_ms = min(MAX_DELAY_MS, self._rank() * RANK_DELAY_MS)
            self._due_at = Millis(now + delay_ms)
        if step is Step.NONE or now < self._due_at:
            return
        self._due_at = Millis(now + RETRY_MS)
        values, removed = (), (KEPT_KEY,)
        if step is Step.WRITE:
            values = (LeasedValue(KEPT_KEY, self._source.raw_configuration),)
            removed = ()
        outcome = await self._store.commit((), values, removed)
        if isinstance(outcome, Err):
            detail = outcome.err_value.detail
            log.warning("configuration not kept ({}): {}", step.value, detail)


class ConfigurationInquiry:
    """Asks VMs that run for their configuration, once as this VM starts.

    :param peers: called for the addresses of the other VMs.
    :param era: called for the era of the store.
    :ivar is_done: whether the VMs were asked, or there were none.

    .. versionadded:: 0.7
    """

    def __init__(
        self,
        http: HttpClient,
        source: ConfigurationSource,
        peers: Callable[[], Sequence[Address]],
        era: Callable[[], int],
    ) -> None:
        self._http = http
        self._source = source
        self._peers = peers
        self._era = era
        self.is_done = False

    async def run(self) -> None:
        """Wait for the first configuration of the store, then ask some VMs."""
        while not self._source.versions().in_force:
            await asyncio.sleep(POLL_MS / 1000)
        await self._wait_for_peers()
        peers = list(self._peers())
        asked = random.sample(peers, min(ASKED_VMS, len(peers)))
        for answer in asyncio.as_completed(map(self._ask, asked)):
            raw = await answer
            if raw is not None:
                # One that knows has the newest; the others may not answer at all.
                self._source.offer_configuration(raw)
                break
        self.is_done = True

    async def _wait_for_peers(self) -> None:
        waited_ms = 0
        while not self._peers() and self._era() > FIRST_ERA:
            if waited_ms >= WAIT_FOR_VMS_MS:
                return
            await asyncio.sleep(POLL_MS / 1000)
            waited_ms += POLL_MS

    async def _ask(self, address: Address) -> bytes | None:
        outcome = await self._http.exchange(
            address,
            "GET",
            CONFIGURATION_PATH,
            timeout_ms=ASK_TIMEOUT_MS,
            limit=MAX_CONFIGURATION_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            detail = outcome.err_value.detail
            log.info("{} was not asked for its configuration: {}", address, detail)
            return None
        status, raw = outcome.ok_value
        return raw if status == 200 else None

    async def handle(self, request: Request) -> Response:
        """Answer another VM with the configuration in force; 404 while unsure of it."""
        if not self.is_done:
            return Response(404)
        return Response(200, {}, self._source.raw_configuration)
