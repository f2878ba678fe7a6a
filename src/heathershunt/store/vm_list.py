"""The platform's list of live and leaving VMs, which lags behind their state."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import logbook
import msgspec
from result import Err

from heathershunt.clock import SystemClock
from heathershunt.http import Address, HttpClient
from heathershunt.logs import RepeatLimiter
from heathershunt.schema.decoding import brief
from heathershunt.schema.fields import Label, PlainText, Text

log = logbook.Logger("heathershunt.store")

MIN_POLL_INTERVAL_MS = 1000
# Each poll transfers the whole list; at 100 bytes per entry this limits the polls to
# 8 KB/s.
ENTRIES_PER_SECOND = 80


class VmRole(Enum):
    """What a listed VM runs: the router, a runner or a plain service."""

    ENTRY = "entry"
    RUNNER = "runner"
    SERVICE = "service"


@dataclass(frozen=True)
class ListedVm:
    """One entry of the list: one address of one VM.

    :param domain: failure domain of the VM.
    :param state: ``live`` or ``leaving``.
    :param service: name of the plain service at this address, if there is one.
    """

    vm: Label
    domain: PlainText
    state: Label
    role: VmRole
    address: Text
    service: Label | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM must get no new work."""
        return self.state != "live"


def _valid_entry(item: Any) -> ListedVm:
    """Return a well-formed entry; raise ``ValueError`` for another one."""
    entry = msgspec.convert(item, ListedVm)
    if entry.role is not VmRole.ENTRY and not Address.from_text(entry.address).port:
        raise ValueError("the port is 0")
    return entry


class VmList:
    """Polls the list and keeps the last valid one while the platform is down.

    :param on_change: called with all entries after each change.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        on_change: Callable[[tuple[ListedVm, ...]], None],
    ) -> None:
        self._http = http
        self._address = address
        self._on_change = on_change
        self._lines = RepeatLimiter(SystemClock())
        self.entries: tuple[ListedVm, ...] = ()

    async def run(self) -> None:
        """Poll until cancelled, less often the longer the list is."""
        while True:
            await self.poll()
            interval_ms = len(self.entries) * 1000 // ENTRIES_PER_SECOND
            await asyncio.sleep(max(MIN_POLL_INTERVAL_MS, interval_ms) / 1000)

    async def poll(self) -> None:
        """Read the list once; a failure is logged and leaves the entries unchanged."""
        # On a kept connection, a copy of the last list would be taken for this one.
        outcome = await self._http.request_json(
            self._address, "GET", "/v1/vms", fresh=True
        )
        if isinstance(outcome, Err):
            self._log("reading the VM list failed", outcome.err_value.detail)
            return
        status, reply = outcome.ok_value
        try:
            raw = reply["vms"] if status == 200 else None
            entries = self._valid_entries(msgspec.convert(raw, list[Any]))
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            self._log("invalid reply for the VM list ignored", error)
            return
        if entries != self.entries:
            self.entries = entries
            self._on_change(entries)

    def _valid_entries(self, raw: list[Any]) -> tuple[ListedVm, ...]:
        """Return the well-formed entries, so that a malformed one hides no other VM.

        :raises ValidationError: if no entry is well-formed.
        """
        entries = []
        error = None
        for item in raw:
            try:
                entries.append(_valid_entry(item))
            except ValueError as cause:
                error = cause
                self._log("malformed entry of the VM list ignored", cause)
        if error is not None and not entries:
            raise msgspec.ValidationError(f"no entry is well-formed: {error}")
        return tuple(entries)

    def _log(self, subject: str, detail: object) -> None:
        """Log a failure, unless the same one was logged a short time ago."""
        text = brief(detail)
        if self._lines.take(f"{subject}: {text}"):
            log.warn("{}: {}", subject, text)

    def entry_vms(self) -> list[str]:
        """Return the names of the VMs with role ``ENTRY`` that are not leaving."""
        return [
            entry.vm
            for entry in self.entries
            if entry.role is VmRole.ENTRY and not entry.is_leaving
        ]

    def service_addresses(self, service: str) -> list[Address]:
        """Return the addresses of a plain service on VMs that are not leaving."""
        return [
            Address.from_text(entry.address)
            for entry in self.entries
            if entry.service == service and not entry.is_leaving
        ]
