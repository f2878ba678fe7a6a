"""Log records on standard error, and lines of events on standard output."""

from heathershunt.logs.events import Event
from heathershunt.logs.held import HeldLines
from heathershunt.logs.lines import EventLog
from heathershunt.logs.logs import JsonHandler, log_handler
from heathershunt.logs.rates import LineRates
from heathershunt.logs.request_events import RequestEvent

__all__ = [
    "Event",
    "EventLog",
    "HeldLines",
    "JsonHandler",
    "LineRates",
    "RequestEvent",
    "log_handler",
]
