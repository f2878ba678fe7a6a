import json

from heathershunt.http import Address, HttpClient
from standins.engine import Engine
from standins.engine_state import EngineSpec

RUN = {
    "run": "r",
    "stage": 0,
    "model": "m",
    "version": "v1",
    "adapter": "",
    "prompt": "one two three",
    "seed": 0,
    "priority": 1,
    "max_tokens": 2,
}


async def open_run(client, runner, **fields):
    """Open a run with one stage; return the stream and its first line."""
    chain = [{"runner": "x", "fabric": "127.0.0.1:1"}]
    body = json.dumps({**RUN, "chain": chain, **fields}).encode()
    response = (await client.request(runner, "POST", "/v1/runs", body=body)).ok_value
    return response, json.loads(await response.read_some())


async def start_engine(name):
    engine = Engine(EngineSpec(name, "m", "v1", 0, 4, 4))
    return Address.from_text((await engine.start())["address"])


async def test_cache_is_imported_from_a_runner_that_still_holds_it():
    """A replacement that cannot import would recompute the whole prefix."""
    client = HttpClient()
    old, new = await start_engine("old"), await start_engine("new")
    # A run that ends by itself drops its cache, so it must not end before its stream.
    initial = {"position": 0, "tokens": [], "max_tokens": 1000}
    stream, _ = await open_run(client, old, epoch=1, **initial)
    await client.request_json(
        old, "POST", "/v1/runs/r/start", {"epoch": 1, "kv_positions": [0]}
    )
    token = json.loads((await stream.read_some()).split(b"\n")[0])
    stream.close()
    resumed = {"position": 1, "tokens": [token["text"]]}
    _, not_imported = await open_run(client, new, epoch=2, **resumed)
    _, opened = await open_run(client, new, epoch=3, import_from=str(old), **resumed)
    assert not_imported["kv_positions"] == 0
    assert opened["kv_positions"] == 4
    client.close()
