import asyncio
import json
import random
from dataclasses import replace

import pytest

from heathershunt.availability import AvailabilityTable
from heathershunt.bundle import Call, Service
from heathershunt.clock import Millis, SystemClock
from heathershunt.crashes import PartGuard
from heathershunt.http import Address, HttpClient, HttpServer, json_response
from heathershunt.ratelimits import RATE_LIMIT_HEADER, LimitGuard, TargetProcess
from heathershunt.services.addresses import AddressChooser, CallRetryBudget
from heathershunt.services.dispatch import MAX_TRIES, Dispatcher
from heathershunt.verdict import Progress
from tests.invalid_heads import INVALID_STARTS, head_id
from tests.scripted import ScriptedTarget, answer, late_duplicates
from tests.services.doubles import service_call

HOST = "127.0.0.1"
IDEMPOTENT = Service("orders", (Call("POST", "/orders"),))


class Target:
    """A server that answers every call with ``status``, or never if it is 0."""

    def __init__(self, status, headers=None):
        self.status = status
        self.headers = headers
        self.calls = 0

    async def start(self):
        self.http = HttpServer(self.handle)
        await self.http.start(HOST, 0)
        self.address = Address(HOST, self.http.port)
        return self

    async def handle(self, request):
        self.calls += 1
        if self.status == 0:
            await asyncio.Event().wait()
        return json_response(self.status, {}, self.headers)


def make_dispatcher(addresses, client, clock):
    limits = LimitGuard(clock, "vm-1", list, TargetProcess, print)
    guard = PartGuard(clock, print, lambda: 1)
    availability = AvailabilityTable(clock, TargetProcess, print, random.Random(3))
    source = random.Random(3)
    return Dispatcher(
        client, clock, lambda name: addresses, limits, guard, availability, source
    )


async def run(targets, service, wait_ms=2000, *, has_budget=True):
    addresses = [target.address for target in targets]
    client = HttpClient()
    clock = SystemClock()
    dispatcher = make_dispatcher(addresses, client, clock)
    while not has_budget and dispatcher._budget.take():
        pass
    deadline = Millis(clock.now() + wait_ms)
    outcome = await dispatcher.run(service_call(), service, deadline)
    for target in targets:
        await target.http.close()
    return outcome


@pytest.mark.parametrize(("status", "wait_ms"), [(503, 2000), (0, 300)])
async def test_idempotent_call_is_tried_at_another_address(status, wait_ms):
    """An unavailable or silent address must not fail an idempotent call."""
    targets = [await Target(status).start(), await Target(200).start()]
    outcome = await run(targets, IDEMPOTENT, wait_ms)
    assert outcome.response.status == 200
    assert sum(target.calls for target in targets) <= 2


@pytest.mark.parametrize(("status", "expected"), [(503, 503), (0, 504)])
async def test_non_idempotent_call_runs_at_one_address_only(status, expected):
    targets = [await Target(status).start(), await Target(status).start()]
    outcome = await run(targets, Service("orders"), 100)
    assert outcome.response.status == expected
    assert sum(target.calls for target in targets) == 1


async def test_no_address_gives_not_run_and_retry_after():
    outcome = await run([], IDEMPOTENT)
    assert outcome.progress is Progress.NOT_SENT
    assert "retry-after" in outcome.response.headers
    assert json.loads(outcome.response.body)["verdict"] == "not_run"


def test_failing_address_is_ejected_for_a_while():
    good, bad = Address(HOST, 1), Address(HOST, 2)
    chooser = AddressChooser(random.Random(1))
    chooser.start(bad)
    chooser.finish(bad, False, Millis(0))
    picks = {chooser.choose([good, bad], [], Millis(999)) for _ in range(50)}
    assert picks == {good}
    assert chooser.choose([bad], [], Millis(0)) == bad
    picks = {chooser.choose([good, bad], [], Millis(1000)) for _ in range(50)}
    assert picks == {good, bad}


