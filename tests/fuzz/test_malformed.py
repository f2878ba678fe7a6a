"""Malformed and hostile input to every listener, and hostile replies to the daemon."""

import asyncio
import json

import pytest
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from heathershunt.peers import Hello
from heathershunt.peers.messages import encode_message
from standins.bundles import demo_bundle
from standins.caller import Caller
from tests.fuzz import hostile
from tests.fuzz.engine_lines import script_reply, scripts
from tests.fuzz.rig import HOSTILE_MODELS, Rig, honest_status, http_reply

MAX_EXAMPLES = 40
# A draft without a token ends at its deadline. An epoch in progress at that time has
# another 2 s to open and start, 2 s until its first token, and the time of its probes.
DRAFT_DEADLINE_MS = 6000
FINAL_ANSWER_SECONDS = 20
# The watch of the store backs off for at most 10 s, and its calls time out after 7 s.
POLL_SECONDS = 17
MAX_RESIDENT_KB = 256 * 1024


def bounded(examples=MAX_EXAMPLES):
    return settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )


@pytest.fixture(scope="module")
def rig():
    rig = Rig()
    try:
        rig.run(rig.start())
        yield rig
    finally:
        rig.close()


@pytest.fixture(autouse=True)
def daemon_survives(rig):
    """Check after each test that the daemon serves and logged no unhandled error."""
    before = len(rig.logged_errors())
    yield
    rig.platform.reply = None
    rig.check_serves()
    assert rig.logged_errors()[before:] == []


def all_at_once(rig, address, messages):
    async def send_all():
        return await asyncio.gather(*(rig.send(address, data) for data in messages))

    return rig.run(send_all())


def check_answers(messages, replies):
    """Check that each well-framed request is answered, and with no 5xx status but 503.

    An error must be a problem document.
    """
    for sent, got in zip(messages, replies, strict=True):
        assert got, f"no answer to {sent[:300]!r}"
        head, _, body = got.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        assert status < 500 or status == 503, (sent[:300], got[:500])
        if status >= 400 and not sent.startswith(b"HEAD"):
            assert json.loads(body)["detail"], (sent[:300], got[:500])


batches = st.lists(hostile.requests(b"parish-token"), min_size=4, max_size=8)


@bounded()
@given(messages=batches)
def test_requests_of_callers(rig, messages):
    """A hostile target, header or body must get an error, not a cut connection."""
    check_answers(messages, all_at_once(rig, rig.callers, messages))


@bounded(20)
@given(messages=st.lists(hostile.framing, min_size=4, max_size=8))
@pytest.mark.parametrize("listener", ["callers", "operators", "peers"])
def test_framing(rig, listener, messages):
    """Bytes that are no HTTP must not hold or end the listener."""
    address = getattr(rig.deployment.ports_by_daemon["vm1"], listener)
    # The end of what is sent is an end of input, so that no limit has to pass.
    messages = [data + b"\r\n\r\n" for data in messages]
    for got in all_at_once(rig, address, messages):
        assert not got or got.startswith(b"HTTP/1.1 "), got[:200]


def test_draft_of_another_account_is_not_readable(rig):
    """No request that names a draft of another account may return any of its text."""
    ids = [rig.secret_id, rig.secret_id.replace("vm1", "VM1"), rig.secret_id + "0"]
    ids += [rig.secret_id.replace(".", "%2e"), rig.secret_id + "?account=notary"]
    messages = [
        b"GET /v1/completions/%b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n%b\r\n\r\n"
        % (name.encode(), headers)
        for name in ids
        for headers in (
            b"authorization: Bearer parish-token",
            b"authorization: Bearer parish-token\r\nx-client-account: notary",
            b"authorization: Bearer \xff",
            b"x-client-account: notary",
        )
    ]
    replies = all_at_once(rig, rig.callers, messages)
    check_answers(messages, replies)
    for got in replies:
        assert got.split(b" ")[1] in (b"400", b"401", b"404", b"410"), got


OPERATOR_TARGETS = st.sampled_from(
    [b"/v1/operator/" + name for name in (b"bundles", b"status", b"drain", b"admit")]
    + [b"/v1/operator/timeline?kind=%ff&limit=\xb2"[:-1] + b"9" * 5000]
    + [b"/v1/operator/timeline?limit=-1", b"/v1/operator/"]
)


@bounded()
@given(
    messages=st.lists(
        hostile.requests(b"operator-key", OPERATOR_TARGETS), min_size=4, max_size=8
    )
)
def test_requests_of_operators(rig, messages):
    """A hostile request must neither end the daemon nor change anything."""
    address = rig.deployment.ports_by_daemon["vm1"].operators
    check_answers(messages, all_at_once(rig, address, messages))


