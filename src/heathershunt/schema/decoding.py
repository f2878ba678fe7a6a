"""Decoding of values that other processes wrote, with one type of error."""

from collections.abc import Callable
from typing import TypeVar

MAX_DETAIL_CHARACTERS = 200

# Deep nesting is no ``ValueError`` for msgspec.
DECODER_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)

T = TypeVar("T")


class MalformedError(ValueError):
    """A value that cannot be decoded; the message has a bounded length.

    .. versionadded:: 0.8
    """


def brief(value: object) -> str:
    """Return a text for a log line or an error, of a bounded length."""
    text = str(value)
    if len(text) <= MAX_DETAIL_CHARACTERS:
        return text
    return f"{text[:MAX_DETAIL_CHARACTERS]}..."


def decode_untrusted(decode: Callable[[bytes], T], raw: bytes) -> T:
    """Return what ``decode`` makes of ``raw``.

    Decoders raise errors of several types.

    :raises MalformedError: if it cannot be decoded.
    """
    try:
        return decode(raw)
    except RecursionError:
        raise MalformedError("nested too deeply") from None
    except DECODER_ERRORS as error:
        raise MalformedError(brief(error)) from None
