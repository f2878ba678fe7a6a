"""The client against responses whose heads are no valid answer."""

import pytest

from heathershunt.http import HttpClient
from heathershunt.verdict import Progress
from tests.invalid_heads import INVALID_STARTS, head_id
from tests.scripted import ScriptedTarget, answer

TIMEOUT_MS = 300


@pytest.fixture
async def get():
    """Return a coroutine function that gets a response with the given bytes."""
    client = HttpClient()
    targets = []

    async def get(data, method="GET", headers=None):
        async def script(target, path, writer):
            await target.send(writer, data)

        target = ScriptedTarget(script)
        targets.append(target)
        address = await target.start()
        return await client.exchange(
            address, method, "/", headers=headers, timeout_ms=TIMEOUT_MS
        )

    yield get
    client.close()
    for target in targets:
        target.stop()


# Guards against a malfunction of a target that is taken for its answer.
@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_response_with_an_invalid_head_is_no_answer(get, start):
    outcome = await get(answer(b"body", start=start))
    assert outcome.err_value.progress is Progress.SENT


async def test_switch_of_protocols_is_no_answer_even_if_the_request_names_one(get):
    # Guards against a caller's upgrade field that is passed on with a target's 101.
    start = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: raw"
    headers = {"upgrade": "raw", "connection": "upgrade"}
    outcome = await get(answer(b"body", start=start), headers=headers)
    assert outcome.err_value.progress is Progress.SENT


@pytest.mark.parametrize("length", [b"", b"content-length: 4\r\n"])
async def test_chunks_in_an_http_1_0_response_are_no_answer(get, length):
    # RFC 9112 calls their framing faulty: a sender of version 1.0 knows no chunks.
    head = b"HTTP/1.0 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n" % length
    outcome = await get(head + b"4\r\nbody\r\n0\r\n\r\n")
    assert outcome.err_value.progress is Progress.SENT


@pytest.mark.parametrize("status", [200, 226, 299, 304, 404, 418, 500, 599])
async def test_statuses_of_the_final_classes_are_answers(get, status):
    outcome = await get(answer(b"", start=b"HTTP/1.1 %d Text" % status))
    assert outcome.ok_value == (status, b"")


@pytest.mark.parametrize("start", [b"HTTP/1.0 200 OK", b"HTTP/1.1 200"])
async def test_version_1_0_and_an_absent_reason_are_valid(get, start):
    outcome = await get(answer(b"body", start=start))
    assert outcome.ok_value == (200, b"body")


async def test_unknown_interim_response_is_skipped(get):
    outcome = await get(b"HTTP/1.1 150 Odd\r\n\r\n" + answer(b"body"))
    assert outcome.ok_value == (200, b"body")
