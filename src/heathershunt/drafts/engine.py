"""Client of the engines' HTTP protocol for runs: open, start, probe, cancel."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from heathershunt.availability import DAEMON_FIELDS, Notice, decode_notice
from heathershunt.clock import Clock
from heathershunt.http import Address, ClientResponse, HttpClient, TransportError
from heathershunt.ratelimits import RATE_LIMIT_HEADER, Statement, decode_limit
from heathershunt.routing import Chain, Stage
from heathershunt.schema.decoding import decode_untrusted
from heathershunt.schema.fields import Position, Text, Whole
from heathershunt.verdict import Progress

OPEN_TIMEOUT_MS = 1000
START_TIMEOUT_MS = 1000
CANCEL_TIMEOUT_MS = 1000
STATUS_TIMEOUT_MS = 300
# A process that ends may still take a connection, which is then reset.
STATUS_TRIES = 2
MAX_LINE_BYTES = 1_048_576
EMPTY_TRACE = msgspec.Raw(b"[]")


class StageLine(msgspec.Struct, frozen=True, gc=False):
    """One line of a stage's stream; ``event`` says which fields are set.

    ``trace`` is kept as encoded JSON, so that a trace whose bytes equal the last one's
    is not decoded.
    """

    event: Text
    epoch: Position = 0
    position: Position = -1
    text: str = ""
    trace: msgspec.Raw = EMPTY_TRACE
    last: bool = False
    reason: str = ""
    runner: Text = ""
    first_layer: Position = -1
    end_layer: Position = -1
    version: Text = ""
    kv_positions: Whole = 0


@dataclass(frozen=True)
class RunSpec:
    """Parameters of one epoch's run, sent to every stage of its chain.

    :param run: request id of the draft, the same in all its epochs.
    :param tokens: texts of the tokens before ``position``.
    :param position: position of the first token to emit.
    :param deadline_ms: time left until the draft's deadline.
    """

    run: str
    epoch: int
    chain: Chain
    prompt: str
    tokens: tuple[str, ...]
    position: int
    max_tokens: int
    seed: int
    priority: int
    deadline_ms: int


class ProbeFailure(Enum):
    """Why a probe of a stage gave no position.

    ``SILENT``: no answer came in time, as from a process that stands still for a while.
    ``NO_RUN``: the stage does not have the run, or nothing listens at its address.

    .. versionadded:: 0.8
    """

    SILENT = "silent"
    NO_RUN = "no run"


class _StatusReply(msgspec.Struct):
    incarnation: Whole


class _ProbeReply(msgspec.Struct):
    """Reply to a probe.

    :param position: position of the last token that the stage has computed.
    """

    position: Position


_parse_address = lru_cache(maxsize=4096)(Address.from_text)
_decode_line = msgspec.json.Decoder(StageLine).decode
_decode_trace = msgspec.json.Decoder(list[Any]).decode


def decode_trace(trace: bytes | msgspec.Raw) -> list[Any]:
    """Return the parts of a trace; raise ``MalformedError`` if it is malformed."""
    return decode_untrusted(_decode_trace, trace)


def _decode(line: bytes) -> StageLine:
    return decode_untrusted(_decode_line, line)


class StageStream:
    """The open stream of one stage."""

    def __init__(self, stage: Stage, response: ClientResponse) -> None:
        self.stage = stage
        self._response = response
        self._partial_line = b""

    async def read_lines(self) -> list[StageLine]:
        """Return the complete lines that have arrived; empty at the end of the stream.

        Waits for at least one complete line.

        :raises ConnectionError: if the connection ends before the stream does.
        :raises ValueError: if a line is malformed, or an incomplete one is longer than
            ``MAX_LINE_BYTES``.
        """
        while True:
            data = await self._response.read_some()
            if data is None:
                return []
            if not self._partial_line and data.find(b"\n") == len(data) - 1:
                return [_decode(data)]
            lines = (self._partial_line + data).split(b"\n")
            self._partial_line = lines.pop()
            if len(self._partial_line) > MAX_LINE_BYTES:
                raise ValueError("a line of the stage is too long")
            if lines:
                return [_decode(line) for line in lines]

    def close(self) -> None:
        """Close the connection of the stream; the stage then ends the run."""
        self._response.close()


class EngineClient:
    """Calls the stages of a chain over the engines' HTTP protocol.

    :param on_limit: called with a runner and what its answer to a run says of the runs
        that it takes.
    :param on_notice: called with a runner and what its answer to a run says of its
        availability, whatever the answer is otherwise.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        on_limit: Callable[[str, Statement], None] = lambda runner, statement: None,
        on_notice: Callable[[str, Notice], None] = lambda runner, notice: None,
    ) -> None:
        self._http = http
        self._clock = clock
        self._on_limit = on_limit
        self._on_notice = on_notice

    async def open(
        self, spec: RunSpec, index: int
    ) -> Result[tuple[StageStream, list[StageLine]], TransportError]:
        """Open the run at one stage; return its stream and first lines.

        :param index: index of the stage in the chain.
        """
        stage = spec.chain.stages[index]
        sent_at = self._clock.now()
        outcome = await self._http.request(
            _parse_address(stage.address),
            "POST",
            "/v1/runs",
            headers={"content-type": "application/json"},
            body=json.dumps(_open_body(spec, index)).encode(),
            timeout_ms=OPEN_TIMEOUT_MS,
            # The lines of a stream do not name their run. On a reused connection a
            # duplicate of an earlier run's stream would be read as this one's.
            fresh=True,
        )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        per_s = decode_limit(response.headers, RATE_LIMIT_HEADER)
        self._on_limit(stage.runner, Statement(per_s, sent_at))
        notice = decode_notice(response.status, response.fields, DAEMON_FIELDS)
        self._on_notice(stage.runner, notice)
        stream = StageStream(stage, response)
        if response.status != 200:
            stream.close()
            detail = f"{stage.runner} refused the run with status {response.status}"
            return Err(TransportError(Progress.ANSWERED, detail))
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                lines = await stream.read_lines()
        except (OSError, TimeoutError, ValueError) as error:
            stream.close()
            return Err(TransportError(Progress.SENT, f"{stage.runner}: {error}"))
        return Ok((stream, lines))

    async def start(
        self, spec: RunSpec, kv_positions: list[int]
    ) -> Result[None, TransportError]:
        """Start an opened run at its first stage.

        :param kv_positions: number of positions in the KV cache of each stage, as its
            ``opened`` line reported it.
        """
        stage = spec.chain.stages[0]
        outcome = await self._http.request_json(
            _parse_address(stage.address),
            "POST",
            f"/v1/runs/{quote(spec.run)}/start",
            {"epoch": spec.epoch, "kv_positions": kv_positions},
            timeout_ms=START_TIMEOUT_MS,
            # Replies do not name their run: a copy of an earlier refusal would tell
            # that this run has not started.
            fresh=True,
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value[0] != 200:
            detail = f"{stage.runner} did not start the run"
            return Err(TransportError(Progress.ANSWERED, detail))
        return Ok(None)

    def close_idle_connections(self, stage: Stage) -> None:
        """Close the idle connections to a stage; after a stall they may be dead too."""
        self._http.close_idle(_parse_address(stage.address))

    async def probe(
        self, stage: Stage, run: str, timeout_ms: int
    ) -> int | ProbeFailure:
        """Return the position of the last token that a stage has computed.

        The request uses a new connection.
        """
        outcome = await self._http.request_json(
            _parse_address(stage.address),
            "GET",
            f"/v1/runs/{quote(run)}",
            timeout_ms=timeout_ms,
            fresh=True,
        )
        if isinstance(outcome, Err):
            is_refused = outcome.err_value.is_refused
            return ProbeFailure.NO_RUN if is_refused else ProbeFailure.SILENT
        status, reply = outcome.ok_value
        if status != 200:
            return ProbeFailure.NO_RUN
        try:
            return msgspec.convert(reply, _ProbeReply).position
        except msgspec.ValidationError:
            return ProbeFailure.NO_RUN

    async def has_ended(self, stage: Stage, incarnation: int | None) -> bool:
        """Return whether a runner's process is known to have ended.

        It has if its address refuses connections, or if a later incarnation answers. A
        runner that gives no answer may only be silent. The request uses a new
        connection.

        :param incarnation: incarnation of the process; ``None`` if it is not known.
        """
        for _ in range(STATUS_TRIES):
            outcome = await self._http.request_json(
                _parse_address(stage.address),
                "GET",
                "/v1/status",
                timeout_ms=STATUS_TIMEOUT_MS,
                fresh=True,
            )
            if isinstance(outcome, Ok):
                found = _incarnation(outcome.ok_value[1])
                return None not in (found, incarnation) and found > incarnation
            if outcome.err_value.is_refused:
                return True
        return False

    async def cancel(self, stage: Stage, run: str, epoch: int) -> None:
        """Cancel all epochs of a run up to ``epoch`` at a stage."""
        await self._http.request_json(
            _parse_address(stage.address),
            "DELETE",
            f"/v1/runs/{quote(run)}?epoch={epoch}",
            timeout_ms=CANCEL_TIMEOUT_MS,
            fresh=True,
        )


def _incarnation(status: Any) -> int | None:
    """Return the incarnation in a status, or ``None`` if the status is malformed."""
    try:
        return msgspec.convert(status, _StatusReply).incarnation
    except msgspec.ValidationError:
        return None


def _open_body(spec: RunSpec, index: int) -> dict[str, Any]:
    return {
        "run": spec.run,
        "epoch": spec.epoch,
        "stage": index,
        "chain": [
            {
                "runner": stage.runner,
                "address": stage.address,
                "fabric": stage.fabric,
                "first_layer": stage.first_layer,
                "end_layer": stage.end_layer,
            }
            for stage in spec.chain.stages
        ],
        "model": spec.chain.model,
        "version": spec.chain.version,
        "adapter": spec.chain.adapter or "",
        "prompt": spec.prompt,
        "tokens": spec.tokens,
        "position": spec.position,
        "max_tokens": spec.max_tokens,
        "seed": spec.seed,
        "priority": spec.priority,
        "deadline_ms": spec.deadline_ms,
        "import_from": None,
    }
