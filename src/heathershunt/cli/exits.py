"""Exit codes and the error that carries one."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of ``heathershunt``.

    ``REFUSED``: a daemon or a check refused the request. ``OUTCOME_UNKNOWN``: a change
    may or may not have been made. ``PARTIAL``: some daemons gave no usable reply.
    ``VM_UNREACHABLE``: of ``where`` only, which reports bad files as ``USAGE``; the
    code is the same as ``BAD_FILE``.

    .. versionadded:: 0.1
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    BAD_FILE = 3
    VM_UNREACHABLE = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
    PARTIAL = 6
    UNAUTHORIZED = 7


class CliError(Exception):
    """Raised to end a command with an exit code; the message is one line.

    .. versionadded:: 0.1
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
