import socket
import subprocess
import sys
from pathlib import Path

import pytest

from heathershunt.settings import SettingsError, load_settings
from heathershunt.settings.reference import reference_page

KEY = "ab" * 32
INVALID_FILES = {
    "unknown section": ("[vm]", "[vmm]\n[vm]", "vmm is unknown"),
    "unknown key": ("[vm]", "[vm]\ncolour = 1", "vm.colour is unknown"),
    "missing key": ('domain = "a"', "", "vm.domain is missing"),
    "missing section": ("[bundle]", "[operators]", "operators.trusted_keys is unknown"),
    "wrong type": ('name = "vm1"', "name = 7", "vm.name is 7; `str` is accepted"),
    "dotted name": ('"vm1"', '"vm1.x"', "vm.name is 'vm1.x'; 1 to 64 letters"),
    "section as value": ("[vm]", "log = 3\n[vm]", "log is 3"),
    "host name": ("127.0.0.1:8001", "localhost:8001", "'localhost:8001'; an IPv4"),
    "no port": ("127.0.0.1:8001", "127.0.0.1", "listen.callers is '127.0.0.1'"),
    "high port": ("127.0.0.1:8001", "127.0.0.1:70000", "listen.callers"),
    "bad store": ('["127.0.0.1:9000"]', '["x"]', "platform.store[0] is 'x'"),
    "no store": ('["127.0.0.1:9000"]', "[]", "platform.store is []; a list of 1"),
    "same listener": (":8002", ":8001", "a different address per listener"),
    "short key": (KEY, "abcd", "bundle.trusted_keys[0] is 'abcd'; 64 hexadecimal"),
    "key twice": (f'"{KEY}"', f'"{KEY}", "{KEY.upper()}"', "without duplicates"),
    "zero": ("= 1000", "= 0", "drafts.drain_limit_ms is 0; `int` >= 1"),
    "huge": ("= 1000", "= 99999999999999999999", "`int` <= 3600000"),
    "boolean": ("= 1000", "= true", "drafts.drain_limit_ms is True; `int`"),
    "log level": (
        "[vm]",
        '[log]\nlevel = "loud"\n[vm]',
        "log.level is 'loud'; 'debug'",
    ),
    "not TOML": ("[vm]", "[vm", "not valid TOML"),
    "line break": ("[vm]", '[vm]\n"a\\nb" = 1', "vm.a?b is unknown"),
    "no certificate": ("vm1.pem", "gone.pem", "No such file"),
    "not a key": ("vm1.key", "vm1.pem", "tls.certificate"),
    "not an authority": ("authority.pem", "vm1.key", "tls.peer_authority"),
}


@pytest.mark.parametrize("case", INVALID_FILES)
def test_invalid_file_gives_a_one_line_error(tmp_path, settings_text, case):
    """An invalid setting must stop the daemon and not fall back to a default."""
    old, new, expected = INVALID_FILES[case]
    assert old in settings_text
    path = tmp_path / "settings.toml"
    path.write_text(settings_text.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    text = str(caught.value)
    assert text.startswith(f"{path}: ")
    assert expected in text
    assert "\n" not in text


def test_valid_file_is_accepted(tmp_path, settings_text):
    path = tmp_path / "settings.toml"
    path.write_text(settings_text)
    settings = load_settings(path)
    assert settings.vm.name == "vm1"
    assert settings.drafts.drain_limit_ms == 1000
    assert settings.log.format == "text"


@pytest.mark.parametrize("content", [None, b"\xff\xfe"])
def test_error_names_the_unreadable_file(tmp_path, content):
    path = tmp_path / "settings.toml"
    if content:
        path.write_bytes(content)
    with pytest.raises(SettingsError, match="settings.toml: "):
        load_settings(path)


def test_daemon_exits_with_one_line_and_exit_code(tmp_path, settings_text):
    """Invalid settings and a port in use must not end in a traceback."""
    path = tmp_path / "settings.toml"
    command = [sys.executable, "-m", "heathershunt.daemon.main", str(path)]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        texts = ("[vm]\n", settings_text.replace("127.0.0.1:8001", address))
        for text, code in zip(texts, (2, 3), strict=True):
            path.write_text(text)
            done = subprocess.run(
                command, env={"PYTHONPATH": "src"}, capture_output=True, text=True
            )
            assert done.returncode == code
            *logged, last = done.stderr.splitlines()
            assert last.startswith(f"{path}: ")
            assert all(" INFO " in line for line in logged)
            assert code == 3 or not logged


def test_reference_page_matches_the_dataclasses():
    """The page must list every key with its type and default in the code."""
    page = Path(__file__).parents[2] / "docs" / "settings.md"
    assert page.read_text() == reference_page()