def test_less_busy_of_two_addresses_is_chosen():
    idle, busy = Address(HOST, 1), Address(HOST, 2)
    chooser = AddressChooser(random.Random(1))
    chooser.start(busy)
    assert {chooser.choose([idle, busy], [], Millis(0)) for _ in range(20)} == {idle}


def test_retry_budget_grows_with_the_calls():
    budget = CallRetryBudget()
    while budget.take():
        pass
    for _ in range(10):
        budget.record_call()
    assert [budget.take() for _ in range(3)] == [True, True, False]


async def test_duplicate_answer_reaches_no_other_caller():
    # Guards against delivering an answer to the wrong caller: the duplicate arrives
    # after the next request was written, and has no id that identifies its request.
    answers = [answer(f"/{number}".encode()) for number in range(3)]
    target = ScriptedTarget(late_duplicates(answers))
    address = await target.start()
    clock = SystemClock()
    client = HttpClient()
    dispatcher = make_dispatcher([address], client, clock)
    for number in range(3):
        call = replace(service_call(), target=f"/{number}")
        outcome = await dispatcher.run(call, IDEMPOTENT, Millis(clock.now() + 2000))
        assert outcome.response.body == f"/{number}".encode()
    client.close()
    target.stop()


async def send_calls(targets, count=40):
    """Send calls one after the other, over some 2.4 s, and return their statuses."""
    client, clock = HttpClient(), SystemClock()
    addresses = [target.address for target in targets]
    dispatcher = make_dispatcher(addresses, client, clock)
    outcomes = []
    for _ in range(count):
        deadline = Millis(clock.now() + 1000)
        outcomes.append(await dispatcher.run(service_call(), IDEMPOTENT, deadline))
        await asyncio.sleep(0.06)
    client.close()
    for target in targets:
        await target.http.close()
    return outcomes


# Guards against a service that gets more calls than the limit that it names.
async def test_address_that_names_a_limit_gets_few_calls():
    limited = await Target(200, {RATE_LIMIT_HEADER: "1"}).start()
    free = await Target(200).start()
    outcomes = await send_calls([limited, free])
    assert [outcome.response.status for outcome in outcomes] == [200] * 40
    assert limited.calls <= 4


async def test_calls_beyond_the_limits_of_all_addresses_are_refused_at_once():
    limited = await Target(200, {RATE_LIMIT_HEADER: "1"}).start()
    outcomes = await send_calls([limited])
    refused = [o for o in outcomes if o.response.status == 503]
    assert len(refused) >= 35
    assert all(outcome.progress is Progress.NOT_SENT for outcome in refused)
    assert all("retry-after" in outcome.response.headers for outcome in refused)


class Slow(Target):
    """A server that answers after a silence."""

    async def handle(self, request):
        self.calls += 1
        await asyncio.sleep(0.8)
        return json_response(200, {})


async def test_idempotent_call_waits_for_its_only_address():
    # Guards against a failure at a third of the caller's time, though no other address
    # is there and the silent one goes on.
    target = await Slow(200).start()
    outcome = await run([target], IDEMPOTENT, 1500)
    assert outcome.response.status == 200
    assert target.calls == 1


async def test_idempotent_call_outlives_a_silence_of_all_addresses():
    # Guards against a call that is taken from its silent address before another one has
    # answered.
    targets = [await Slow(200).start() for _ in range(3)]
    outcome = await run(targets, IDEMPOTENT, 1500)
    assert outcome.response.status == 200


class SilentTarget(Target):
    """A server that answers nothing until some time after its first call."""

    def __init__(self, silence_ms):
        super().__init__(200)
        self._silence_ms = silence_ms
        self._ends_at = None

    async def handle(self, request):
        self.calls += 1
        now = asyncio.get_running_loop().time()
        if self._ends_at is None:
            self._ends_at = now + self._silence_ms / 1000
        await asyncio.sleep(max(0, self._ends_at - now))
        return json_response(200, {})