HELLOS = st.one_of(
    st.just(encode_message(Hello("stranger", 1, "127.0.0.1:1", "a", True))),
    st.just(encode_message(Hello("stranger", 2**63 - 1, "\n", "a", True))),
    st.just(encode_message(Hello("stranger", 1, protocol=99))),
    hostile.peer_messages,
)


async def talk(address, hello, messages):
    """Send messages over a new link, then abort it; ignore an earlier close."""
    try:
        async with asyncio.timeout(2):
            socket = await connect(f"ws://{address}/", proxy=None, compression=None)
            await socket.recv()
            for data in (hello, *messages):
                await socket.send(data)
            await asyncio.sleep(0.05)
            socket.transport.abort()
    except (OSError, TimeoutError, WebSocketException):
        pass


@bounded(60)
@given(hello=HELLOS, messages=st.lists(hostile.peer_messages, max_size=4))
def test_messages_of_peers(rig, hello, messages):
    """A bad message must cost its own link only."""
    address = rig.deployment.ports_by_daemon["vm1"].peers
    rig.run(talk(address, hello, messages))


def wait_polls(rig, counters, name, seconds):
    """Wait for a new request ``name`` in one of the ``counters``.

    :param name: method and path.
    :raises TimeoutError: after ``seconds``.
    """

    async def wait():
        before = sum(counter[name] for counter in counters)
        async with asyncio.timeout(seconds):
            while sum(counter[name] for counter in counters) <= before:
                await asyncio.sleep(0.05)

    rig.run(wait())


def order(rig, key):
    headers = {"idempotency-key": key}
    target = "/v1/services/orders/orders"
    call = Caller("parish-token").call(rig.callers, "POST", target, b"die", **headers)
    status, _, body = rig.run(asyncio.wait_for(call, FINAL_ANSWER_SECONDS))
    return status, json.loads(body)


PLATFORM_REPLIES = st.one_of(
    st.builds(http_reply, hostile.platform_bodies, st.sampled_from(hostile.STATUSES)),
    st.builds(http_reply, hostile.platform_bodies),
    st.sampled_from(hostile.RAW_REPLIES),
)
_keys = iter(range(10_000))


def check_still_polls(rig):
    """Check that the daemon still polls the store, the VM list and the runners."""
    rig.platform.reply = None
    wait_polls(rig, [rig.platform.requests], "GET /v1/watch", POLL_SECONDS)
    wait_polls(rig, [rig.platform.requests], "GET /v1/vms", POLL_SECONDS)
    runners = [runner.requests for runner in rig.runners_by_model.values()]
    wait_polls(rig, runners, "GET /v1/status", POLL_SECONDS)


@bounded(12)
@given(replies=st.lists(PLATFORM_REPLIES, min_size=6, max_size=12))
def test_replies_of_the_platform(rig, replies):
    """Garbage from the platform must not end a background task of the daemon."""
    turns = iter(replies)

    def reply(head, body):
        return next(turns, None)

    rig.platform.reply = reply
    status, answer = order(rig, f"k{next(_keys)}")
    assert status == 200 or answer["verdict"] in ("not_run", "may_have_run")
    rig.run(asyncio.sleep(1.2))


def test_daemon_still_polls_after_malformed_platform_replies(rig):
    """A malformed reply must not end the polls or the watch of the store."""
    for body in hostile.WRONG_REPLIES:
        rig.platform.reply = lambda head, _, body=body: http_reply(body)
        rig.run(asyncio.sleep(0.3))
    check_still_polls(rig)


@pytest.mark.parametrize("address", hostile.BAD_ADDRESSES)
def test_malformed_address_in_the_vm_list(rig, address):
    """A malformed entry must not make the daemon drop the valid entries."""
    vm = {"vm": "x", "domain": "a", "state": "live", "role": "runner"}
    service = {**vm, "role": "service", "service": "orders", "address": address}
    vms = [{**vm, "address": address}, service, *rig.deployment.vms]
    listed = http_reply(json.dumps({"vms": vms}).encode())
    rig.platform.reply = lambda head, _: listed if b"/v1/vms" in head else None
    wait_polls(rig, [rig.platform.requests], "GET /v1/vms", POLL_SECONDS)
    runners = [runner.requests for runner in rig.runners_by_model.values()]
    for _ in range(2):
        wait_polls(rig, runners, "GET /v1/status", POLL_SECONDS)
    assert order(rig, f"a{next(_keys)}")[0] == 200


def peak_resident_kb(rig):
    pid = rig.deployment.processes_by_name["vm1"].process.pid
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = dict(line.split(":", 1) for line in file)
    return int(lines["VmHWM"].split()[0])


