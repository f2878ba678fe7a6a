"""The daemons' operators' listeners, as the command line uses them."""

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
STATUS = "/v1/operator/status"
CHANGE_TRIES = 3
ROLL_TRIES = 3
ROLL_RETRY_MS = 500
SETTLE_MS = 10_000
SETTLE_POLL_MS = 200


@dataclass(frozen=True)
class Answer:
    """A complete response of one daemon."""

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
        """Return what a problem document says."""
        payload = self.json()
        detail = payload.get("detail") if isinstance(payload, dict) else None
        return str(detail or f"status {self.status}")


@dataclass
class Answers:
    """What several daemons answered, and why the others gave no answer."""

    values: dict[Address, Any] = field(default_factory=dict)
    failures: dict[Address, str] = field(default_factory=dict)


class Daemons:
    """The operators' listeners named in the configuration.

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

    async def ask(
        self, address: Address, method: str, target: str, body: bytes = b""
    ) -> Result[Answer, TransportError]:
        """Send one request to one daemon and read the whole answer.

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
                answer = Answer(response.status, await response.read())
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            response.close()
            detail = f"{method} {address}: {error or type(error).__name__}"
            return Err(TransportError(Progress.SENT, detail))
        if answer.status == UNAUTHORIZED:
            raise CliError(ExitCode.UNAUTHORIZED, f"{address}: {answer.detail}")
        return Ok(answer)

    async def ask_all(self, addresses: Iterable[Address], target: str) -> Answers:
        """Ask several daemons at the same time."""
        addresses = tuple(addresses)
        outcomes = await asyncio.gather(
            *(self.ask(address, "GET", target) for address in addresses)
        )
        answers = Answers()
        for address, outcome in zip(addresses, outcomes, strict=True):
            if isinstance(outcome, Err):
                answers.failures[address] = outcome.err_value.detail
            elif outcome.ok_value.status != 200:
                answers.failures[address] = outcome.ok_value.detail
            else:
                answers.values[address] = outcome.ok_value.json()
        return answers

    async def survey(self) -> Answers:
        """Return the status of the configured daemons and of those that they know.

        :raises CliError: if no daemon answers.
        """
        found = await self.ask_all(self.addresses, STATUS)
        if not found.values:
            raise _unreachable(found.failures)
        others = _known_listeners(found.values.values()) - set(self.addresses)
        more = await self.ask_all(sorted(others, key=str), STATUS)
        found.values.update(more.values)
        found.failures.update(more.failures)
        return found

    async def ask_any(self, target: str) -> Answer:
        """Return the first complete answer of a daemon."""
        failures: dict[Address, str] = {}
        for address in self.addresses:
            outcome = await self.ask(address, "GET", target)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            failures[address] = outcome.err_value.detail
        raise _unreachable(failures)

    async def timeline(
        self, query: Mapping[str, str]
    ) -> tuple[list[list[Event]], dict[Address, str]]:
        """Return the events of each daemon, and why the others gave none."""
        target = "/v1/operator/timeline"
        if query:
            target += "?" + urlencode(query)
        known = await self.survey()
        found = await self.ask_all(known.values, target)
        failures = {**known.failures, **found.failures}
        events = []
        for address, value in found.values.items():
            try:
                events.append([event_from_mapping(raw) for raw in value["events"]])
            except (ValueError, TypeError, KeyError) as error:
                failures[address] = f"{address}: not a timeline: {error}"
        return events, failures

    async def change_vm(self, vm: str, action: str) -> None:
        """Drain or admit a VM, at its own listener if it answers.

        The other daemons pass the order on; repeating it is harmless.
        """
        known = await self.survey()
        order = sorted(known.values, key=lambda a: _name(known.values[a]) != vm)
        body = json.dumps({"vm": vm}).encode()
        code = ExitCode.UNREACHABLE
        for address in order[:CHANGE_TRIES]:
            outcome = await self.ask(address, "POST", f"/v1/operator/{action}", body)
            if isinstance(outcome, Ok):
                if outcome.ok_value.status != 200:
                    raise CliError(ExitCode.REFUSED, outcome.ok_value.detail)
                return
            error = outcome.err_value
            if error.progress is not Progress.NOT_SENT:
                code = ExitCode.OUTCOME_UNKNOWN
        raise CliError(code, f"{error.detail}; run the command again")

    async def roll(self, data: bytes, version: int, sha256: str) -> None:
        """Roll a bundle file; return only once it is accepted.

        A roll may be repeated: the daemon finds out whether the root was accepted.
        """
        uncertain = False
        failures: dict[Address, str] = {}
        for attempt in range(ROLL_TRIES):
            if attempt:
                await asyncio.sleep(ROLL_RETRY_MS / 1000)
            for address in self.addresses:
                target = "/v1/operator/bundles"
                outcome = await self.ask(address, "POST", target, data)
                if isinstance(outcome, Err):
                    error = outcome.err_value
                    uncertain |= error.progress is not Progress.NOT_SENT
                    failures[address] = error.detail
                    continue
                answer = outcome.ok_value
                if answer.status == 200:
                    return
                if answer.status == CONFLICT and uncertain:
                    return await self._settle(version, sha256, answer.detail)
                if answer.status < 500:
                    raise CliError(ExitCode.REFUSED, answer.detail)
                uncertain |= answer.status == OUTCOME_UNKNOWN
                failures[address] = answer.detail
        if uncertain:
            text = "; ".join(failures.values())
            raise CliError(ExitCode.OUTCOME_UNKNOWN, f"{text}; roll it again")
        raise _unreachable(failures)

    async def _settle(self, version: int, sha256: str, detail: str) -> None:
        """Find out whether an earlier try was accepted before a conflict was seen.

        Each version has one winner, and a daemon never goes back: once a daemon has
        the version in force, its hash decides.
        """
        for _ in range(SETTLE_MS // SETTLE_POLL_MS):
            status = (await self.ask_any(STATUS)).json()
            held = status.get("bundle", {}) if isinstance(status, dict) else {}
            if held.get("sha256") == sha256:
                return
            if held.get("version", 0) == version:
                raise CliError(ExitCode.REFUSED, detail)
            if held.get("version", 0) > version:
                break
            await asyncio.sleep(SETTLE_POLL_MS / 1000)
        raise CliError(ExitCode.OUTCOME_UNKNOWN, f"a reply was lost, then: {detail}")


def _unreachable(failures: Mapping[Address, str]) -> CliError:
    return CliError(ExitCode.UNREACHABLE, "; ".join(failures.values()))


def _name(status: Any) -> str | None:
    vm = status.get("vm") if isinstance(status, dict) else None
    return vm.get("name") if isinstance(vm, dict) else None


def _known_listeners(statuses: Iterable[Any]) -> set[Address]:
    """Return the operators' listeners of the VMs that are not dead."""
    found = set()
    for status in statuses:
        members = status.get("members") if isinstance(status, dict) else None
        for member in members if isinstance(members, list) else ():
            with suppress(AttributeError, KeyError, TypeError, ValueError):
                if member["state"] != "dead":
                    found.add(Address.from_text(member["operators"]))
    return found
