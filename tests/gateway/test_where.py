"""Where a request would go now, as a gateway answers on its metrics listener."""

from urllib.parse import urlencode

import msgspec
import pytest

from heathershunt.availability import Notice
from heathershunt.http import Address
from heathershunt.logs import Event
from heathershunt.logs.availability_events import TargetsPassedOver
from heathershunt.logs.request_events import RequestEvent
from heathershunt.pipelines import Job, RunnerNote
from heathershunt.ratelimits import Statement
from tests.gateway.site import HOST, KEY

NOTHING_KNOWN_MS = 1500


@pytest.fixture
def gateway(site):
    return site.gateways["vm-1"]


@pytest.fixture
def context(gateway):
    return gateway.relay_context


@pytest.fixture
def fetch(site, gateway):
    """Return a coroutine function that asks and returns the status and the JSON."""

    async def fetch(path, key=KEY, host=HOST, **fields):
        config = gateway.config
        address = Address(config.listeners.callers.host, config.metrics_port)
        query = urlencode({"host": host, "path": path} | fields)
        headers = {} if key is None else {"x-api-key": key}
        outcome = await site.client.exchange(
            address, "GET", f"/where?{query}", headers=headers
        )
        status, raw = outcome.unwrap()
        return status, msgspec.json.decode(raw)

    return fetch


@pytest.fixture
def ask(fetch):
    """Return a coroutine function that asks and returns the row of the service."""

    async def ask(path, **fields):
        _, answer = await fetch(path, **fields)
        (service,) = answer["services"]
        return service

    return ask


def rows(service):
    return {row["target"]: row for row in service["targets"]}


async def test_call_goes_to_the_target_of_the_same_domain(site, fetch):
    status, answer = await fetch("/orders/7?x=1", method="POST")
    assert status == 200
    assert (answer["vm"], answer["vms"], answer["version"]) == ("vm-1", 1, 1)
    assert (answer["route"], answer["account"], answer["rank"]) == (
        "orders",
        "owner",
        1,
    )
    (service,) = answer["services"]
    assert (service["service"], service["outcome"]) == ("desk", "send")
    assert [part["target"] for part in service["parts"]] == ["desk-a"]
    assert [name for name, row in rows(service).items() if row["is_chosen"]] == [
        "desk-a"
    ]
    await site.call("POST", "/orders/7", b"order")
    assert [run.runner for run in site.runs()] == ["desk-a"]


async def test_stream_goes_over_a_chain_with_all_layers(site, ask):
    service = await ask("/drafts/x", prompt_tokens=700, max_tokens=60)
    assert service["outcome"] == "send"
    ranges = [part["layers"].split("-") for part in service["parts"]]
    assert (ranges[0][0], ranges[-1][1]) == ("0", "80")
    assert all(a[1] == b[0] for a, b in zip(ranges, ranges[1:], strict=False))
    assert service["cost"] > 0
    chosen = {name for name, row in rows(service).items() if row["is_chosen"]}
    assert chosen == {part["target"] for part in service["parts"]}
    assert all(row["cost"] > 0 for row in service["targets"])
    assert len(service["targets"]) == 6


async def test_longer_streams_cost_more(ask):
    short = await ask("/drafts/x", prompt_tokens=700, max_tokens=20)
    long = await ask("/drafts/x", prompt_tokens=7000, max_tokens=200)
    assert long["cost"] > short["cost"]


# Guards against a question that uses up retries or limits, or disturbs a queue.
async def test_asking_changes_nothing(site, gateway, context, fetch):
    events = []
    target = context.registry.get("desk-a")
    context.limits.record(target, Statement(1000.0, context.clock.now()))
    runner = context.registry.get("runner-a0")
    gateway.availability.record(runner, Notice(pause_ms=60_000))
    context.events.add_observer(events.append)
    budget = context.budget
    before = [budget.left("engine", 1), budget.left("desk", 1)]
    spent = context.limits.spent()
    for _ in range(20):
        for path in ("/drafts/x", "/orders/7", "/status/7", "/nowhere/7"):
            assert (await fetch(path))[0] == 200
    assert site.runs() == []
    assert [budget.left("engine", 1), budget.left("desk", 1)] == before
    assert context.limits.spent() == spent
    assert context.ledger.own() == {}
    assert gateway.request_handler.streams.waiting("engine") == 0
    assert gateway.request_handler.calls.waiting("desk") == 0
    assert list(filter(_is_of_a_request, events)) == []


def _is_of_a_request(event: Event):
    return isinstance(event, RequestEvent | TargetsPassedOver)


REASONS = {
    "ejected": "ejected after a failure",
    "backed_off": "backed off after a rejection",
    "noted": "failed by notes of other VMs",
    "leaving": "leaving by its answer",
    "paused": "paused for",
    "limited": "limited for",
    "missing": "missing in the store",
    "entry": "leaving by its entry",
    "full": "full: no room",
    "empty": "holds no layers",
}


async def _cause(name, site, gateway, target_id):
    context = gateway.relay_context
    target = context.registry.get(target_id)
    match name:
        case "ejected":
            gateway.suspects.eject(target)
        case "backed_off":
            gateway.suspects.back_off(target, 60_000)
        case "noted":
            note = RunnerNote(target.id, target.incarnation, is_failed=True)
            gateway.suspects._peer_notes.set_others([note])
        case "leaving":
            gateway.availability.record(target, Notice(is_leaving=True))
        case "paused":
            gateway.availability.record(target, Notice(pause_ms=60_000))
        case "limited":
            context.limits.record(target, Statement(0.01, context.clock.now()))
        case "missing":
            context.registry.start_grace_period()
            context.registry.remove(target_id)
        case "entry":
            site.targets[target_id].is_draining = True
            site.targets[target_id].register()
            await site.until(lambda: context.registry.get(target_id).is_draining)
        case "full":
            chain = context.chooser.choose(
                gateway.state.engines()["engine"],
                [t for t in context.registry.of_service("engine") if t.domain == "a"],
                Job(700, 20),
                1,
            )
            context.ledger.add(chain, 10_000_000.0)
        case "empty":
            site.targets[target_id].layers = None
            site.targets[target_id].register()
            await site.until(lambda: context.registry.get(target_id).held is None)


