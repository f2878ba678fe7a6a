"""Types of settings values, each with the rule for what it accepts."""

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
HEX_PATTERN = re.compile(r"[0-9a-fA-F]{64}")


@dataclass(frozen=True)
class Rule:
    """A rule that a string value must meet.

    :param accepts: what is accepted, in words.
    :param check: returns whether a string is accepted.
    """

    accepts: str
    check: Callable[[str], bool]


def is_address(text: str) -> bool:
    """Return whether ``text`` is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def one_of(*values: str):
    """Return the type of a string that must be one of ``values``."""
    rule = Rule(" or ".join(map(repr, values)), lambda text: text in values)
    return Annotated[str, Meta(extra={"rule": rule})]


def _checked_string(accepts: str, check: Callable[[str], bool]):
    return Annotated[str, Meta(extra={"rule": Rule(accepts, check)})]


# No dots: request ids join the VM's name and two numbers with dots.
Name = _checked_string(
    "1 to 64 letters, digits, '-' and '_'",
    lambda text: NAME_PATTERN.fullmatch(text) is not None,
)
AddressText = _checked_string("an IPv4 address and port, ip:port", is_address)
HexKey = _checked_string(
    "64 hexadecimal digits", lambda text: HEX_PATTERN.fullmatch(text) is not None
)
FilePath = _checked_string("the path of a readable file", lambda text: bool(text))
Count = Annotated[int, Meta(ge=1, le=100_000)]
Rate = Annotated[float, Meta(ge=0.001, le=1_000_000)]
# One hour is far longer than any deadline; a higher value is in the wrong unit.
DurationMs = Annotated[int, Meta(ge=1, le=3_600_000)]
