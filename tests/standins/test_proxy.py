import asyncio

import pytest

from heathershunt.http import Address, HttpClient, HttpServer, json_response
from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from standins.oracle import expected_tokens

SEED = 7


@pytest.fixture
async def proxy(deployment):
    return await deployment.start_proxy(SEED)


@pytest.fixture
async def target():
    paths = []

    async def handle(request):
        paths.append(request.path)
        return json_response(200, {"path": request.path})

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    server.paths = paths
    yield server
    await server.close()


@pytest.fixture
async def pair(proxy, target):
    return await proxy.open("p", Address("127.0.0.1", target.port))


@pytest.fixture
async def client():
    client = HttpClient()
    yield client
    client.close()


async def get(client, address, path, timeout_ms=5000, fresh=False):
    return await client.request_json(
        address, "GET", path, timeout_ms=timeout_ms, fresh=fresh
    )


async def test_bytes_pass_unchanged_without_faults(client, pair):
    assert (await get(client, pair, "/a")).ok_value == (200, {"path": "/a"})


async def test_cut_resets_open_connections_only(proxy, client, pair):
    reader, writer = await asyncio.open_connection(pair.host, pair.port)
    assert (await get(client, pair, "/a")).is_ok()
    await proxy.cut("p")
    with pytest.raises(ConnectionResetError):
        await reader.read()
    assert (await get(client, pair, "/b", fresh=True)).is_ok()
    assert (await proxy.counts())["p"]["cuts"] == 2


async def test_refused_pair_works_again_on_the_same_address(proxy, client, pair):
    await proxy.set_faults("p", refuse=True)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(pair.host, pair.port)
    await proxy.set_faults("p")
    assert (await get(client, pair, "/a")).is_ok()


async def test_silence_holds_open_connections_while_new_ones_work(proxy, client, pair):
    """A pooled connection that never answers must not look like a dead target."""
    assert (await get(client, pair, "/a")).is_ok()
    await proxy.silence("p")
    assert (await get(client, pair, "/b", timeout_ms=200)).is_err()
    assert (await get(client, pair, "/c", fresh=True)).is_ok()


async def test_drop_of_answers_still_delivers_requests(proxy, client, pair, target):
    await proxy.set_faults("p", drop="to_source")
    assert (await get(client, pair, "/a", timeout_ms=200)).is_err()
    assert target.paths == ["/a"]


async def test_drop_of_requests_delivers_nothing(proxy, client, pair, target):
    await proxy.set_faults("p", drop="to_target")
    assert (await get(client, pair, "/a", timeout_ms=200)).is_err()
    assert target.paths == []


@pytest.mark.parametrize(
    "faults, counter",
    [
        ({"to_target_ms": 5}, "delayed_chunks"),
        ({"to_source_ms": 5}, "delayed_chunks"),
        ({"bytes_per_second": 100_000}, "limited_chunks"),
    ],
)
async def test_slow_link_delivers_everything(proxy, client, pair, faults, counter):
    await proxy.set_faults(None, **faults)
    assert (await get(client, pair, "/a")).is_ok()
    assert (await proxy.counts())["p"][counter] > 0


async def test_reordered_connections_answer_out_of_order(proxy, client, pair):
    await proxy.set_faults("p", reorder_share=0.5, reorder_ms=100)
    order = []

    async def send_request(index):
        assert (await get(client, pair, f"/{index}", fresh=True)).is_ok()
        order.append(index)

    await asyncio.gather(*(send_request(index) for index in range(20)))
    assert order != sorted(order)
    assert 0 < (await proxy.counts())["p"]["reordered_connections"] < 20


async def test_unknown_fault_is_refused(proxy, pair):
    with pytest.raises(ValueError):
        await proxy.set_faults("p", slow=True)


async def test_draft_passes_every_pair_of_a_deployment(deployment, proxy):
    """A proxy that is not on the path would make every fault test vacuous."""
    await deployment.start_platform()
    specs = await proxy.intercept_fabric(pipeline_specs("m", "v1", 12, 3, 1))
    await deployment.start_engines(specs)
    await proxy.intercept_engines()
    await proxy.intercept_platform(["vm1"])
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    address = (await proxy.intercept_callers())["vm1"]
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(3)
    got = await Caller("parish-token").draft(address, "A crest", 8)
    assert got.is_complete
    assert got.tokens == expected_tokens("m", "v1", 12, "A crest", 8)
    counts = await proxy.counts()
    assert len(counts) == 3 + 3 + 1 + 1
    assert all(count["connections"] > 0 for count in counts.values())
