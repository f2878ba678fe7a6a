"""Log records on standard error, and lines of events on standard output."""

from heathershunt.logs.lines import EventLog
from heathershunt.logs.logs import JsonHandler, log_handler

__all__ = ["EventLog", "JsonHandler", "log_handler"]
