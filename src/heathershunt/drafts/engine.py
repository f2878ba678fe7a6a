"""Adapter of the engine protocol for drafts: open, start, probe, cancel."""

import asyncio
import json
from dataclasses import dataclass
from functools import lru_cache
from typing import Any
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from heathershunt.http import Address, ClientResponse, HttpClient, TransportError
from heathershunt.routing import Chain, Stage
from heathershunt.verdict import Progress

OPEN_TIMEOUT_MS = 1000
START_TIMEOUT_MS = 1000
CANCEL_TIMEOUT_MS = 1000
MAX_LINE_BYTES = 1_048_576
EMPTY_TRACE = msgspec.Raw(b"[]")


class StageLine(msgspec.Struct, frozen=True, gc=False):
    """One line of a stage's stream; ``event`` says which fields are set.

    ``trace`` stays encoded, so that a trace that equals the last one by its bytes
    needs no decoding.
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
class RunOrder:
    """What the stages are asked to run in one epoch.

    :param position: position of the first token to emit.
    :param tokens: texts of the tokens before it.
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


class _Probe(msgspec.Struct):
    """Reply to a probe."""

    position: int


_address = lru_cache(maxsize=4096)(Address.from_text)
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
        self._rest = b""

    async def read_lines(self) -> list[StageLine]:
        """Return the lines that have arrived, empty at the end of the stream.

        :raises ConnectionError: if the stream is cut.
        :raises ValueError: if a line is malformed.
        """
        while True:
            data = await self._response.read_some()
            if data is None:
                return []
            if not self._rest and data.find(b"\n") == len(data) - 1:
                return [_decode_line(data)]
            lines = (self._rest + data).split(b"\n")
            self._rest = lines.pop()
            if len(self._rest) > MAX_LINE_BYTES:
                raise ValueError("a line of the stage is too long")
            if lines:
                return [_decode(line) for line in lines]

    def close(self) -> None:
        """Drop the stream; the stage then ends the run."""
        self._response.close()


class EngineClient:
    """Calls of the engine protocol.

    .. versionadded:: 0.1
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def open(
        self, order: RunOrder, index: int
    ) -> Result[tuple[StageStream, list[StageLine]], TransportError]:
        """Open the run at one stage; return its stream and first lines."""
        stage = order.chain.stages[index]
        outcome = await self._http.request(
            _address(stage.address),
            "POST",
            "/v1/runs",
            headers={"content-type": "application/json"},
            body=json.dumps(_open_body(order, index)).encode(),
            timeout_ms=OPEN_TIMEOUT_MS,
            # The lines of a stream name no run; a second copy of another run's stream
            # could come on a kept connection.
            fresh=True,
        )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
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
        self, order: RunOrder, kv_positions: list[int]
    ) -> Result[None, TransportError]:
        """Start an opened run at its first stage."""
        stage = order.chain.stages[0]
        outcome = await self._http.request_json(
            _address(stage.address),
            "POST",
            f"/v1/runs/{quote(order.run)}/start",
            {"epoch": order.epoch, "kv_positions": kv_positions},
            timeout_ms=START_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value[0] != 200:
            detail = f"{stage.runner} did not start the run"
            return Err(TransportError(Progress.ANSWERED, detail))
        return Ok(None)

    def forget_connections(self, stage: Stage) -> None:
        """Use no idle connection to a stage again after a stall on it."""
        self._http.close_idle(stage.address)

    async def probe(self, stage: Stage, run: str, timeout_ms: int) -> int | None:
        """Ask a stage over a fresh connection for its position in a run.

        ``None`` if the stage does not answer or does not know the run.
        """
        outcome = await self._http.request_json(
            _address(stage.address),
            "GET",
            f"/v1/runs/{quote(run)}",
            timeout_ms=timeout_ms,
            fresh=True,
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        try:
            return msgspec.convert(outcome.ok_value[1], _Probe).position
        except msgspec.ValidationError:
            return None

    async def cancel(self, stage: Stage, run: str, epoch: int) -> None:
        """Cancel all epochs of a run up to ``epoch`` at a stage."""
        await self._http.request_json(
            _address(stage.address),
            "DELETE",
            f"/v1/runs/{quote(run)}?epoch={epoch}",
            timeout_ms=CANCEL_TIMEOUT_MS,
        )


def _open_body(order: RunOrder, index: int) -> dict[str, Any]:
    return {
        "run": order.run,
        "epoch": order.epoch,
        "stage": index,
        "chain": [
            {
                "runner": stage.runner,
                "address": stage.address,
                "fabric": stage.fabric,
                "first_layer": stage.first_layer,
                "end_layer": stage.end_layer,
            }
            for stage in order.chain.stages
        ],
        "model": order.chain.model,
        "version": order.chain.version,
        "adapter": order.chain.adapter or "",
        "prompt": order.prompt,
        "tokens": order.tokens,
        "position": order.position,
        "max_tokens": order.max_tokens,
        "seed": order.seed,
        "priority": order.priority,
        "deadline_ms": order.deadline_ms,
        "import_from": None,
    }
