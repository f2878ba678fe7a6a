"""Reader process of the relay measurement: many streams of timestamped tokens.

Reads one JSON object with the fields of :class:`Plan` from standard input and prints
one JSON object with counts and encoded latency histograms. The text of each token is
the monotonic time at which the source wrote it, in microseconds.
"""

import asyncio
import json
import re
import sys
import time

import msgspec

from standins.latencies import Latencies

TIMESTAMP = re.compile(rb'"text":"(\d+)"')
HEAD_END = b"\r\n\r\n"
MICROSECONDS_PER_SECOND = 1_000_000


class Plan(msgspec.Struct):
    """The streams that one process reads.

    :param targets: ``[host, port]`` of the router, or of the last and the first stage.
    :param direct: connect to the engines rather than to the router.
    :param streams: number of streams.
    :param tokens: tokens of each stream.
    :param start: monotonic time of the first request, in seconds.
    :param ramp: seconds over which the requests are spread.
    :param window: monotonic times in seconds between which tokens are counted and their
        latencies recorded.
    :param name: prefix of the run names of direct streams.
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


class Totals:
    """Counts and latency histograms over all streams of this process.

    :ivar window: start and end of the window in microseconds.
    :ivar latencies: time from the write at the source to the read here, in the window.
    :ivar first_token: time from the request to the first token.
    :ivar complete: streams that delivered all their tokens.
    """

    def __init__(self, window: tuple[float, float]) -> None:
        self.window = [seconds * MICROSECONDS_PER_SECOND for seconds in window]
        self.latencies, self.first_token = Latencies(), Latencies()
        self.tokens = 0
        self.in_window = 0
        self.complete = 0


class Stream(asyncio.Protocol):
    """Connection that carries one stream of tokens.

    :param on_head: called once when the end of the response head has arrived, or None.
    :ivar ended: future that is done when the stream is complete or the connection lost.
    """

    def __init__(self, plan: Plan, totals: Totals, request: bytes, on_head) -> None:
        self._plan = plan
        self._totals = totals
        self._request = request
        self._on_head = on_head
        self._buffer = b""
        self._token_count = 0
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport) -> None:
        """Send the request."""
        self._transport = transport
        self._sent_at = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Record the tokens of all complete lines received so far."""
        if self._on_head is not None and HEAD_END in data:
            self._on_head()
            self._on_head = None
        data = self._buffer + data
        end = data.rfind(b"\n") + 1
        self._buffer = data[end:]
        now_us = time.monotonic_ns() // 1000
        for sent_us in TIMESTAMP.findall(data[:end]):
            self._record_token(int(sent_us), now_us)
        if self._token_count >= self._plan.tokens and not self.ended.done():
            self._totals.complete += 1
            self.ended.set_result(None)
            self._transport.close()

    def _record_token(self, sent_us: int, now_us: int) -> None:
        totals = self._totals
        if self._token_count == 0:
            totals.first_token.add(
                (now_us / MICROSECONDS_PER_SECOND - self._sent_at) * 1000
            )
        self._token_count += 1
        totals.tokens += 1
        if totals.window[0] <= now_us < totals.window[1]:
            totals.in_window += 1
            totals.latencies.add((now_us - sent_us) / 1000)

    def connection_lost(self, error) -> None:
        """End the stream if it is not complete."""
        if not self.ended.done():
            self.ended.set_result(None)


def request_bytes(path: str, payload: dict) -> bytes:
    """Return a POST request with a JSON body."""
    body = json.dumps(payload).encode()
    head = f"POST {path} HTTP/1.1\r\nhost: measure\r\nauthorization: Bearer "
    head += f"parish-token\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def build_requests(plan: Plan, index: int) -> tuple[bytes, bytes]:
    """Return the request that opens one stream, and the one that starts its run.

    The router starts runs itself, so the second one is empty unless ``plan.direct``.
    """
    if not plan.direct:
        payload = {"model": plan.model, "prompt": plan.prompt, "stream": True}
        payload["max_tokens"] = plan.tokens
        return request_bytes("/v1/completions", payload), b""
    run = f"{plan.name}.{index}"
    payload = {"run": run, "epoch": 1, "position": 0, "max_tokens": plan.tokens}
    payload["prompt"] = plan.prompt
    start_request = request_bytes(
        f"/v1/runs/{run}/start", {"epoch": 1, "kv_positions": []}
    )
    return request_bytes("/v1/runs", payload), start_request


async def read_stream(plan: Plan, totals: Totals, index: int) -> None:
    """Send the request of one stream when it is due and read the stream to its end."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(
        max(0.0, plan.start + plan.ramp * index / plan.streams - time.monotonic())
    )
    request, start_request = build_requests(plan, index)
    on_head = None
    if plan.direct:
        # Connect before the run is opened, as the router has pooled connections.
        transport, _ = await loop.create_connection(asyncio.Protocol, *plan.targets[1])
        on_head = lambda: transport.write(start_request)  # noqa: E731
    _, stream = await loop.create_connection(
        lambda: Stream(plan, totals, request, on_head), *plan.targets[0]
    )
    await stream.ended


async def main() -> None:
    """Read the plan and all streams, then print the totals."""
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    totals = Totals(plan.window)
    await asyncio.gather(*(read_stream(plan, totals, i) for i in range(plan.streams)))
    result = {
        "tokens": totals.tokens,
        "in_window": totals.in_window,
        "whole": totals.complete,
        "latency": totals.latencies.encode().decode(),
        "first": totals.first_token.encode().decode(),
        "cpu_seconds": time.process_time(),
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