# Guards against calls that are refused with time left, because sound addresses gave no
# answer for a second and no other address, or no retry, was left.
@pytest.mark.parametrize("silence_ms", [800, 1600])
@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("has_budget", [True, False])
async def test_idempotent_call_waits_for_silent_addresses(
    silence_ms, count, has_budget
):
    targets = [await SilentTarget(silence_ms).start() for _ in range(count)]
    outcome = await run(targets, IDEMPOTENT, 3000, has_budget=has_budget)
    assert outcome.response.status == 200
    assert sum(target.calls for target in targets) <= min(count, MAX_TRIES)


# Guards against a second run of a call that is not idempotent, and against a refusal of
# it while its address is only silent.
@pytest.mark.parametrize("silence_ms", [800, 1600])
async def test_call_that_may_not_be_repeated_waits_for_its_address(silence_ms):
    targets = [await SilentTarget(silence_ms).start() for _ in range(2)]
    outcome = await run(targets, Service("orders"), 3000)
    assert outcome.response.status == 200
    assert sum(target.calls for target in targets) == 1


# Guards against new calls that go to an address that is silent.
async def test_silent_address_gets_no_new_calls():
    client, clock = HttpClient(), SystemClock()
    silent, sound = await SilentTarget(1600).start(), await Target(200).start()
    dispatcher = make_dispatcher([silent.address], client, clock)
    waiting = asyncio.create_task(
        dispatcher.run(service_call(), IDEMPOTENT, Millis(clock.now() + 3000))
    )
    await asyncio.sleep(1.2)
    dispatcher._addresses = lambda name: [silent.address, sound.address]
    for _ in range(20):
        deadline = Millis(clock.now() + 3000)
        assert (await dispatcher.run(service_call(), IDEMPOTENT, deadline)).response
    assert silent.calls == 1
    assert (await waiting).response.status == 200
    client.close()


# Guards against calls to an address that says in its answers that it leaves.
@pytest.mark.parametrize("status", [200, 500])
async def test_address_that_leaves_by_its_answer_gets_no_more_calls(status):
    leaving = await Target(status, {"leaving": "1"}).start()
    free = await Target(200).start()
    await send_calls([leaving, free])
    assert leaving.calls <= 1


# Guards against calls to an address within the pause that it asked for.
async def test_address_that_asks_for_a_pause_gets_no_calls_meanwhile():
    pausing = await Target(503, {"retry-after": "20"}).start()
    free = await Target(200).start()
    outcomes = await send_calls([pausing, free])
    assert [outcome.response.status for outcome in outcomes] == [200] * 40
    assert pausing.calls <= 1


# Guards against callers that wait, and addresses that are asked again and again.
@pytest.mark.parametrize(
    ("status", "headers", "least_s"),
    [(503, {"retry-after": "20"}, 15), (200, {"leaving": "1"}, 1)],
)
async def test_calls_are_refused_at_once_if_all_addresses_leave_or_pause(
    status, headers, least_s
):
    target = await Target(status, headers).start()
    outcomes = await send_calls([target])
    assert target.calls == 1
    assert all(outcome.progress is Progress.NOT_SENT for outcome in outcomes[1:])
    told = [int(o.response.headers["retry-after"]) for o in outcomes[1:]]
    assert min(told) >= least_s


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_call_with_an_invalid_answer_may_have_run(start):
    # Guards against the body of an invalid answer that reaches a caller.
    paths = []

    async def script(target, path, writer):
        paths.append(path)
        await target.send(writer, answer(b"body", b"connection: close\r\n", start))
        writer.close()

    client, clock = HttpClient(), SystemClock()
    target = ScriptedTarget(script)
    dispatcher = make_dispatcher([await target.start()], client, clock)
    deadline = Millis(clock.now() + 2000)
    outcome = await dispatcher.run(service_call(), Service("orders"), deadline)
    assert outcome.response.status == 502
    assert outcome.progress is Progress.SENT
    assert "x-service-status" not in outcome.response.headers
    assert len(paths) == 1
    client.close()
    target.stop()
