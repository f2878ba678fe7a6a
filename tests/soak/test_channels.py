"""Connections of the soak's callers against raw servers."""

import asyncio

import pytest

from soak.channels import Channel, Exchange

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"
LAST_ANSWER = ANSWER.replace(b"\r\n", b"\r\nconnection: close\r\n", 1)


def exchange(number=1, body=b""):
    return Exchange(f"m{number}", "/orders/x", "key", "POST", body, 6000, 10)


@pytest.fixture
async def open_channel():
    """Return a coroutine function: a channel to a server that writes given bytes."""
    servers, channels = [], []

    async def open_channel(data, awaited=b""):
        async def serve(reader, writer):
            await reader.readuntil(awaited or b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            writer.close()

        servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        channels.append(Channel("vm-0", "host"))
        assert await channels[-1].open(servers[-1].sockets[0].getsockname()[1])
        return channels[-1]

    yield open_channel
    for channel in channels:
        channel.close()
    for server in servers:
        server.close()


async def send(channel, *exchanges):
    """Send requests at once and wait until all have ended."""
    begun = [(item, await channel.begin(item)) for item in exchanges]
    for item, ended in begun:
        await channel.wait(item, ended)
    await asyncio.sleep(0.05)
    return [(item.end, item.status, item.answer) for item in exchanges]


async def test_pipelined_requests_get_their_own_answers(open_channel):
    channel = await open_channel(ANSWER + ANSWER.replace(b"done", b"more"))
    first, second = exchange(1), exchange(2)
    assert await send(channel, first, second) == [
        ("answer", 200, b"done"),
        ("answer", 200, b"more"),
    ]
    assert second.previous is first
    assert second.due_from >= first.ended_at


async def test_request_without_an_answer_ends_with_its_connection(open_channel):
    channel = await open_channel(ANSWER)
    first, second = exchange(1), exchange(2)
    ends = await send(channel, first, second)
    assert ends[1] == ("closed", None, b"")
    assert not second.is_after_close


async def test_request_after_an_announced_close_is_marked(open_channel):
    channel = await open_channel(LAST_ANSWER)
    first, second = exchange(1), exchange(2)
    await send(channel, first, second)
    assert second.is_after_close
    assert not channel.is_open


async def test_truncated_answer_is_not_whole(open_channel):
    channel = await open_channel(ANSWER[:-1])
    assert (await send(channel, exchange()))[0][0] == "closed"


async def test_bytes_without_a_request_are_kept(open_channel):
    channel = await open_channel(ANSWER + ANSWER)
    await send(channel, exchange())
    assert channel.stray == ANSWER


@pytest.mark.parametrize("data", [b"no answer\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\ndone"])
async def test_bytes_that_are_no_framed_answer_are_malformed(open_channel, data):
    channel = await open_channel(data)
    assert (await send(channel, exchange()))[0][0] == "malformed"


async def test_request_on_a_closed_connection_is_not_whole(open_channel):
    channel = await open_channel(ANSWER)
    await send(channel, exchange(1))
    late = exchange(2)
    await send(channel, late)
    assert (late.end, late.whole_at) == ("closed", None)


async def test_body_in_pieces_is_whole_with_its_last_piece(open_channel):
    # Guards against requests that are taken for unfinished, as their answer comes at
    # once after the last byte.
    channel = await open_channel(ANSWER, awaited=b"end")
    slow = exchange(body=bytes(50) + b"end")
    ended = await channel.begin(slow, pieces=4, pause_seconds=0.01)
    await channel.wait(slow, ended)
    assert (slow.end, slow.answer) == ("answer", b"done")
    assert slow.whole_at <= slow.ended_at
