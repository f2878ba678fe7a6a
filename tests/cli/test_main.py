import json

import pytest

from heathershunt.cli.main import run
from heathershunt.cli.tables import table

DESCRIPTION = """
version = 1
priorities = [{name = "normal", rank = 1}]
accounts = [{name = "parish", token_sha256 = []}]
"""


@pytest.fixture
def cli(tmp_path, monkeypatch, capsys):
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("HEATHERSHUNT_CONFIG", raising=False)
    (tmp_path / "one.toml").write_text(DESCRIPTION)

    def command(line):
        code = run(line.split())
        return code, *capsys.readouterr()

    return command


@pytest.mark.parametrize(
    "line",
    [
        "",
        "vm",
        "nope",
        "vm drain",
        "vm drain vm1 vm2",
        "vm drain vm1 --force",
        "vm drain vm1 _context",
        "vm -context defer",
        "vm _context defer",
        "vm drain vm1 - status",
        "bundle -- --interactive",
        "status --config",
        "status status",
        "timeline --kind nothing",
        "timeline --explain",
        "timeline --limit many",
        "bundle check one.bundle --trusted=xyz",
    ],
)
def test_invalid_command_line_prints_usage_and_changes_nothing(cli, line):
    """A mistyped command must neither run nor end in a traceback."""
    if "one.bundle" in line:
        cli("bundle create one.toml one.bundle --previous none")
    code, out, err = cli(line)
    assert (code, out) == (2, "")
    assert "usage: heathershunt" in err
    assert "Traceback" not in err


@pytest.mark.parametrize(
    "line, code, text",
    [
        ("status", 3, "heathershunt.toml"),
        ("bundle check missing", 3, "missing"),
        ("bundle check one.toml", 1, "one.toml: file: bytes follow the end"),
        ("bundle create missing x --previous none", 3, "missing"),
        ("bundle create one.toml no/such/folder --previous none", 3, "folder"),
        ("bundle create one.toml x --previous=one.toml", 1, "one.toml"),
    ],
)
def test_error_names_the_unusable_file_in_one_line(cli, line, code, text):
    exit_code, out, err = cli(line)
    assert (exit_code, out, err.count("\n")) == (code, "", 1)
    assert text in err


def test_help_lists_arguments(cli):
    code, out, _ = cli("bundle create --help")
    assert code == 0
    assert "bundle create FILE OUT [--previous=PREVIOUS]" in out


def test_bundle_is_created_signed_approved_and_checked(cli, tmp_path):
    public = [cli(f"keys new {name}")[1].strip() for name in ("key1", "key2")]
    assert (tmp_path / "key1").stat().st_mode & 0o777 == 0o600
    assert cli("keys new key1")[0] == 3
    assert cli("bundle create one.toml one.bundle --previous=none")[0] == 0
    trusted = ",".join(public)
    code, _, err = cli(f"bundle check one.bundle --trusted {trusted}")
    assert (code, "root.signatures" in err) == (1, True)
    assert cli("bundle sign one.bundle key1")[0] == 0
    assert cli("bundle approve one.bundle key1")[0] == 1
    assert cli("bundle approve one.bundle key2")[0] == 0
    code, out, _ = cli(f"--json bundle check one.bundle --trusted {trusted}")
    shown = json.loads(out)
    assert (code, shown["signed_by"], shown["approved_by"]) == (
        0,
        [public[0]],
        [public[1]],
    )


def test_version_defaults_to_the_previous_one_plus_1(cli, tmp_path):
    cli("bundle create one.toml one.bundle --previous=none")
    (tmp_path / "two.toml").write_text(DESCRIPTION.replace("version = 1", ""))
    assert cli("bundle create two.toml two.bundle --previous one.bundle")[0] == 0
    shown = json.loads(cli("bundle show two.bundle --json")[1])
    first = json.loads(cli("bundle show one.bundle --json")[1])
    assert (shown["version"], shown["previous"]) == (2, first["sha256"])
    assert cli("bundle create one.toml x --previous one.bundle")[0] == 1


def test_arguments_that_look_like_numbers_stay_text(cli):
    """If fire parsed ``12e4``, another VM would be drained or another file written."""
    (code, out, _) = cli("--json keys token --out 12e4")
    assert json.loads(out)["token_file"] == "12e4"


def test_table_shows_no_control_characters():
    """Control characters in a runner's name must not reach the operator's terminal."""
    assert "\x1b" not in table(["name"], [{"name": "a\x1b[2J"}])