def test_huge_and_slow_replies_of_the_platform(rig):
    """Huge or slow replies must neither exhaust the memory nor stop the polls."""
    huge = http_reply(b'{"vms":"' + b"x" * 400_000_000 + b'"}')
    rig.platform.reply = lambda head, _: huge if b"/v1/vms" in head else None
    rig.run(asyncio.sleep(4))
    rig.platform.reply = lambda head, _: http_reply(b"{}" + b" " * 100)
    rig.platform.piece_bytes, rig.platform.pause_seconds = 1, 0.2
    rig.run(asyncio.sleep(2))
    rig.check_serves()
    rig.platform.piece_bytes, rig.platform.pause_seconds = 65_536, 0.0
    check_still_polls(rig)
    assert peak_resident_kb(rig) < MAX_RESIDENT_KB


STATUS_CHANGES = st.sampled_from(
    [
        {"first_layer": -5},
        {"end_layer": 10**9},
        {"first_layer": 7, "end_layer": 3},
        {"runner": ""},
        {"version": "\u0000"},
        {"fabric": None},
        {"adapters": ["a"] * 10_000},
        {"load": {}},
        {"load": None},
        {"incarnation": -(2**70)},
    ]
)
LOAD_CHANGES = [
    {"step_ms": -1.0},
    {"step_ms": 1e308},
    {"token_ms": float("nan")},
    {"token_ms": float("inf")},
    {"batch_limit": 0},
    {"batch_limit": -1},
    {"queued": 10**30},
    {"running": -(10**30)},
    {"at_ms": 10**30},
    {"kv_free_tokens": -1},
]


@bounded(6)
@given(
    bodies=st.lists(hostile.json_values, min_size=3, max_size=6), change=STATUS_CHANGES
)
def test_reports_of_runners(rig, bodies, change):
    """A malformed status or load must not end the polls or the choice of chains."""
    runners = list(rig.runners_by_model.values())
    for index, (model, runner) in enumerate(rig.runners_by_model.items()):
        report = json.loads(
            honest_status(model)(b"GET /v1/status", b"").split(b"\r\n\r\n")[1]
        )
        if index < len(LOAD_CHANGES):
            # Within the chains of the normal draft.
            report["model"] = "m"
            report["load"] |= LOAD_CHANGES[index]
        else:
            report |= change
        answer = http_reply(json.dumps(report).encode())
        if index >= len(runners) - len(bodies):
            answer = http_reply(bodies[index - len(runners)])
        runner.reply = lambda head, _, answer=answer: answer
    rig.run(asyncio.sleep(1.5))
    rig.check_serves()
    for model, runner in rig.runners_by_model.items():
        runner.reply = honest_status(model)
    wait_polls(rig, [r.requests for r in runners], "GET /v1/status", POLL_SECONDS)


@bounded(2)
@given(played=st.lists(scripts, min_size=HOSTILE_MODELS, max_size=HOSTILE_MODELS))
def test_replies_of_engines(rig, played):
    """Each draft on a hostile engine ends in time, with no token of it."""
    wait_known(rig)
    for (model, runner), script in zip(
        rig.runners_by_model.items(), played, strict=True
    ):
        runner.reply, runner.hold = script_reply(model, script), script["hold"]

    async def draft_all():
        caller = Caller("parish-token")
        headers = {"x-deadline-ms": str(DRAFT_DEADLINE_MS)}
        drafts = (
            caller.draft(rig.callers, "hostile", 3, model=model, headers=headers)
            for model in rig.runners_by_model
        )
        async with asyncio.timeout(FINAL_ANSWER_SECONDS):
            return await asyncio.gather(*drafts)

    for script, got in zip(played, rig.run(draft_all()), strict=True):
        assert got.problem is not None and not got.is_complete, (script, got)
        assert got.problem["verdict"] in ("not_run", "may_have_run"), (script, got)
    for model, runner in rig.runners_by_model.items():
        runner.reply, runner.hold = honest_status(model), False


def wait_known(rig):
    """Wait until the daemon has a report of every runner and suspects none."""

    async def wait():
        await rig.deployment.wait_runners(6 + HOSTILE_MODELS)
        # The runners of an earlier example are suspected for 5 s.
        await asyncio.sleep(5.5)

    rig.run(wait())


def test_new_bundle_is_in_force_after_hostile_input(rig):
    """After all hostile input the daemon must still apply a new bundle."""
    rig.version += 1
    assert demo_bundle(rig.version)["version"] == rig.version
    rig.run(rig.deployment.roll(rig.bundle()))
    rig.run(asyncio.wait_for(rig.deployment.wait_version(rig.version), POLL_SECONDS))
