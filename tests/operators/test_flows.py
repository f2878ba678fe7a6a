import signal

from pytest_bdd import given, parsers, scenarios, then, when

from heathershunt.http import HttpServer, StreamResponse
from standins.bundles import token_sha256

scenarios("bundles.feature", "vms.feature")

ACCOUNTS = {
    name: [{"name": name, "token_sha256": [token_sha256(name)]}]
    for name in ("left", "right")
}


@given(parsers.parse('"{name}" was rolled'))
@when(parsers.parse('the operator creates, signs and rolls "{name}"'))
def roll(operator, name):
    operator.create(name)
    operator.sign(name)
    operator.run(f"bundle roll @{name}")
    assert operator.code == 0, operator.err
    operator.wait_version(1 if name == "one" else 2)


@given(parsers.parse('"{name}" was created but not signed'))
def create(operator, name):
    operator.create(name)


@given(parsers.parse('"{name}" was signed'))
def create_and_sign(operator, name):
    operator.create(name)
    operator.sign(name)


@given(parsers.parse('"{name}" was created with another model version'))
def create_changed(operator, name):
    operator.create(name, models=[{"name": "m", "layers": 12, "version": "v2"}])


@given(parsers.parse('"{left}" and "{right}" were signed as successors of "{old}"'))
def create_successors(operator, left, right, old):
    for name in (left, right):
        operator.create(name, f"@{old}", accounts=ACCOUNTS[name])
        operator.sign(name)


@given("the store loses the reply of the next write")
def lose_store_reply(operator):
    operator.set_fault(lose_replies=1)


@given("the store is unavailable")
def set_store_unavailable(operator):
    operator.set_fault(outage=True)


@given("the first daemon forwards requests and drops the replies")
def drop_daemon_replies(operator):
    """Put a proxy in front of vm1 that forwards each request and cuts the reply."""
    deployment = operator.deployment
    target = deployment.ports_by_daemon["vm1"].operators

    operator.forwarded = 0

    async def cut_reply(stream):
        raise ConnectionResetError("injected fault")

    async def forward(request):
        outcome = await deployment.http.request(
            target,
            request.method,
            request.path,
            headers={"authorization": request.headers["authorization"]},
            body=request.body,
        )
        await outcome.unwrap().read()
        operator.forwarded += 1
        return StreamResponse(200, {}, cut_reply)

    async def start():
        server = HttpServer(forward)
        await server.start("127.0.0.1", 0)
        return server

    server = operator.loop.run_until_complete(start())
    address = f"127.0.0.1:{server.port}"
    operator.configure(deployment.operator_key, first_addresses=[address])


@given("the operator has another key")
def change_key(operator):
    operator.configure("another-key")


@given(parsers.parse('the configuration names only the listener of "{vm}"'))
def configure_one_daemon(operator, vm):
    operator.wait_members(2)
    operator.configure(operator.deployment.operator_key, only_vm=vm)


@given(parsers.parse('the daemon of "{vm}" was killed'))
def kill_daemon(operator, vm):
    process = operator.deployment.processes_by_name[vm]
    process.send(signal.SIGKILL)
    operator.loop.run_until_complete(process.process.wait())


@when(parsers.parse('the operator runs "{line}"'))
def run_line(operator, line):
    operator.result = operator.run(line)


@when(
    parsers.parse('the operator rolls "{name}" in a separate process'),
    target_fixture="outcomes",
)
def roll_in_process(operator, name):
    return operator.run_concurrently([f"bundle roll @{name}"])


@then("the roll succeeds after a lost reply")
def succeeded(operator, outcomes):
    assert outcomes == [(0, "")]
    assert operator.forwarded == 1
    operator.configure(operator.deployment.operator_key)


@when("both are rolled at the same time", target_fixture="outcomes")
def roll_both(operator):
    return operator.run_concurrently(["bundle roll @left", "bundle roll @right"])


@then("exactly one roll succeeds and the other is refused as a conflict")
def one_roll_succeeded(outcomes):
    (accepted, _), (refused, message) = sorted(outcomes)
    assert (accepted, refused) == (0, 1)
    assert "root.version" in message or "root.previous" in message


@then(parsers.parse("bundle {version:d} is in force on every VM"))
def in_force(operator, version):
    operator.wait_version(version)


@then(parsers.parse('the merged timeline has "{kind}" events of "{vms}"'))
def timeline_events(operator, kind, vms):
    events = operator.run(f"timeline --kind {kind}")
    assert {event["vm"] for event in events} == set(vms.split(","))
    assert [e["hlc"] for e in events] == sorted(e["hlc"] for e in events)


@then(parsers.parse('the command ends with {code:d} and prints "{text}"'))
def ended(operator, code, text):
    assert (operator.code, text in operator.err) == (code, True), operator.err
    assert "Traceback" not in operator.err


@then(parsers.parse('the difference names the model "{model}" and the field "{field}"'))
def difference(operator, model, field):
    (change,) = operator.result
    assert (change["kind"], change["name"]) == ("models", model)
    assert change["fields"] == {field: ["v1", "v2"]}


@then(parsers.parse('"{vm}" answers callers with {status:d}'))
def answers(operator, vm, status):
    assert operator.code == 0, operator.err
    assert operator.call(vm, "/readyz")[0] == status


@then(parsers.parse('the status of "{vm}" is "{state}"'))
def state_of(operator, vm, state):
    states = {entry["vm"]: entry["state"] for entry in operator.run("status")["vms"]}
    assert states[vm] == state


@then(parsers.parse('the metrics of "{vm}" contain "{line}"'))
def metrics_of(operator, vm, line):
    address = operator.deployment.ports_by_daemon[vm].callers

    async def read():
        http = operator.deployment.http
        outcome = await http.request(address, "GET", "/metrics")
        return (await outcome.unwrap().read()).decode()

    assert line in operator.loop.run_until_complete(read()).splitlines()
