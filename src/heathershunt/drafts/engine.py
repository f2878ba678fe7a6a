"""Client of the engines' HTTP protocol for runs: open, start, probe, cancel."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
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
from heathershunt.verdict import Progress

OPEN_TIMEOUT_MS = 1000
START_TIMEOUT_MS = 1000
CANCEL_TIMEOUT_MS = 1000
STATUS_TIMEOUT_MS = 300
MAX_LINE_BYTES = 1_048_576
EMPTY_TRACE = msgspec.Raw(b"[]")


class StageLine(msgspec.Struct, frozen=True, gc=False):
    """One line of a stage's stream; ``event`` says which fields are set.

    ``trace`` is kept as encoded JSON, so that a trace whose bytes equal the last one's
    is not decoded.
    """

    event: str
    epoch: int = 0
    position: int = -1
    text: str = ""
    trace: msgspec.Raw = EMPTY_TRACE
    last: bool = False
    reason: str = ""
    runner: str = ""
    first_layer: int = -1
    end_layer: int = -1
    version: str = ""
    kv_positions: int = 0


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


class _StatusReply(msgspec.Struct):
    incarnation: int


class _ProbeReply(msgspec.Struct):
    """Reply to a probe.

    :param position: position of the last token that the stage has computed.
    """

    position: int


_parse_address = lru_cache(maxsize=4096)(Address.from_text)
_decode_line = msgspec.json.Decoder(StageLine).decode
decode_trace = msgspec.json.Decoder(list[Any]).decode


def _decode(line: bytes) -> StageLine:
    try:
        return _decode_line(line)
    except RecursionError:
        raise ValueError("a line of the stage is nested too deeply") from None


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
                return [_decode_line(data)]
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
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value[0] != 200:
            detail = f"{stage.runner} did not start the run"
            return Err(TransportError(Progress.ANSWERED, detail))
        return Ok(None)

    def close_idle_connections(self, stage: Stage) -> None:
        """Close the idle connections to a stage; after a stall they may be dead too."""
        self._http.close_idle(stage.address)

    async def probe(self, stage: Stage, run: str, timeout_ms: int) -> int | None:
        """Return the position of the last token that a stage has computed.

        The request uses a new connection. ``None`` if the stage gives no valid answer
        within ``timeout_ms`` or does not have the run.
        """
        outcome = await self._http.request_json(
            _parse_address(stage.address),
            "GET",
            f"/v1/runs/{quote(run)}",
            timeout_ms=timeout_ms,
            fresh=True,
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        try:
            return msgspec.convert(outcome.ok_value[1], _ProbeReply).position
        except msgspec.ValidationError:
            return None

    async def incarnation(self, stage: Stage) -> int | None:
        """Return the incarnation of a stage's runner; ``None`` if it does not answer.

        The request uses a new connection.
        """
        outcome = await self._http.request_json(
            _parse_address(stage.address),
            "GET",
            "/v1/status",
            timeout_ms=STATUS_TIMEOUT_MS,
            fresh=True,
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        try:
            return msgspec.convert(outcome.ok_value[1], _StatusReply).incarnation
        except msgspec.ValidationError:
            return None

    async def cancel(self, stage: Stage, run: str, epoch: int) -> None:
        """Cancel all epochs of a run up to ``epoch`` at a stage."""
        await self._http.request_json(
            _parse_address(stage.address),
            "DELETE",
            f"/v1/runs/{quote(run)}?epoch={epoch}",
            timeout_ms=CANCEL_TIMEOUT_MS,
        )


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
