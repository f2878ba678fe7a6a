"""Reader of many streams of stamped tokens; a process of its own.

Reads one JSON object with the fields of :class:`Plan` from standard input and prints
one JSON object with counts and encoded histograms.
"""

import asyncio
import json
import re
import sys
import time

import msgspec

from standins.latencies import Latencies

STAMP = re.compile(rb'"text":"(\d+)"')
HEAD_END = b"\r\n\r\n"
MICROSECONDS = 1_000_000


class Plan(msgspec.Struct):
    """What to read.

    :param targets: ``[host, port]`` of the router, or of the last and the first stage.
    :param direct: connect to the engines rather than to the router.
    :param start: monotonic time of the first request, in seconds.
    :param ramp: seconds over which the requests are spread.
    :param window: monotonic times between which tokens count.
    """

    targets: list[tuple[str, int]]
    direct: bool
    model: str
    streams: int
    tokens: int
    prompt: str
    start: float
    ramp: float
    window: tuple[float, float]
    name: str


class Tally:
    """What the streams of this process have seen."""

    def __init__(self, window: tuple[float, float]) -> None:
        self.window = [edge * MICROSECONDS for edge in window]
        self.gaps, self.first = Latencies(), Latencies()
        self.tokens = 0
        self.in_window = 0
        self.whole = 0


class Stream(asyncio.Protocol):
    """One connection that carries one stream of tokens."""

    def __init__(self, plan: Plan, tally: Tally, request: bytes, on_head) -> None:
        self._plan = plan
        self._tally = tally
        self._request = request
        self._on_head = on_head
        self._rest = b""
        self._seen = 0
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport) -> None:
        """Send the request."""
        self._transport = transport
        self._sent = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count the tokens in ``data``."""
        if self._on_head is not None and HEAD_END in data:
            self._on_head()
            self._on_head = None
        data = self._rest + data
        cut = data.rfind(b"\n") + 1
        self._rest = data[cut:]
        now = time.monotonic_ns() // 1000
        for stamp in STAMP.findall(data[:cut]):
            self._take(int(stamp), now)
        if self._seen >= self._plan.tokens and not self.ended.done():
            self._tally.whole += 1
            self.ended.set_result(None)
            self._transport.close()

    def _take(self, stamp: int, now: int) -> None:
        tally = self._tally
        if self._seen == 0:
            tally.first.add((now / MICROSECONDS - self._sent) * 1000)
        self._seen += 1
        tally.tokens += 1
        if tally.window[0] <= now < tally.window[1]:
            tally.in_window += 1
            tally.gaps.add((now - stamp) / 1000)

    def connection_lost(self, error) -> None:
        """End the stream, whole or not."""
        if not self.ended.done():
            self.ended.set_result(None)


def request_bytes(path: str, payload: dict) -> bytes:
    """Return a POST with a JSON body."""
    body = json.dumps(payload).encode()
    head = f"POST {path} HTTP/1.1\r\nhost: measure\r\nauthorization: Bearer "
    head += f"parish-token\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def open_request(plan: Plan, index: int) -> tuple[bytes, bytes]:
    """Return the request for one stream, and the one that starts it if direct."""
    if not plan.direct:
        payload = {"model": plan.model, "prompt": plan.prompt, "stream": True}
        payload["max_tokens"] = plan.tokens
        return request_bytes("/v1/completions", payload), b""
    run = f"{plan.name}.{index}"
    payload = {"run": run, "epoch": 1, "position": 0, "max_tokens": plan.tokens}
    payload["prompt"] = plan.prompt
    start = request_bytes(f"/v1/runs/{run}/start", {"epoch": 1, "kv_positions": []})
    return request_bytes("/v1/runs", payload), start


async def read_one(plan: Plan, tally: Tally, index: int) -> None:
    """Read one stream to its end."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(
        max(0.0, plan.start + plan.ramp * index / plan.streams - time.monotonic())
    )
    opening, starting = open_request(plan, index)
    on_head = None
    if plan.direct:
        # The connection for the start is open in advance, as the router's pool is.
        transport, _ = await loop.create_connection(asyncio.Protocol, *plan.targets[1])
        on_head = lambda: transport.write(starting)  # noqa: E731
    _, stream = await loop.create_connection(
        lambda: Stream(plan, tally, opening, on_head), *plan.targets[0]
    )
    await stream.ended


async def main() -> None:
    """Read the plan, read all streams, print the result."""
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    tally = Tally(plan.window)
    await asyncio.gather(*(read_one(plan, tally, i) for i in range(plan.streams)))
    result = {
        "tokens": tally.tokens,
        "in_window": tally.in_window,
        "whole": tally.whole,
        "latency": tally.gaps.encode().decode(),
        "first": tally.first.encode().decode(),
        "cpu_seconds": time.process_time(),
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
