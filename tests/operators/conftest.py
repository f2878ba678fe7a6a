import asyncio
import json
import sys

import pytest

from heathershunt.cli.main import run
from heathershunt.http import Address
from standins.bundles import demo_bundle
from standins.launch import Deployment


class Operator:
    """Runs the command line against a deployment of two daemons."""

    def __init__(self, folder, loop, capsys):
        self.folder, self.loop, self._capsys = folder, loop, capsys
        self.deployment = Deployment()
        self.code, self.out, self.err = None, "", ""

    def start(self):
        self.loop.run_until_complete(self._start())
        key = self.deployment.private_key
        (self.folder / "signer").write_text(key)
        self.configure(self.deployment.operator_key)

    async def _start(self):
        await self.deployment.start_platform()
        await self.deployment.start_daemons(2)

    def configure(self, key, first_addresses=(), only_vm=None):
        ports = self.deployment.ports_by_daemon.items()
        listeners = [str(port.operators) for vm, port in ports if only_vm in (None, vm)]
        daemons = [*first_addresses, *listeners]
        (self.folder / "operator.key").write_text(key)
        (self.folder / "cli.toml").write_text(
            f"daemons = {json.dumps(daemons)}\ntimeout_ms = 5000\n"
            f'key_file = "{self.folder / "operator.key"}"\n'
        )

    def arguments(self, line):
        """Return the arguments of a command line, ``@name`` replaced by a path."""
        words = [
            str(self.folder / word[1:]) if word.startswith("@") else word
            for word in line.split()
        ]
        return ["--json", "--config", str(self.folder / "cli.toml"), *words]

    def run(self, line):
        self.code = run(self.arguments(line))
        self.out, self.err = self._capsys.readouterr()
        return json.loads(self.out) if self.out else None

    def run_concurrently(self, lines):
        """Run command lines in concurrent processes; return exit codes and errors."""

        async def run_process(line):
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "heathershunt.cli.main"),
                *self.arguments(line),
                env={"PYTHONPATH": "src"},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            out, err = await process.communicate()
            return process.returncode, err.decode()

        async def run_all():
            return await asyncio.gather(*map(run_process, lines))

        return self.loop.run_until_complete(run_all())

    def create(self, name, previous="", **changes):
        raw = {**demo_bundle(1), **changes}
        del raw["version"]
        (self.folder / f"{name}.toml").write_text(to_toml(raw))
        option = f"--previous {previous}" if previous else ""
        self.run(f"bundle create @{name}.toml @{name} {option}")
        assert self.code == 0, self.err

    def sign(self, name):
        self.run(f"bundle sign @{name} @signer")
        assert self.code == 0, self.err

    def versions(self):
        """Return the bundle version in force by VM."""
        return {vm["vm"]: vm["bundle"] for vm in self.run("status")["vms"]}

    def wait_until(self, condition):
        for _ in range(200):
            if condition():
                return
            self.loop.run_until_complete(asyncio.sleep(0.05))
        raise AssertionError(self.out)

    def wait_version(self, version):
        self.wait_until(lambda: set(self.versions().values()) == {version})

    def wait_members(self, count):
        """Wait until each daemon lists ``count`` live VMs."""
        for vm in self.deployment.ports_by_daemon:
            self.wait_until(
                lambda vm=vm: self.call(vm, "/readyz")[1].get("vms") == count
            )

    def call(self, vm, path):
        address = self.deployment.ports_by_daemon[vm].callers
        return self.call_at(address, "GET", path)

    def call_at(self, address, method, path, payload=None):
        http = self.deployment.http
        outcome = self.loop.run_until_complete(
            http.request_json(address, method, path, payload)
        )
        return outcome.unwrap()

    def set_fault(self, **faults):
        platform = self.deployment.platform
        assert isinstance(platform, Address)
        self.call_at(platform, "POST", "/v1/faults", faults)

    def stop(self):
        self.loop.run_until_complete(self.deployment.stop())


def to_toml(raw):
    lines = []
    for kind, items in raw.items():
        for item in items:
            lines.append(f"[[{kind}]]")
            for name, value in item.items():
                text = json.dumps(value)
                if isinstance(value, list) and value and isinstance(value[0], dict):
                    text = "[{method='GET', path_prefix='/'}]"
                lines.append(f"{name} = {text}")
    return "\n".join(lines)


@pytest.fixture
def operator(tmp_path, capsys):
    loop = asyncio.new_event_loop()
    operator = Operator(tmp_path, loop, capsys)
    try:
        operator.start()
        yield operator
    finally:
        operator.stop()
        loop.close()
