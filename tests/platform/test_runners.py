import logbook
import pytest

from heathershunt.availability import Notice
from heathershunt.discovery import LayerRange
from heathershunt.http import Address, HttpClient, HttpServer, Response
from heathershunt.pipelines import Chain, ChainPart, OrderOutcome, OrderReply
from heathershunt.platform.runners import RunnerClient
from tests.invalid_heads import INVALID_STARTS, head_id
from tests.pipelines import engines
from tests.scripted import ScriptedTarget, answer as answer_bytes


@pytest.fixture
async def order():
    """Return a coroutine function that orders a chain and gets the given reply."""
    replies = []
    server = HttpServer(lambda request: answer(replies))
    await server.start("127.0.0.1", 0)
    client = HttpClient()
    head = engines.runner(1, address=Address("127.0.0.1", server.port))
    chain = Chain.from_parts([ChainPart(head, 0, 80)])

    async def order(status, body=b""):
        replies.append(Response(status, {}, body))
        return await RunnerClient(client).repath(head, "r", chain)

    yield order
    client.close()
    await server.close()


async def answer(replies):
    return replies.pop()


async def test_conflict_reports_the_faulty_runner(order):
    reply = await order(409, b'{"address": "10.0.0.1:7"}')
    assert reply == OrderReply(OrderOutcome.CONFLICT, "10.0.0.1:7")


@pytest.mark.parametrize("body", [b"", b"{", b"[1]", b'{"address": 7}', b"{}"])
async def test_conflict_without_a_valid_address_is_a_conflict(order, body):
    # Guards against ending a stream because of a malformed reply to an order.
    assert await order(409, body) == OrderReply(OrderOutcome.CONFLICT)


async def test_accepted_order_reports_no_faulty_runner(order):
    assert await order(200, b'{"address": "x"}') == OrderReply(OrderOutcome.DONE)


ODD_REPORTS = [
    b"",
    b"null",
    b'{"x":' + b"[" * 100_000,
    b'{"pace":NaN}',
    b'{"pace":1e308}',
    b'{"pace":-1}',
    b'{"kv_used":1e300}',
    b'{"running":1' + b"0" * 30 + b"}",
    b'{"queued":-1}',
    b'{"born":-1}',
    b'{"sequence":' + b"9" * 4000 + b"}",
    b'{"layers":{"from":0,"to":1' + b"0" * 400 + b"}}",
    b'{"stalled":[{"id":"' + b"x" * 5000 + b'","address":"10.0.0.1:7"}]}',
]


@pytest.mark.parametrize("body", ODD_REPORTS, ids=lambda body: repr(body)[:40])
async def test_odd_report_counts_as_none(body):
    # Guards against numbers of a faulty runner in estimates, orders and messages, and
    # against a line in the log for each of its reports.
    server = HttpServer(lambda request: answer([Response(200, {}, body)]))
    await server.start("127.0.0.1", 0)
    client = HttpClient()
    runner = engines.runner(1, address=Address("127.0.0.1", server.port))
    runners = RunnerClient(client)
    with logbook.TestHandler() as lines:
        for _ in range(3):
            assert await runners.report(runner, 1000) is None
    assert len(lines.records) == 1
    assert len(lines.records[0].message) < 500
    client.close()
    await server.close()


@pytest.fixture
async def invalid_runner():
    """Return a coroutine function that starts a runner with invalid answers.

    It returns a client of runners, the runner and the notices that the client took.
    """
    client = HttpClient()
    targets = []

    async def invalid_runner(start, body):
        async def script(target, path, writer):
            head = b"retry-after: 60\r\nconnection: close\r\n"
            await target.send(writer, answer_bytes(body, head, start))

        target = ScriptedTarget(script)
        targets.append(target)
        runner = engines.runner(1, address=await target.start())
        runners, notices = RunnerClient(client), []
        runners.on_notice = lambda runner, notice, kind: notices.append(notice)
        return runners, runner, notices

    yield invalid_runner
    client.close()
    for target in targets:
        target.stop()


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_report_with_an_invalid_head_counts_as_none(invalid_runner, start):
    # Guards against a pause or a report that a malfunctioning runner did not state.
    runners, runner, notices = await invalid_runner(start, b"{}")
    assert await runners.report(runner, 300) is None
    assert notices == [Notice()]


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_outcome_of_an_order_with_an_invalid_answer_is_unknown(
    invalid_runner, start
):
    # Guards against an order that counts as rejected though the runner may have begun.
    runners, runner, notices = await invalid_runner(start, b"{}")
    reply = await runners.place(runner, LayerRange(0, 40), None, 1)
    assert reply == OrderReply(OrderOutcome.UNKNOWN)
    assert notices == [Notice()]
