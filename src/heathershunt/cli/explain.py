"""The command that explains a request from log files."""

import sys
from collections.abc import Iterator

from heathershunt.cli.context import Output
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.gateway.explain import explain_request
from heathershunt.logs.reading import read_lines

STDIN_PATH = "-"


def explain_from_logs(request: str, logs: str) -> Output:
    """Explain a request from the lines of log files.

    :param logs: paths separated by commas; ``-`` is standard input.
    """
    events = read_lines(line for path in logs.split(",") for line in _read_log(path))
    lines = explain_request(events, request)
    if not lines:
        raise CliError(ExitCode.REFUSED, f"no line of the logs names {request!r}")
    return Output(lines, "\n".join(lines))


def _read_log(path: str) -> Iterator[str]:
    if path == STDIN_PATH:
        yield from sys.stdin
        return
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as error:
        raise CliError(ExitCode.USAGE, f"cannot read {path}: {error}") from None
