"""Handlers of ``logbook`` for the formats of the settings."""

import json
from typing import TextIO

import logbook

# The process records of `logbook` are in UTC unless it is told otherwise.
TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: "
    "{record.message}"
)


class JsonHandler(logbook.StreamHandler):
    """Writes one JSON object a line.

    The keys are ``time``, ``level``, ``logger``, ``message``, ``vm``, and
    ``exception`` with the traceback if there is one.

    :param vm: name of this VM, in every record.

    .. versionadded:: 0.1
    """

    def __init__(self, stream: TextIO, vm: str, level: int) -> None:
        super().__init__(stream, level=level)
        self._vm = vm

    def format(self, record: logbook.LogRecord) -> str:
        """Return the JSON object of a record."""
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


def log_handler(level: str, form: str, vm: str, stream: TextIO) -> logbook.Handler:
    """Return the handler of the log settings.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param form: ``json`` or ``text``.
    """
    number = logbook.lookup_level(level.upper())
    if form == "json":
        return JsonHandler(stream, vm, number)
    return logbook.StreamHandler(stream, level=number, format_string=TEXT_FORMAT)
