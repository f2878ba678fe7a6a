"""The command ``where`` against gateways, stand-ins of them, and nobody."""

import asyncio
import json
import re

import pytest

from heathershunt.cli.main import run
from heathershunt.http import Address, HttpServer, Response
from standins.ports import free_port
from tests.gateway.site import HOST, KEY, Site


@pytest.fixture
async def site():
    """Return a running site with one gateway."""
    site = Site()
    await site.start()
    yield site
    await site.stop()


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "key"
    path.write_text(f"{KEY}\n")
    return str(path)


@pytest.fixture
def command(capsys):
    """Return a coroutine function that runs a command line beside the servers."""

    async def command(*arguments):
        code = await asyncio.to_thread(run, ["where", *arguments])
        return code, *capsys.readouterr()

    return command


def request(path, host=HOST):
    return "--host", host, "--path", path


def metrics_of(site):
    config = site.gateways["vm-1"].config
    return str(Address(config.listeners.callers.host, config.metrics_port))


async def test_call_is_shown_for_people(site, command, key_file):
    code, out, err = await command(
        metrics_of(site), *request("/orders/7"), "--key-file", key_file
    )
    assert (code, err) == (0, "")
    lines = out.splitlines()
    assert lines[0].startswith("VM vm-1: 1 of 1, its view of the store is ")
    assert lines[1] == "route orders (non_idempotent), account owner, priority 1"
    assert "service desk: send, the fewest calls of this VM for each slot" in lines
    assert "  to desk-a, cost 0 calls for each slot" in lines
    assert any(line.startswith("desk-a") and line.endswith("chosen") for line in lines)
    assert site.runs() == []


async def test_stream_is_shown_for_people(site, command, key_file):
    code, out, _ = await command(
        metrics_of(site),
        *request("/drafts/x"),
        f"--key-file={key_file}",
        "--prompt-tokens=700",
        "--max-tokens=60",
        "--method=POST",
    )
    assert code == 0
    assert "service engine: send" in out
    assert re.search(r"  to runner-.*, cost [0-9,.]+ ms\n", out)
    assert "retries left" in out
    assert " > runner-" in out
    assert site.runs() == []


async def test_json_has_what_the_gateway_answers(site, command, key_file):
    code, out, _ = await command(
        metrics_of(site), *request("/orders/7"), "--key-file", key_file, "--json"
    )
    answer = json.loads(out)
    assert code == 0
    assert answer["services"][0]["parts"][0]["target"] == "desk-a"


async def test_refused_request_is_an_answer(site, command):
    code, out, _ = await command(metrics_of(site), *request("/orders/7"))
    assert code == 0
    assert "refused with 401: the API key is not known" in out


# Guards against an API key in a terminal, in a log or in the URL of a request.
async def test_api_key_is_sent_in_a_header_and_not_printed(command, tmp_path):
    path = tmp_path / "key"
    path.write_text("secret-key")
    targets, keys = [], []

    async def handle(request):
        targets.append(request.target)
        keys.append(request.headers.get("x-api-key"))
        return Response(200, {}, b"{}")

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    vm = f"127.0.0.1:{server.port}"
    _, out, err = await command(vm, *request("/x"), "--key-file", str(path))
    await server.close()
    assert keys == ["secret-key"]
    assert "secret-key" not in out + err + "".join(targets)


async def test_vm_that_cannot_be_reached_is_named(command):
    vm = f"127.0.0.1:{free_port()}"
    code, out, err = await command(vm, *request("/x"))
    assert (code, out) == (3, "")
    assert err.startswith(f"heathershunt: VM {vm} cannot be reached: ")
    assert len(err.splitlines()) == 1


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"{}", b'{"vm": 1}', b"\xff", b"[" * 100_000]
)
async def test_odd_answer_names_the_vm(command, body):
    # Guards against a traceback at an address where something else listens.
    async def handle(request):
        return Response(200, {}, body)

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    vm = f"127.0.0.1:{server.port}"
    code, out, err = await command(vm, *request("/x"))
    await server.close()
    assert (code, out) == (3, "")
    assert vm in err
    assert len(err) < 600


@pytest.mark.parametrize(("status", "expected"), [(404, 1), (503, 1), (400, 2)])
async def test_status_decides_the_exit_code(command, status, expected):
    async def handle(request):
        return Response(status, {}, b'{"error": "bad\x1b[2J"}')

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    vm = f"127.0.0.1:{server.port}"
    code, out, err = await command(vm, *request("/x"))
    await server.close()
    assert (code, out) == (expected, "")
    assert vm in err
    assert "\x1b" not in err


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        ((), "vm"),
        (("10.0.0.1:9",), "host"),
        (("10.0.0.1:9", "--host", "h"), "path"),
        (("10.0.0.1", *request("/x")), "10.0.0.1"),
        (("10.0.0.1:99999", *request("/x")), "99999"),
        (("10.0.0.1:9", *request("x")), "path"),
        (("10.0.0.1:9", *request("/x", host="")), "host"),
        (("10.0.0.1:9", *request("/x"), "--prompt-tokens", "many"), "prompt_tokens"),
        (("10.0.0.1:9", *request("/x"), "--max-tokens=-1"), "max_tokens"),
        (("10.0.0.1:9", *request("/x"), "--method=G T"), "method"),
        (("10.0.0.1:9", *request("/x"), "--key-file", "/nowhere/key"), "/nowhere/key"),
        (("10.0.0.1:9", *request("/x"), "--priority", "1"), "priority"),
    ],
)
async def test_bad_input_is_named_with_exit_code_2(command, arguments, named):
    code, out, err = await command(*arguments)
    assert (code, out) == (2, "")
    assert named in err.splitlines()[0]
    assert "Traceback" not in err


async def test_key_file_with_two_lines_is_refused_without_its_text(command, tmp_path):
    path = tmp_path / "key"
    path.write_text("secret\nsecond")
    code, _, err = await command("10.0.0.1:9", *request("/x"), "--key-file", str(path))
    assert code == 2
    assert "second" not in err
