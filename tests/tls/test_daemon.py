import asyncio
import json
import signal
import ssl
import sys

import pytest

from heathershunt.http import HttpClient
from heathershunt.http.addresses import Address
from standins.bundles import token_sha256
from standins.ports import free_port

HOST = "127.0.0.1"


@pytest.fixture
def ports():
    return [free_port() for _ in range(4)]


@pytest.fixture
async def daemon(tmp_path, ports, tls_settings):
    callers, operators, peers, unused = (f"{HOST}:{port}" for port in ports)
    (tmp_path / "vm1.toml").write_text(f"""
vm = {{name = "vm1", domain = "a"}}
listen = {{callers = "{callers}", operators = "{operators}", peers = "{peers}"}}
platform = {{store = ["{unused}"], vm_list = "{unused}"}}
bundle = {{trusted_keys = ["{"ab" * 32}"]}}
operators = {{key_sha256 = ["{token_sha256("key")}"]}}
log = {{format = "json"}}
[tls]
certificate = "{tls_settings.certificate}"
key = "{tls_settings.key}"
peer_authority = "{tls_settings.peer_authority}"
""")
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "heathershunt.daemon.main", str(tmp_path / "vm1.toml")),
        env={"PYTHONPATH": "src"},
        stderr=asyncio.subprocess.PIPE,
    )
    yield process
    if process.returncode is None:
        process.kill()
    await process.wait()


async def peer_certificate(port, authority):
    """Return the certificate of a listener, retrying until the listener is up."""
    context = ssl.create_default_context(cafile=authority.path)
    for _ in range(200):
        try:
            _, writer = await asyncio.open_connection(HOST, port, ssl=context)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        der = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.close()
        return der
    raise AssertionError("the listener did not start")


async def test_daemon_serves_tls_and_rereads_certificates_on_sighup(
    daemon, ports, authority, tmp_path
):
    """Certificates expire before VMs are replaced, so the daemon must reload them."""
    before = await peer_certificate(ports[1], authority)
    (tmp_path / "key").write_text("key\n")
    (tmp_path / "cli.toml").write_text(
        f'daemons = ["{HOST}:{ports[1]}"]\nkey_file = "{tmp_path / "key"}"\n'
        f'tls_authority = "{authority.path}"\n'
    )
    cli = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "heathershunt.cli.main", "status", "--json"),
        env={"PYTHONPATH": "src", "HEATHERSHUNT_CONFIG": str(tmp_path / "cli.toml")},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await cli.communicate()
    assert json.loads(out)["vms"][0]["state"] == "not ready"
    authority.issue("vm1")
    daemon.send_signal(signal.SIGHUP)
    for _ in range(100):
        if await peer_certificate(ports[0], authority) != before:
            break
        await asyncio.sleep(0.02)
    else:
        raise AssertionError("the new certificate is not served")
    http = HttpClient(ssl.create_default_context(cafile=authority.path))
    status, _ = (
        await http.request_json(Address(HOST, ports[0]), "GET", "/healthz")
    ).unwrap()
    assert status == 200
    http.close()
    daemon.terminate()
    _, logged = await daemon.communicate()
    assert daemon.returncode == 0
    messages = [json.loads(line)["message"] for line in logged.splitlines()]
    assert "certificates reread" in messages