@pytest.mark.parametrize("name", REASONS)
async def test_runner_that_is_left_out_has_its_reason(site, gateway, ask, name):
    await _cause(name, site, gateway, "runner-a0")
    service = await ask("/drafts/x", prompt_tokens=700, max_tokens=20)
    row = rows(service)["runner-a0"]
    assert any(reason.startswith(REASONS[name]) for reason in row["left_out"])
    assert not row["is_chosen"]
    assert service["outcome"] == "send"
    assert rows(service)["runner-b0"]["left_out"] == []


@pytest.mark.parametrize(
    "name", [name for name in REASONS if name not in ("full", "empty")]
)
async def test_plain_target_that_is_left_out_has_its_reason(site, gateway, ask, name):
    await _cause(name, site, gateway, "desk-a")
    service = await ask("/orders/7")
    row = rows(service)["desk-a"]
    assert any(reason.startswith(REASONS[name]) for reason in row["left_out"])
    assert [part["target"] for part in service["parts"]] == ["desk-b"]


async def test_stream_without_layers_is_refused(site, gateway, ask):
    for target in site.targets.values():
        target.is_draining = True
        target.register()
    registry = gateway.state.registry
    await site.until(lambda: not registry.of_service("engine"))
    service = await ask("/drafts/x")
    assert (service["outcome"], service["parts"]) == ("refuse", [])
    assert "holds all layers" in service["detail"]
    response = await site.open_stream()
    assert response.status == 503


async def test_stream_over_full_runners_waits(gateway, context, ask):
    engine = gateway.state.engines()["engine"]
    for domain in ("a", "b"):
        runners = [
            t for t in context.registry.of_service("engine") if t.domain == domain
        ]
        chain = context.chooser.choose(engine, runners, Job(700, 20), 1)
        context.ledger.add(chain, 10_000_000.0)
    service = await ask("/drafts/x", prompt_tokens=700, max_tokens=20)
    assert service["outcome"] == "wait"
    assert service["parts"]


async def test_calls_without_targets_are_refused(site, gateway, ask):
    for name in ("desk-a", "desk-b"):
        target = gateway.state.registry.get(name)
        gateway.availability.record(target, Notice(is_leaving=True))
    service = await ask("/orders/7")
    assert (service["outcome"], service["parts"]) == ("refuse", [])


async def test_load_and_its_age_are_shown(gateway, context, ask):
    assert (await ask("/drafts/x"))["load_age_ms"] in (None, *range(2000))
    engine = gateway.state.engines()["engine"]
    runners = context.registry.of_service("engine")
    chain = context.chooser.choose(engine, runners, Job(700, 20), 1)
    context.ledger.set_others({})
    context.ledger.add(chain, 720)
    service = await ask("/drafts/x")
    assert 0 <= service["load_age_ms"] < NOTHING_KNOWN_MS
    head = rows(service)[chain.head.id]
    assert (head["requests"], head["head_requests"]) == (1, 1)
    assert 0 < head["kv_used"] < 1


async def test_used_retries_are_shown(context, ask):
    before = await ask("/drafts/x")
    assert 0 < before["retries_left"] < before["begun_retries_left"]
    for _ in range(3):
        assert context.budget.take("engine", 1)
    after = await ask("/drafts/x")
    assert after["retries_left"] == before["retries_left"] - 3


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/7", {}, 404),
        ("/orders/7", {"host": "other.example"}, 404),
        ("/orders/7", {"key": "wrong"}, 401),
        ("/orders/7", {"key": None}, 401),
    ],
)
async def test_refusal_is_the_one_that_a_request_gets(fetch, path, changes, status):
    _, answer = await fetch(path, **changes)
    assert answer["refusal"]["status"] == status
    assert answer["services"] == []


async def test_public_route_needs_no_key(fetch):
    _, answer = await fetch("/open/7", key=None)
    assert (answer["refusal"], answer["account"]) == (None, None)


@pytest.mark.parametrize(
    ("path", "fields"),
    [
        ("", {}),
        ("orders", {}),
        ("/orders/7", {"host": ""}),
        ("/orders/7", {"prompt_tokens": "many"}),
        ("/orders/7", {"prompt_tokens": "-1"}),
        ("/orders/7", {"max_tokens": "1.5"}),
        ("/orders/7", {"max_tokens": "9" * 400}),
        ("/orders/7", {"method": "G T"}),
        ("/orders/7", {"key_file": "k"}),
    ],
)
async def test_malformed_query_is_refused(fetch, path, fields):
    status, answer = await fetch(path, **fields)
    assert status == 400
    assert len(answer["error"]) < 300


async def test_other_methods_are_refused(site, gateway):
    config = gateway.config
    address = Address(config.listeners.callers.host, config.metrics_port)
    outcome = await site.client.exchange(address, "POST", "/where?host=a&path=/b")
    assert outcome.unwrap()[0] == 405


async def test_api_key_is_in_no_answer(fetch):
    for key in (KEY, "secret-key"):
        for path in ("/orders/7", "/drafts/x", "/nowhere/7"):
            _, answer = await fetch(path, key=key)
            assert key not in msgspec.json.encode(answer).decode()
