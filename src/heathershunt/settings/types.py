"""Types of settings with what each of them accepts."""

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
    """A check of a text.

    :param accepts: what is accepted, in words.
    :param check: returns whether a text is.
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
    """Return the type of a text that is one of ``values``."""
    rule = Rule(" or ".join(map(repr, values)), lambda text: text in values)
    return Annotated[str, Meta(extra={"rule": rule})]


def _text(accepts: str, check: Callable[[str], bool]):
    return Annotated[str, Meta(extra={"rule": Rule(accepts, check)})]


# Request ids are made of the VM's name and numbers, separated by dots.
Name = _text(
    "1 to 64 letters, digits, '-' and '_'",
    lambda text: NAME_PATTERN.fullmatch(text) is not None,
)
AddressText = _text("an IPv4 address and port, ip:port", is_address)
HexKey = _text(
    "64 hexadecimal digits", lambda text: HEX_PATTERN.fullmatch(text) is not None
)
FilePath = _text("the path of a readable file", lambda text: bool(text))
Count = Annotated[int, Meta(ge=1, le=100_000)]
Rate = Annotated[float, Meta(ge=0.001, le=1_000_000)]
# An hour is far beyond every deadline; a higher number is a mistyped unit.
DurationMs = Annotated[int, Meta(ge=1, le=3_600_000)]
