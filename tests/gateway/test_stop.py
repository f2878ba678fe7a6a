"""Requests that are under way at the end of a gateway's grace time."""

import asyncio

import pytest

PATHS = ["/orders/7", "/status/7"]


@pytest.mark.parametrize("path", PATHS)
async def test_call_that_outlasts_the_grace_time_is_refused(site, path):
    # Guards against a closed connection in place of a refusal as a VM stops.
    gateway = await site.add_gateway("vm-2", grace_s=1)
    for name in ("desk-a", "desk-b"):
        site.targets[name].is_unresponsive = True
    calling = asyncio.create_task(site.call("POST", path, b"x", vm="vm-2"))
    await asyncio.sleep(0.1)
    await gateway.shut_down()
    async with asyncio.timeout(1):
        status, _, body = await calling
    assert status == 502
    assert b"may_have_run" in body


async def test_request_late_in_the_grace_time_is_refused_at_once(site):
    # Guards against a request that is admitted as the process is about to end, so that
    # its caller learns nothing; it may be sent to another VM at once instead.
    gateway = await site.add_gateway("vm-2", grace_s=1.2)
    site.targets["desk-a"].is_unresponsive = True
    site.targets["desk-b"].is_unresponsive = True
    address = gateway.config.listeners.callers
    reader, writer = await asyncio.open_connection(address.host, address.port)
    headers = site.headers()
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = f"GET /status/7 HTTP/1.1\r\n{head}\r\n".encode()
    writer.write(request[:20])
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(gateway.shut_down())
    await asyncio.sleep(0.35)
    writer.write(request[20:])
    async with asyncio.timeout(0.15):
        answer = await reader.readuntil(b"}")
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in answer.lower()
    assert site.runs() == []
    writer.close()
    await stopping
