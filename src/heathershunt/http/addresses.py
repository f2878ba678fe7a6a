"""Addresses of listeners."""

import re
from dataclasses import dataclass

# Connecting to any other text raises errors of many types.
ADDRESS_TEXT = re.compile(
    r"(?P<host>[0-9A-Za-z_:\[\]-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,9}):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65_535


@dataclass(frozen=True)
class Address:
    """IP address and port of a listener.

    .. versionadded:: 0.1
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ``ValueError`` if it is something else."""
        found = ADDRESS_TEXT.fullmatch(text)
        if found is None or int(found["port"]) > MAX_PORT:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(found["host"], int(found["port"]))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
