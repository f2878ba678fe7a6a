"""Packages that the gateway imports."""

import subprocess
import sys
from pathlib import Path

CODE = """
import sys, heathershunt.platform.main
names = sorted({name.partition(".")[0] for name in sys.modules})
print("\\n".join(names))
"""
THIRD_PARTY = ("cbor2", "fire", "h11", "logbook", "msgspec", "result", "websockets")


def test_gateway_imports_only_what_its_requirements_name():
    # Guards against a gateway that does not start on a VM, which has the packages of
    # deploy/requirements.txt only: shared modules must not import others.
    lines = Path("deploy/requirements.txt").read_text().splitlines()
    known = {line.partition("=")[0].lower() for line in lines}
    done = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True, check=True
    )
    imported = set(done.stdout.split())
    assert imported.intersection(THIRD_PARTY) <= known
