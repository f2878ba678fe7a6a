"""Decoding of CBOR that other processes wrote; the gateway speaks none."""

from typing import Any

import cbor2

from heathershunt.schema.decoding import MalformedError, brief, decode_untrusted


def decode_cbor(raw: bytes) -> Any:
    """Return the decoded value.

    :raises MalformedError: if it cannot be decoded; the errors of ``cbor2`` are no
        ``ValueError``.
    """
    try:
        return decode_untrusted(cbor2.loads, raw)
    except cbor2.CBORDecodeError as error:
        raise MalformedError(brief(error)) from None
