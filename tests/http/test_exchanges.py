"""No misbehaviour of a target makes a client return another request's response.

A whole response has the path of its request as body; the client may return that one or
an error.
"""

import asyncio
import struct
from dataclasses import dataclass
from socket import SO_LINGER, SOL_SOCKET

from hypothesis import given, settings, strategies

from heathershunt.http import HttpClient
from heathershunt.http.correlation import CORRELATION_HEADER
from tests.scripted import ScriptedTarget, answer, field_of

NAME = CORRELATION_HEADER.encode()
EXAMPLES = 150
TIMEOUT_MS = 5000
# The longer pause exceeds the time a response takes to arrive, so surplus bytes arrive
# on idle connections as well as on busy ones.
PAUSES_S = (0.0, 0.004)


@dataclass(frozen=True)
class Misbehaviour:
    """Misbehaviour of a target for one request.

    :param before: bytes sent before the response.
    :param framing: framing of the response.
    :param cut: fraction of the response that is sent; 1 for all.
    :param after: bytes sent after a whole response.
    :param is_reset: whether the connection is reset after a truncated response.
    """

    before: str
    framing: str
    cut: float
    after: str
    is_reset: bool


misbehaviours = strategies.builds(
    Misbehaviour,
    before=strategies.sampled_from(["", "", "copy", "interim", "garbage"]),
    framing=strategies.sampled_from(["length", "chunks", "close"]),
    cut=strategies.sampled_from([1, 1, 1, 0, 0.3, 0.6, 0.95]),
    after=strategies.sampled_from(["", "", "copy", "late copy", "garbage", "line"]),
    is_reset=strategies.booleans(),
)
GARBAGE = b"\x16\x03\x01 no answer\r\n\r\n"


class HostileTarget:
    """Applies one misbehaviour of a plan to each request, and none after the last."""

    def __init__(self, plan):
        self._plan = iter(plan)
        self._last = {}
        self._late = set()

    async def __call__(self, target, path, writer):
        fault = next(self._plan, Misbehaviour("", "length", 1, "", False))
        whole = _framed(path.encode(), field_of(target.head, NAME), fault.framing)
        copy = self._last.get(writer, b"")
        before = {"copy": copy, "interim": b"HTTP/1.1 102 Processing\r\n\r\n"}
        data = before.get(fault.before, GARBAGE if fault.before == "garbage" else b"")
        data += whole[: int(len(whole) * fault.cut)]
        if fault.cut < 1 or fault.framing == "close":
            await target.send(writer, data)
            _end(writer, fault.is_reset and fault.cut < 1)
            return
        self._last[writer] = whole
        after = {"copy": whole, "garbage": GARBAGE, "line": b"\r\n"}
        await target.send(writer, data + after.get(fault.after, b""))
        if fault.after == "late copy":
            loop = asyncio.get_running_loop()
            self._late.add(loop.call_later(0.002, writer.write, whole))


def _framed(body, number, framing):
    head = b"" if number is None else NAME + b": " + number + b"\r\n"
    if framing == "length":
        return answer(body, head)
    if framing == "close":
        head += b"connection: close\r\n"
        # Without the length, a truncated response would look complete.
        return answer(body, head)
    chunks = b"".join(b"%x\r\n%b\r\n" % (1, body[i : i + 1]) for i in range(len(body)))
    head += b"transfer-encoding: chunked\r\n"
    return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + chunks + b"0\r\n\r\n"


def _end(writer, is_reset):
    if is_reset:
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
    writer.close()


async def _play(plan, pauses, is_correlated, is_fresh):
    """Run the exchanges of a plan; return the path and the outcome of each."""
    target = ScriptedTarget(HostileTarget(plan))
    address = await target.start()
    client = HttpClient()
    played = []
    for number, pause in enumerate([*pauses, 0.0]):
        path = f"/{number}"
        outcome = await client.exchange(
            address,
            "GET",
            path,
            correlated=is_correlated,
            fresh=is_fresh,
            timeout_ms=TIMEOUT_MS,
        )
        played.append((path, outcome))
        await asyncio.sleep(pause)
    client.close()
    target.stop()
    return played


plans = strategies.lists(misbehaviours, min_size=1, max_size=6)
pauses = strategies.lists(strategies.sampled_from(PAUSES_S), min_size=6, max_size=6)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(plans, pauses)
def test_kept_connections_give_nobody_the_answer_to_another_request(plan, pauses):
    # Guards against a second copy, surplus bytes or a broken answer taken for the next.
    played = asyncio.run(_play(plan, pauses, is_correlated=True, is_fresh=False))
    _check(played)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(plans, pauses)
def test_new_connections_give_nobody_the_answer_to_another_request(plan, pauses):
    # The same for targets whose answers bear no id, which get a connection for a call.
    played = asyncio.run(_play(plan, pauses, is_correlated=False, is_fresh=True))
    _check(played)
    assert all(outcome.is_ok() for _, outcome in played[len(plan) :])


def _check(played):
    for path, outcome in played:
        if outcome.is_ok():
            assert outcome.ok_value == (200, path.encode())
