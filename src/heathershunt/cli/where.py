"""The command that asks a VM where a request would go now."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec
from result import Err

from heathershunt.cli.context import Output
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.cli.files import read_operator_key
from heathershunt.cli.tables import cell, table
from heathershunt.gateway.where_messages import (
    KEY_HEADER,
    WHERE_PATH,
    PartRow,
    ServiceRow,
    TargetRow,
    WhereAnswer,
    decode_query,
)
from heathershunt.http import Address, HttpClient
from heathershunt.schema.decoding import MalformedError, decode_untrusted

# Longest wait for the answer, which the VM computes at once.
TIMEOUT_MS = 5000
# Characters of an unexpected answer that an error quotes.
MAX_QUOTED = 300
COLUMNS = (
    "target",
    "domain",
    "layers",
    "kind",
    "requests",
    "first",
    "slots",
    "kv_used",
    "pace",
    "cost",
    "state",
)

_decode_answer = msgspec.json.Decoder(WhereAnswer).decode


def show_where(vm: str, fields: Mapping[str, str], key_file: str) -> Output:
    """Ask a VM where a request would go now.

    :param vm: metrics listener of the VM, as ``ip:port``.
    :param fields: the query; fields with an empty value are left out.
    :param key_file: file with the API key of the request; empty for none.
    """
    query = {name: value for name, value in fields.items() if value}
    try:
        address = Address.from_text(vm)
        decode_query(query)
    except (ValueError, MalformedError) as error:
        raise CliError(ExitCode.USAGE, str(error)) from None
    headers = {KEY_HEADER: _read_key(key_file)} if key_file else {}
    status, body = asyncio.run(_fetch(address, query, headers))
    answer = _decode(address, status, body)
    return Output(msgspec.to_builtins(answer), "\n".join(_lines(answer)))


def _read_key(path: str) -> str:
    try:
        return read_operator_key(path)
    except CliError as error:
        raise CliError(ExitCode.USAGE, str(error)) from None


async def _fetch(
    address: Address, query: Mapping[str, str], headers: Mapping[str, str]
) -> tuple[int, bytes]:
    http = HttpClient()
    try:
        outcome = await http.exchange(
            address,
            "GET",
            f"{WHERE_PATH}?{urlencode(query)}",
            headers=headers,
            timeout_ms=TIMEOUT_MS,
            connect_ms=TIMEOUT_MS,
        )
    finally:
        http.close()
    if isinstance(outcome, Err):
        raise _unreachable(address, outcome.err_value.detail)
    return outcome.ok_value


def _decode(address: Address, status: int, body: bytes) -> WhereAnswer:
    if status == 400:
        detail = cell(body.decode("utf-8", "replace")[:MAX_QUOTED])
        raise CliError(ExitCode.USAGE, f"{address} refused the query: {detail}")
    if status != 200:
        detail = f"{address} does not answer the command: status {status}"
        raise CliError(ExitCode.REFUSED, detail)
    try:
        return decode_untrusted(_decode_answer, body)
    except MalformedError as error:
        raise _unreachable(address, f"malformed answer: {error}") from None


def _unreachable(address: Address, detail: str) -> CliError:
    message = f"VM {address} cannot be reached: {cell(detail)[:MAX_QUOTED]}"
    return CliError(ExitCode.VM_UNREACHABLE, message)


# Text for people


def _lines(answer: WhereAnswer) -> list[str]:
    lines = [
        f"VM {cell(answer.vm)}: 1 of {answer.vms}, its view of the store is "
        f"{_age(answer.view_age_ms)} old, configuration {cell(answer.version)}"
    ]
    refusal = answer.refusal
    if refusal is not None:
        return [*lines, f"refused with {refusal.status}: {cell(refusal.detail)}"]
    lines.append(
        f"route {cell(answer.route)} ({cell(answer.kind)}), "
        f"account {cell(answer.account)}, priority {cell(answer.rank)}"
    )
    for service in answer.services:
        lines += ["", *_service_lines(service, len(answer.services))]
    return lines


def _service_lines(service: ServiceRow, services: int) -> list[str]:
    share = f" (weight {service.weight:g})" if services > 1 else ""
    lines = [
        f"service {cell(service.service)}{share}: {cell(service.outcome)}, "
        f"{cell(service.detail)}"
    ]
    if service.parts:
        cost = _cost(service)
        lines.append(f"  to {_chain(service.parts)}{cost}")
    lines.append(
        f"  retries left {service.retries_left}, {service.begun_retries_left} for "
        f"streams that have begun; {service.waiting} requests wait here"
    )
    if service.load_age_ms is not None:
        state = "" if service.is_load_reliable else ", not reliable"
        age = _age(service.load_age_ms)
        lines.append(f"  load of the other VMs {age} old{state}")
    if service.targets:
        lines.append(table(COLUMNS, map(_cells, service.targets)))
    return lines


def _cost(service: ServiceRow) -> str:
    if service.cost is None:
        return ""
    is_stream = service.parts[0].layers is not None
    unit = "ms" if is_stream else "calls for each slot"
    return f", cost {service.cost:,.3g} {unit}"


def _chain(parts: Sequence[PartRow]) -> str:
    return " > ".join(
        cell(part.target if part.layers is None else f"{part.target} {part.layers}")
        for part in parts
    )


def _cells(row: TargetRow) -> dict[str, Any]:
    state = "chosen" if row.is_chosen else "considered"
    if row.left_out:
        reasons = "; ".join(row.left_out)
        state = f"{'chosen though' if row.is_chosen else 'left out:'} {reasons}"
    return {
        "target": row.target,
        "domain": row.domain,
        "layers": row.layers,
        "kind": row.kind,
        "requests": row.requests,
        "first": row.head_requests,
        "slots": row.slots,
        "kv_used": None if row.kv_used is None else f"{row.kv_used:.0%}",
        "pace": f"{row.pace:.2g}",
        "cost": None if row.cost is None else f"{row.cost:,.3g}",
        "state": state,
    }


def _age(age_ms: int | None) -> str:
    return "an unknown time" if age_ms is None else f"{age_ms} ms"
