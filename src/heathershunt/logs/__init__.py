"""Logs on standard error, as JSON objects or text lines."""

from heathershunt.logs.logs import JsonHandler, log_handler

__all__ = ["JsonHandler", "log_handler"]
