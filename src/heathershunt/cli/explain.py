"""The command that explains a request from log files."""

import sys
from collections.abc import Iterator

from heathershunt.cli.context import Output
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.gateway.explain import explain_request
from heathershunt.logs.reading import read_lines

STANDARD_INPUT = "-"


def explain_from_logs(request: str, logs: str) -> Output:
    """Return what the logs say of a request.

    :param logs: paths separated by commas; ``-`` is standard input.
    """
    events = read_lines(line for path in logs.split(",") for line in _lines(path))
    lines = explain_request(events, request)
    if not lines:
        raise CliError(ExitCode.REFUSED, f"no line of the logs names {request!r}")
    return Output(lines, "\n".join(lines))


def _lines(path: str) -> Iterator[str]:
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as error:
        raise CliError(ExitCode.USAGE, f"cannot read {path}: {error}") from None
