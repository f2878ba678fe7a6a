"""A stream that broke off, and faulty answers to the send that is to resume it."""

import asyncio
import re

import pytest

from heathershunt.http import AnswerError, CutCause, Response, StreamResponse

EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+)\n\n")
LAST = 30
ERROR_TEXT = b"HTTP/1.1 500 Internal error: the engine has failed"


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def streamed(body, *, is_cut=False, status=200, **changes):
    """Return an answer that sends ``body`` as a stream, and breaks off if it is cut."""

    def answer(request, target):
        async def write(sink):
            sink.write(body)
            if is_cut:
                await sink.drain()
                raise ConnectionError("the runner breaks off")

        headers = {
            "content-type": "text/event-stream",
            "heathershunt-request-id": request.headers["heathershunt-request-id"],
            "heathershunt-response-signature": f"receipt-{target.id}",
        }
        headers |= {name.replace("_", "-"): text for name, text in changes.items()}
        return StreamResponse(
            status, {name: text for name, text in headers.items() if text}, write
        )

    return answer


def fixed(status, body=ERROR_TEXT, **headers):
    def answer(request, target):
        own = {"heathershunt-request-id": request.headers["heathershunt-request-id"]}
        return Response(status, own | headers, body)

    return answer


def garbage(request, target):
    raise AnswerError(CutCause.STREAM_FAILED, "no answer")


REST = b"".join(map(event, range(11, LAST + 1)))
FAULTY = {
    "400": fixed(400),
    "404": fixed(404),
    "408": fixed(408),
    "429": fixed(429),
    "500": fixed(500),
    "503": fixed(503),
    "503 not run": fixed(503, **{"heathershunt-not-executed": "1"}),
    "500 as a stream": streamed(REST, status=500),
    "204": fixed(204, b""),
    "empty": fixed(200, b""),
    "empty stream": streamed(b""),
    "error text": streamed(ERROR_TEXT),
    "error text and a blank line": streamed(ERROR_TEXT + b"\n\n"),
    "error as a comment": streamed(b": " + ERROR_TEXT + b"\n\n"),
    "error as a header": streamed(b"error: " + ERROR_TEXT + b"\n\n"),
    "error as data": streamed(b"data: " + ERROR_TEXT + b"\n\n"),
    "error as an event": streamed(b"event: error\ndata: " + ERROR_TEXT + b"\n\n"),
    "error, then events": streamed(ERROR_TEXT + b"\n\n" + REST),
    "json": streamed(b'{"error": "x"}\n\n', content_type="application/json"),
    "events as html": streamed(REST, content_type="text/html"),
    "no signature": streamed(REST, heathershunt_response_signature=""),
    "another id": streamed(REST, heathershunt_request_id="other"),
    "no id": streamed(REST, heathershunt_request_id=""),
    "lower and no further": streamed(event(1) + event(2)),
    "gap": streamed(event(LAST)),
    "events without ids": streamed(b"data: event 11\n\ndata: event 12\n\n"),
    "cut in an event": streamed(b"id: 11\ndata: eve", is_cut=True),
    "end in an event": streamed(b"id: 11\ndata: eve"),
    "no answer": garbage,
}


async def break_off(site, answers):
    """Open a stream, break it off, and answer the next sends as told.

    Returns the bytes that the caller got, whether its stream ended as complete, and the
    ids that the sends were to resume after.
    """
    resumed = []

    def install(target):
        usual = type(target)._answer

        async def handle(request):
            if request.path in ("/report", "/order"):
                return await usual(target, request)
            after = request.headers.get("last-event-id")
            if after is None:
                return await usual(target, request)
            resumed.append(int(after))
            answer = answers.pop(0) if answers else None
            if answer is None:
                return await usual(target, request)
            return answer(request, target)

        target._answer = handle

    for name, target in site.targets.items():
        if "runner" in name:
            install(target)
    response = await site.open_stream(events=LAST)
    data = await response.read_some()
    run = site.runs()[0]
    while b"id: 10\n" not in data:
        data += await response.read_some()
    site.targets[run.runner].stop_streams()
    try:
        async with asyncio.timeout(8):
            while (more := await response.read_some()) is not None:
                data += more
    except (ConnectionError, TimeoutError):
        return data, False, resumed
    return data, True, resumed


def ids(data):
    found = EVENT.findall(data)
    assert b"".join(b"id: %b\ndata: event %b\n\n" % pair for pair in found) == data
    numbers = [int(number) for number, _ in found]
    assert numbers == list(range(1, len(numbers) + 1))
    return numbers


@pytest.mark.parametrize("name", FAULTY)
async def test_faulty_answer_is_not_part_of_the_stream(site, name):
    # Guards against an error's text, or its head, in the middle of a caller's stream,
    # and against pieces that are missing or come twice.
    data, is_complete, resumed = await break_off(site, [FAULTY[name]])
    numbers = ids(data)
    assert resumed
    assert is_complete == (len(numbers) == LAST)
    if name not in ("400", "404"):
        assert is_complete, "the next runner goes on"


@pytest.mark.parametrize("name", FAULTY)
async def test_stream_that_nobody_resumes_does_not_end_as_complete(site, name):
    # Guards against a stream that ends as if it were complete before its last piece.
    data, is_complete, resumed = await break_off(site, [FAULTY[name]] * 50)
    numbers = ids(data)
    assert resumed
    assert not is_complete
    assert len(numbers) < LAST


async def test_run_that_repeats_events_goes_on_after_the_last_one(site):
    answers = [streamed(b"".join(map(event, range(1, LAST + 1))))]
    data, is_complete, _ = await break_off(site, answers)
    assert ids(data) == list(range(1, LAST + 1))
    assert is_complete
