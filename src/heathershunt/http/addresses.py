"""Addresses of listeners."""

import re
from dataclasses import dataclass

# Stricter than the socket calls, which raise errors of many types for other texts.
ADDRESS_TEXT = re.compile(
    r"(?P<host>[0-9A-Za-z_:\[\]-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,9}):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65_535
# Characters of a malformed address that an error quotes.
MAX_QUOTED = 100


@dataclass(frozen=True)
class Address:
    """IP address and port of a listener.

    .. versionadded:: 0.1
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``.

        :raises ValueError: if the text has another form or the port is above 65535.
        """
        found = ADDRESS_TEXT.fullmatch(text)
        if found is None or int(found["port"]) > MAX_PORT:
            raise ValueError(f"{text[:MAX_QUOTED]!r} is not of the form host:port")
        return cls(found["host"], int(found["port"]))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
