"""Header fields of targets on the wire, where one may come several times."""

import asyncio

import pytest

from heathershunt.clock import SystemClock
from heathershunt.http import Address, HttpClient
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.runners import RunnerClient
from heathershunt.ratelimits import AnswerKind
from tests.pipelines import engines


@pytest.fixture
async def target():
    """Return the address of a target, and the bytes that it answers."""
    answers = []

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answers[-1])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield Address("127.0.0.1", port), answers
    server.close()
    await server.wait_closed()


def answer(status, *lines, body=b""):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


async def head_from(address):
    client = HttpClient()
    outcome = await client.request(address, "GET", "/", fresh=True)
    head = HeaderCodec(SystemClock()).reply_head(outcome.unwrap())
    client.close()
    return head


async def test_fields_are_read_from_a_reply(target):
    address, answers = target
    answers.append(answer(503, "Server-Leaving: 1", "Retry-After: 1.5"))
    notice = (await head_from(address)).notice
    assert (notice.is_leaving, notice.pause_ms) == (True, 1500)


# Guards against the last of two fields, which the mapping of the headers keeps.
async def test_fields_that_conflict_are_ignored(target):
    address, answers = target
    answers.append(answer(503, "Retry-After: 1", "Retry-After: 2"))
    notice = (await head_from(address)).notice
    assert (notice.pause_ms, len(notice.malformed)) == (0, 1)


# Guards against a word that is lost with a report or an order that fails.
@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_word_is_read_whatever_a_runner_answers(target, status):
    address, answers = target
    answers.append(answer(status, "Server-Leaving: 1", body=b"not a report"))
    runner = engines.runner(1, held=(0, 40), address=address)
    client = HttpClient()
    runners = RunnerClient(client)
    seen = []
    runners.on_notice = lambda runner, notice, kind: seen.append(
        (runner.id, notice.is_leaving, kind)
    )
    await runners.report(runner, 500)
    await runners.place(runner, runner.held, 1, 1)
    client.close()
    assert seen == [
        (runner.id, True, AnswerKind.REPORT),
        (runner.id, True, AnswerKind.ORDER),
    ]


# Guards against the word of a process that was started under the same id meanwhile.
async def test_word_of_a_process_started_anew_is_not_that_of_the_listed_one(target):
    address, answers = target
    body = b'{"born": 99, "models": []}'
    answers.append(answer(200, "Server-Leaving: 1", body=body))
    runner = engines.runner(1, address=address, incarnation=5)
    client = HttpClient()
    runners = RunnerClient(client)
    seen = []
    runners.on_notice = lambda *notice: seen.append(notice)
    assert await runners.report(runner, 500) is not None
    client.close()
    assert seen == []
