"""Requests that are on their way, or running, as the configuration changes."""

import asyncio

import pytest

from tests.gateway.site import HOST, KEY, configuration

REQUEST = (
    b"POST %b HTTP/1.1\r\nhost: %b\r\nheathershunt-request-id: %b\r\n"
    b"authorization: Token %b\r\ncontent-length: 10\r\n\r\n"
)


def head(path, request_id):
    return REQUEST % (path, HOST.encode(), request_id, KEY.encode())


def without_route(config):
    config["routes"] = [r for r in config["routes"] if r["name"] != "orders"]


def moved_route(config):
    config["routes"][1]["prefix"] = "/moved/"


def past_timeout(config):
    config["routes"][1]["timeout_ms"] = 1


def without_account(config):
    config["tenants"] = []


def other_key(config):
    config["tenants"][0]["api_keys"] = ["key-two"]


def smaller_bodies(config):
    config["limits"]["max_body_bytes"] = 4


def shorter_idle_limit(config):
    config["limits"]["idle_timeout_ms"] = 50
    config["limits"]["header_timeout_ms"] = 50


def without_service(config):
    config["services"] = [s for s in config["services"] if s["name"] != "desk"]


def other_service(config):
    config["routes"][1]["service"] = "nowhere"


CHANGES = [
    without_route,
    moved_route,
    past_timeout,
    without_account,
    other_key,
    smaller_bodies,
    shorter_idle_limit,
    without_service,
    other_service,
]


async def change(site, apply, version=2):
    changed = configuration(version)
    apply(changed)
    site.store.put("op/config", changed)
    state = site.gateways["vm-1"].state
    await site.until(lambda: state.catalog.version == version)


async def connect(site):
    address = site.gateways["vm-1"].config.listeners.callers
    return await asyncio.open_connection(address.host, address.port)


async def read_answers(reader, count):
    """Return the statuses of answers with a length that arrive on a connection."""
    statuses = []
    async with asyncio.timeout(5):
        for _ in range(count):
            answer_head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(int(answer_head.split()[1]))
            fields = answer_head.lower().split(b"content-length:")[1]
            await reader.readexactly(int(fields.split()[0]))
    return statuses


@pytest.mark.parametrize("apply", CHANGES)
async def test_request_whose_body_is_on_its_way_is_answered_once(site, apply):
    # Guards against a request without an answer or a refusal as the configuration
    # changes between its head and its body.
    reader, writer = await connect(site)
    writer.write(head(b"/orders/1", b"r1") + b"01234")
    await asyncio.sleep(0.05)
    await change(site, apply)
    writer.write(b"56789")
    (status,) = await read_answers(reader, 1)
    assert status in (200, 401, 404, 413, 503, 504)
    assert (status == 200) == (len(site.runs()) == 1)
    writer.close()


@pytest.mark.parametrize("apply", CHANGES)
async def test_running_call_is_answered_as_its_target_answers(site, apply):
    # Guards against a call that a change of the configuration ends while it runs.
    site.targets["desk-a"].fall_silent(0.5)
    site.targets["desk-b"].fall_silent(0.5)
    reader, writer = await connect(site)
    writer.write(head(b"/orders/1", b"r1") + b"0123456789")
    await asyncio.sleep(0.05)
    await change(site, apply)
    assert await read_answers(reader, 1) == [200]
    assert len(site.runs()) == 1
    writer.close()


@pytest.mark.parametrize("apply", CHANGES)
async def test_pipelined_requests_are_each_answered_once(site, apply):
    # Guards against requests behind a running one that get no answer after a change.
    site.targets["desk-a"].fall_silent(0.5)
    site.targets["desk-b"].fall_silent(0.5)
    reader, writer = await connect(site)
    for number in (b"r1", b"r2", b"r3"):
        writer.write(head(b"/orders/1", number) + b"0123456789")
    await asyncio.sleep(0.05)
    await change(site, apply)
    if apply is smaller_bodies:
        # The body of the second request is refused, which ends the connection.
        assert await read_answers(reader, 2) == [200, 413]
    else:
        statuses = await read_answers(reader, 3)
        assert statuses[0] == 200
        assert set(statuses[1:]) <= {200, 401, 404, 503, 504}
    writer.close()


async def test_kept_connection_is_used_at_four_fifths_of_a_longer_idle_limit(site):
    # Guards against callers who meet closed connections after the idle limit was
    # raised.
    def short(config):
        config["limits"]["idle_timeout_ms"] = 500

    def long(config):
        config["limits"]["idle_timeout_ms"] = 1500

    await change(site, short)
    reader, writer = await connect(site)
    writer.write(head(b"/orders/1", b"r1") + b"0123456789")
    assert await read_answers(reader, 1) == [200]
    await change(site, long, version=3)
    await asyncio.sleep(1.2)
    writer.write(head(b"/orders/1", b"r2") + b"0123456789")
    assert await read_answers(reader, 1) == [200]
    writer.close()
