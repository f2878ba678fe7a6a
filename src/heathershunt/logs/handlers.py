"""``logbook`` handlers for the log formats of the settings."""

import json
from typing import TextIO

import logbook

# The times of `logbook` records are in UTC by default.
TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: "
    "{record.message}"
)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one line with a JSON object.

    The keys are ``time``, ``level``, ``logger``, ``message``, ``vm``, and
    ``exception`` with the traceback if there is one.

    :param vm: name of this VM, in every record.
    :param level: lowest level that is written, as a number of ``logbook``.

    .. versionadded:: 0.1
    """

    def __init__(self, stream: TextIO, vm: str, level: int) -> None:
        super().__init__(stream, level=level)
        self._vm = vm

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as JSON text."""
        content = {
            "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            "vm": self._vm,
        }
        if record.formatted_exception:
            content["exception"] = record.formatted_exception
        return json.dumps(content)


def log_handler(
    level: str, log_format: str, vm: str, stream: TextIO
) -> logbook.Handler:
    """Return the handler for the log settings.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param log_format: ``json`` or ``text``.
    """
    level_number = logbook.lookup_level(level.upper())
    if log_format == "json":
        return JsonHandler(stream, vm, level_number)
    return logbook.StreamHandler(stream, level=level_number, format_string=TEXT_FORMAT)
