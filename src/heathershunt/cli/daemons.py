"""Client of the daemons' operator listeners."""

import asyncio
import json
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

import h11
from result import Err, Ok, Result

from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.cli.files import Config, read_operator_key, read_tls
from heathershunt.http import Address, HttpClient, TransportError
from heathershunt.timeline import Event, event_from_mapping
from heathershunt.verdict import Progress

UNAUTHORIZED = 401
CONFLICT = 409
OUTCOME_UNKNOWN = 504
STATUS_PATH = "/v1/operator/status"
MAX_CHANGE_TRIES = 3
MAX_ROLL_TRIES = 3
ROLL_RETRY_DELAY_MS = 500
CONFLICT_TIMEOUT_MS = 10_000
CONFLICT_POLL_INTERVAL_MS = 200


@dataclass(frozen=True)
class Reply:
    """A complete reply of one daemon."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded body, an empty map if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def detail(self) -> str:
        """Detail of a problem document, or the status without one."""
        payload = self.json()
        detail = payload.get("detail") if isinstance(payload, dict) else None
        return str(detail or f"status {self.status}")


@dataclass
class Replies:
    """Decoded replies of several daemons, and the errors of the others."""

    values: dict[Address, Any] = field(default_factory=dict)
    failures: dict[Address, str] = field(default_factory=dict)


class Daemons:
    """Client of the operator listeners named in the configuration.

    .. versionadded:: 0.1
    """

    def __init__(self, config: Config) -> None:
        self.addresses = tuple(map(Address.from_text, config.daemons))
        key = read_operator_key(config.key_file)
        self._headers = {"authorization": f"Bearer {key}"}
        self._http = HttpClient(read_tls(config.tls_authority))
        self._timeout_ms = config.timeout_ms

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def send_request(
        self, address: Address, method: str, target: str, body: bytes = b""
    ) -> Result[Reply, TransportError]:
        """Send one request to one daemon and read the whole reply.

        :raises CliError: if the operator key is not accepted.
        """
        options = {"headers": self._headers, "timeout_ms": self._timeout_ms}
        outcome = await self._http.request(
            address, method, target, body=body, **options
        )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        try:
            async with asyncio.timeout(self._timeout_ms / 1000):
                reply = Reply(response.status, await response.read())
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            response.close()
            detail = f"{method} {address}: {error or type(error).__name__}"
            return Err(TransportError(Progress.SENT, detail))
        if reply.status == UNAUTHORIZED:
            raise CliError(ExitCode.UNAUTHORIZED, f"{address}: {reply.detail}")
        return Ok(reply)

    async def get_all(self, addresses: Iterable[Address], target: str) -> Replies:
        """Send a GET request to several daemons at the same time."""
        addresses = tuple(addresses)
        outcomes = await asyncio.gather(
            *(self.send_request(address, "GET", target) for address in addresses)
        )
        replies = Replies()
        for address, outcome in zip(addresses, outcomes, strict=True):
            if isinstance(outcome, Err):
                replies.failures[address] = outcome.err_value.detail
            elif outcome.ok_value.status != 200:
                replies.failures[address] = outcome.ok_value.detail
            else:
                replies.values[address] = outcome.ok_value.json()
        return replies

    async def fetch_statuses(self) -> Replies:
        """Return the statuses of the configured daemons and of the VMs they list.

        :raises CliError: if no configured daemon replies.
        """
        found = await self.get_all(self.addresses, STATUS_PATH)
        if not found.values:
            raise _unreachable_error(found.failures)
        others = _operator_listeners(found.values.values()) - set(self.addresses)
        more = await self.get_all(sorted(others, key=str), STATUS_PATH)
        found.values.update(more.values)
        found.failures.update(more.failures)
        return found

    async def get_any(self, target: str) -> Reply:
        """Return the first complete reply of a configured daemon, whatever its status.

        :raises CliError: if no daemon replies.
        """
        failures: dict[Address, str] = {}
        for address in self.addresses:
            outcome = await self.send_request(address, "GET", target)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            failures[address] = outcome.err_value.detail
        raise _unreachable_error(failures)

    async def timeline(
        self, query: Mapping[str, str]
    ) -> tuple[list[list[Event]], dict[Address, str]]:
        """Return the events of each daemon, and the errors of the others."""
        target = "/v1/operator/timeline"
        if query:
            target += "?" + urlencode(query)
        statuses = await self.fetch_statuses()
        found = await self.get_all(statuses.values, target)
        failures = {**statuses.failures, **found.failures}
        events = []
        for address, value in found.values.items():
            try:
                events.append([event_from_mapping(raw) for raw in value["events"]])
            except (ValueError, TypeError, KeyError) as error:
                failures[address] = f"{address}: not a timeline: {error}"
        return events, failures

    async def change_vm(self, vm: str, action: str) -> None:
        """Drain or admit a VM, at its own listener if it replies.

        Any other daemon spreads the change to the VM; repeating it is harmless.

        :raises CliError: if no daemon confirms the change.
        """
        statuses = await self.fetch_statuses()
        addresses = sorted(
            statuses.values, key=lambda a: _vm_name(statuses.values[a]) != vm
        )
        body = json.dumps({"vm": vm}).encode()
        code = ExitCode.UNREACHABLE
        for address in addresses[:MAX_CHANGE_TRIES]:
            outcome = await self.send_request(
                address, "POST", f"/v1/operator/{action}", body
            )
            if isinstance(outcome, Ok):
                if outcome.ok_value.status != 200:
                    raise CliError(ExitCode.REFUSED, outcome.ok_value.detail)
                return
            error = outcome.err_value
            if error.progress is not Progress.NOT_SENT:
                code = ExitCode.OUTCOME_UNKNOWN
        raise CliError(code, f"{error.detail}; run the command again")

    async def roll(self, data: bytes, version: int, sha256: str) -> None:
        """Roll out a bundle file; return only once the store has accepted it.

        A roll may be repeated: the daemon finds out whether the root was accepted.

        :raises CliError: if the bundle is refused or no daemon confirms its acceptance.
        """
        may_be_accepted = False
        failures: dict[Address, str] = {}
        for attempt in range(MAX_ROLL_TRIES):
            if attempt:
                await asyncio.sleep(ROLL_RETRY_DELAY_MS / 1000)
            for address in self.addresses:
                target = "/v1/operator/bundles"
                outcome = await self.send_request(address, "POST", target, data)
                if isinstance(outcome, Err):
                    error = outcome.err_value
                    may_be_accepted |= error.progress is not Progress.NOT_SENT
                    failures[address] = error.detail
                    continue
                reply = outcome.ok_value
                if reply.status == 200:
                    return
                if reply.status == CONFLICT and may_be_accepted:
                    return await self._resolve_conflict(version, sha256, reply.detail)
                if reply.status < 500:
                    raise CliError(ExitCode.REFUSED, reply.detail)
                may_be_accepted |= reply.status == OUTCOME_UNKNOWN
                failures[address] = reply.detail
        if may_be_accepted:
            text = "; ".join(failures.values())
            raise CliError(ExitCode.OUTCOME_UNKNOWN, f"{text}; roll the bundle again")
        raise _unreachable_error(failures)

    async def _resolve_conflict(self, version: int, sha256: str, detail: str) -> None:
        """Find out whether an earlier try was accepted before this conflict.

        Of each version the store accepts one root, and a daemon never returns to a
        lower version: the hash of the version in force shows which root was accepted.

        :raises CliError: if another root was accepted, or neither can be shown in time.
        """
        for _ in range(CONFLICT_TIMEOUT_MS // CONFLICT_POLL_INTERVAL_MS):
            status = (await self.get_any(STATUS_PATH)).json()
            in_force = status.get("bundle", {}) if isinstance(status, dict) else {}
            if in_force.get("sha256") == sha256:
                return
            if in_force.get("version", 0) == version:
                raise CliError(ExitCode.REFUSED, detail)
            if in_force.get("version", 0) > version:
                break
            await asyncio.sleep(CONFLICT_POLL_INTERVAL_MS / 1000)
        raise CliError(
            ExitCode.OUTCOME_UNKNOWN,
            f"the reply of an earlier try was lost; a later try was refused: {detail}",
        )


def _unreachable_error(failures: Mapping[Address, str]) -> CliError:
    return CliError(ExitCode.UNREACHABLE, "; ".join(failures.values()))


def _vm_name(status: Any) -> str | None:
    vm = status.get("vm") if isinstance(status, dict) else None
    return vm.get("name") if isinstance(vm, dict) else None


def _operator_listeners(statuses: Iterable[Any]) -> set[Address]:
    """Return the operator listeners of the members that are not dead."""
    found = set()
    for status in statuses:
        members = status.get("members") if isinstance(status, dict) else None
        for member in members if isinstance(members, list) else ():
            with suppress(AttributeError, KeyError, TypeError, ValueError):
                if member["state"] != "dead":
                    found.add(Address.from_text(member["operators"]))
    return found
