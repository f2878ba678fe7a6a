"""Decoding of untrusted CBOR into typed values."""

import io
from typing import Any, TypeVar

import cbor2

from heathershunt.bundle.error import BundleError
from heathershunt.schema import SchemaError, strict_convert

# The deepest value of the format has four levels: the list of a part, a service, its
# list of idempotent calls, a call.
MAX_DEPTH = 8

T = TypeVar("T")


def decode_cbor(data: bytes, place: str, limit: int) -> Any:
    """Decode ``data`` as exactly one CBOR value.

    :param place: location of ``data`` in the bundle, for the error.
    :param limit: largest size accepted, in bytes.
    :raises BundleError: if ``data`` is too large, is not valid CBOR, nests deeper than
        ``MAX_DEPTH``, or has duplicate keys, an indefinite length or trailing bytes.
    """
    if not isinstance(data, bytes):
        raise BundleError(place, "bytes are expected")
    if len(data) > limit:
        raise BundleError(place, f"{len(data)} bytes; at most {limit} are accepted")
    source = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(
            source,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        ).decode()
    # cbor2's decoders of tagged values raise errors of many types.
    except Exception as error:
        raise BundleError(place, f"not valid CBOR: {error}") from None
    if source.tell() != len(data):
        raise BundleError(place, "bytes follow the end of the value")
    return value


def convert(value: Any, cls: type[T], place: str) -> T:
    """Convert a decoded value into ``cls``, without coercion between types.

    :param place: location of ``value`` in the bundle, for the error.
    :raises BundleError: if the value does not match ``cls`` or has an unknown key.
    """
    try:
        return strict_convert(value, cls)
    except SchemaError as error:
        joint = "" if not error.place or error.place.startswith("[") else "."
        raise BundleError(f"{place}{joint}{error.place}", error.detail) from None
