"""Bundle files: the signed root and its parts in one file.

The file is a CBOR map ``{format, root, parts}``. ``root`` is the encoded signed root,
the same bytes as in the store. ``parts`` lists the bytes of each distinct part once, in
the order of the root.
"""

from collections.abc import Mapping

from heathershunt.bundle.decoding import convert, decode_cbor
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import Bundle
from heathershunt.bundle.parts import (
    SignedRoot,
    assemble,
    decode_root,
    encode_canonical,
    encode_signed_root,
    sha256_hex,
)

FILE_FORMAT = "heathershunt-bundle-1"
# A file of 27,000 client accounts has 4.3 MB. The operators' listener holds one file in
# memory per connection.
MAX_FILE_BYTES = 16 * 1024 * 1024


def encode_file(signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]) -> bytes:
    """Return the content of a bundle file.

    :raises BundleError: if a part is missing or the file is larger than
        ``MAX_FILE_BYTES``.
    """
    # Empty parts of different kinds have the same bytes and are written once.
    distinct: dict[str, bytes] = {}
    for entry in signed.root().parts:
        data = parts_by_sha256.get(entry.sha256)
        if data is None:
            raise BundleError(entry.place, "the part is missing")
        distinct[entry.sha256] = data
    content = {"format": FILE_FORMAT, "root": encode_signed_root(signed)}
    encoded = encode_canonical({**content, "parts": list(distinct.values())})
    if len(encoded) > MAX_FILE_BYTES:
        raise BundleError(
            "file", f"{len(encoded)} bytes; at most {MAX_FILE_BYTES} are accepted"
        )
    return encoded


def unpack_file(data: bytes) -> tuple[SignedRoot, dict[str, bytes]]:
    """Return the signed root and the parts by hash from the content of a file.

    Neither the signatures nor the contents of the parts are checked here.

    :param data: content of the file.
    :raises BundleError: if the file or the root is malformed, or if the parts are not
        exactly those of the root.
    """
    raw = decode_cbor(data, "file", MAX_FILE_BYTES)
    if not isinstance(raw, dict) or raw.get("format") != FILE_FORMAT:
        raise BundleError("file.format", f"{FILE_FORMAT!r} is expected")
    if set(raw) != {"format", "root", "parts"}:
        raise BundleError("file", "exactly the keys format, root, parts are accepted")
    signed = decode_root(convert(raw["root"], bytes, "file.root"))
    parts = convert(raw["parts"], list[bytes], "file.parts")
    parts_by_sha256 = {sha256_hex(part): part for part in parts}
    entries = signed.root().parts
    for entry in entries:
        if entry.sha256 not in parts_by_sha256:
            raise BundleError(entry.place, "the part is missing")
    if len(parts) != len({entry.sha256 for entry in entries}):
        raise BundleError("file.parts", "only the parts of the root are accepted")
    return signed, parts_by_sha256


def decode_file(data: bytes) -> tuple[SignedRoot, dict[str, bytes], Bundle]:
    """Return the signed root, the parts by hash and the checked bundle of a file.

    Signatures are not checked here.

    :param data: content of the file.
    :raises BundleError: at the first fault of the file or the bundle.
    """
    signed, parts_by_sha256 = unpack_file(data)
    return signed, parts_by_sha256, assemble(signed.root(), parts_by_sha256)
