"""Routes of the operators' listener."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Result

from heathershunt.bundle import MAX_FILE_BYTES, SignedRoot
from heathershunt.http import (
    HttpLimits,
    Request,
    Response,
    json_response,
    problem_response,
)
from heathershunt.operators.access import OperatorAccess
from heathershunt.timeline import (
    EventKind,
    Timeline,
    event_to_mapping,
    unpack_hlc,
)
from heathershunt.verdict import Refusal, not_run

# Few connections, because each may buffer a whole bundle file in memory.
OPERATOR_LIMITS = HttpLimits(body_bytes=MAX_FILE_BYTES, connections=8, idle_ms=5000)
# Encoding an event blocks the event loop, and so the relaying of tokens, for some
# microseconds.
DEFAULT_TIMELINE_EVENTS = 2000
MAX_TIMELINE_EVENTS = 5000
LIMIT_PATTERN = re.compile(r"[0-9]{1,5}")
CBOR = "application/cbor"


@dataclass(frozen=True)
class OperatorHooks:
    """Callbacks of the operators' listener into the rest of the daemon.

    :param status: returns the status of this VM and its view of the deployment, as
        JSON values.
    :param timeline: events that this VM recorded.
    :param bundle_file: returns the bundle in force as a file, ``None`` without one.
    :param roll: checks a bundle file and writes it to the store.
    :param drain: marks the named VM as leaving.
    :param admit: marks the named VM, if it is leaving, as live again.
    :param blocks: returns the requests that are refused as they crash their targets.
    :param lift: ends the blocks of a part or key; returns whether it had any.

    .. versionadded:: 0.1
    """

    status: Callable[[], dict[str, Any]]
    timeline: Timeline
    bundle_file: Callable[[], bytes | None]
    roll: Callable[[bytes], Awaitable[Result[SignedRoot, Refusal]]]
    drain: Callable[[str], Awaitable[Result[None, Refusal]]]
    admit: Callable[[str], Awaitable[Result[None, Refusal]]]
    blocks: Callable[[], list[dict[str, str | int]]]
    lift: Callable[[str], bool]


@dataclass(frozen=True)
class VmBody:
    """Body of a request to drain or admit a VM."""

    vm: str


@dataclass(frozen=True)
class PartBody:
    """Body of a request to lift the blocks of a part or key."""

    part: str


class OperatorRoutes:
    """Checks the operator key of requests and routes them to their handlers.

    .. versionadded:: 0.1
    """

    def __init__(self, access: OperatorAccess, hooks: OperatorHooks) -> None:
        self._access = access
        self._hooks = hooks

    async def handle(self, request: Request) -> Response:
        """Return the response to one request; 401 without an accepted operator key."""
        if not self._access.accepts(request.headers):
            detail = "the operator key is missing or unknown"
            refusal = not_run(401, "Unauthorized", detail)
            return problem_response(refusal)
        handlers = {
            ("GET", "/v1/operator/status"): self._status,
            ("GET", "/v1/operator/timeline"): self._timeline,
            ("GET", "/v1/operator/bundles"): self._bundle_file,
            ("POST", "/v1/operator/bundles"): self._roll,
            ("POST", "/v1/operator/drain"): self._drain,
            ("POST", "/v1/operator/admit"): self._admit,
            ("GET", "/v1/operator/blocks"): self._blocks,
            ("POST", "/v1/operator/blocks/lift"): self._lift,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return _problem(404, f"there is no {request.method} {request.path}")
        return await handler(request)

    async def _status(self, request: Request) -> Response:
        return _large_json_response(self._hooks.status())

    async def _timeline(self, request: Request) -> Response:
        query = request.query
        kind = None
        if "kind" in query:
            try:
                kind = EventKind(query["kind"])
            except ValueError:
                accepted = ", ".join(kind.value for kind in EventKind)
                return _problem(400, f"kind {query['kind']!r}: {accepted} are accepted")
        limit = query.get("limit", str(DEFAULT_TIMELINE_EVENTS))
        if LIMIT_PATTERN.fullmatch(limit) is None or int(limit) > MAX_TIMELINE_EVENTS:
            return _problem(
                400, f"limit {limit!r}: 0 to {MAX_TIMELINE_EVENTS} is accepted"
            )
        timeline = self._hooks.timeline
        events = []
        if query.get("vm", timeline.vm) == timeline.vm:
            events = timeline.events(query.get("request"), kind, int(limit))
        payload = {
            "vm": timeline.vm,
            "now_ms": unpack_hlc(timeline.clock.tick())[0],
            "dropped": timeline.dropped,
            "events": [event_to_mapping(event) for event in events],
        }
        return _large_json_response(payload)

    async def _bundle_file(self, request: Request) -> Response:
        data = self._hooks.bundle_file()
        if data is None:
            return _problem(404, "no bundle is in force here")
        return Response(200, {"content-type": CBOR}, data)

    async def _roll(self, request: Request) -> Response:
        outcome = await self._hooks.roll(request.body)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        signed = outcome.ok_value
        version = signed.root().version
        return json_response(200, {"version": version, "sha256": signed.sha256})

    async def _drain(self, request: Request) -> Response:
        return await self._change_vm(request, self._hooks.drain, "leaving")

    async def _admit(self, request: Request) -> Response:
        return await self._change_vm(request, self._hooks.admit, "live")

    async def _blocks(self, request: Request) -> Response:
        return _large_json_response({"blocks": self._hooks.blocks()})

    async def _lift(self, request: Request) -> Response:
        body = _decode(request, PartBody)
        if isinstance(body, Response):
            return body
        if not self._hooks.lift(body.part):
            return _problem(404, f"{body.part!r} is not blocked here")
        return json_response(200, {"part": body.part, "state": "lifted"})

    async def _change_vm(
        self,
        request: Request,
        change: Callable[[str], Awaitable[Result[None, Refusal]]],
        state: str,
    ) -> Response:
        body = _decode(request, VmBody)
        if isinstance(body, Response):
            return body
        vm = body.vm
        outcome = await change(vm)
        if isinstance(outcome, Err):
            return problem_response(outcome.err_value)
        return json_response(200, {"vm": vm, "state": state})


def _large_json_response(payload: dict[str, Any]) -> Response:
    """Return a JSON response; values of types unknown to JSON are written as text."""
    body = msgspec.json.encode(payload, enc_hook=str)
    return Response(200, {"content-type": "application/json"}, body)


def _decode(request: Request, body_type: type) -> Any:
    """Return the body of a request, or the response to one that is malformed."""
    try:
        return msgspec.json.decode(request.body, type=body_type)
    except RecursionError:
        return _problem(400, "the JSON is nested too deeply")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _problem(400, str(error))


def _problem(status: int, detail: str) -> Response:
    titles = {400: "Request refused", 404: "Not found"}
    return problem_response(not_run(status, titles[status], detail))
