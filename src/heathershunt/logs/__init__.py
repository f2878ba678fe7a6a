"""Log records on standard error, and events as JSON lines on standard output."""

from heathershunt.logs.events import Event
from heathershunt.logs.handlers import JsonHandler, log_handler
from heathershunt.logs.held import HeldLines
from heathershunt.logs.lines import EventLog
from heathershunt.logs.rates import LineRateLimiter
from heathershunt.logs.repeats import RepeatLimiter
from heathershunt.logs.request_events import RequestEvent

__all__ = [
    "Event",
    "EventLog",
    "HeldLines",
    "JsonHandler",
    "LineRateLimiter",
    "RepeatLimiter",
    "RequestEvent",
    "log_handler",
]
