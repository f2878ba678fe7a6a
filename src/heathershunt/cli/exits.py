"""Exit codes and the error that carries one."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of ``heathershunt``.

    .. versionadded:: 0.1
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    BAD_FILE = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
    PARTIAL = 6
    UNAUTHORIZED = 7


class CliError(Exception):
    """A command that ends without its result; the message is one line.

    .. versionadded:: 0.1
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
