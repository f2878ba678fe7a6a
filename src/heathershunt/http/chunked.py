"""Decoder of chunked message bodies (RFC 9112, section 7.1)."""

import re

MAX_SIZE_LINE_BYTES = 256
MAX_SIZE_DIGITS = 16
MAX_TRAILER_BYTES = 16_384
TRAILER_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
# HTTP parsers differ on white space before a chunk extension, so it is rejected, as
# h11 does.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;[^\n]*)?[ \t]*")


class ChunkedBodyError(ConnectionError):
    """A body with malformed chunked framing; its connection cannot be reused.

    .. versionadded:: 0.1
    """


class ChunkedDecoder:
    """Incremental decoder from the bytes of a connection to those of the body.

    h11 creates three events for each chunk, which costs more than all other work on a
    relayed token; this decoder creates none.

    :ivar is_started: whether :meth:`feed` was called.
    :ivar is_ended: whether the last chunk and the trailer were decoded.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._rest = b""
        self._remaining = 0
        self.is_started = False
        self.is_ended = False

    @property
    def rest(self) -> bytes:
        """Return the bytes not decoded yet; after the end, those beyond the body."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Decode received bytes and return the body bytes in them.

        :raises ChunkedBodyError: if the framing is malformed.
        """
        self.is_started = True
        if not self._rest and not self._remaining and not self.is_ended:
            # Fast path: one write of the sender usually arrives as exactly one chunk.
            end = data.find(b"\r\n")
            if 0 < end <= MAX_SIZE_DIGITS and data.endswith(b"\r\n"):
                size = len(data) - end - 4
                if size > 0 and _parse_size(data[:end]) == size:
                    return data[end + 2 : -2]
        data = self._rest + data if self._rest else data
        parts = []
        offset = 0
        while not self.is_ended:
            if self._remaining:
                offset = self._consume_body(data, offset, parts)
                if self._remaining:
                    break
            end = data.find(b"\r\n", offset)
            if end < 0:
                if len(data) - offset > MAX_SIZE_LINE_BYTES:
                    raise ChunkedBodyError("the size line of a chunk is too long")
                break
            size = _parse_size(data[offset:end])
            if size == 0:
                after = self._skip_trailer(data, end)
                if after is None:
                    break
                offset = after
                self.is_ended = True
            else:
                offset = end + 2
                # Includes the line break after the chunk.
                self._remaining = size + 2
        self._rest = data[offset:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _consume_body(self, data: bytes, offset: int, parts: list[bytes]) -> int:
        """Append received bytes of the current chunk; return the offset after them."""
        available = len(data) - offset
        if available < self._remaining:
            # The line break after a chunk is only consumed as a whole.
            take = min(available, self._remaining - 2)
            if take > 0:
                parts.append(data[offset : offset + take])
                self._remaining -= take
                offset += take
            return offset
        end = offset + self._remaining - 2
        if data[end : end + 2] != b"\r\n":
            raise ChunkedBodyError("a chunk is longer than its size")
        if end > offset:
            parts.append(data[offset:end])
        self._remaining = 0
        return end + 2

    def _skip_trailer(self, data: bytes, end: int) -> int | None:
        """Return the offset after the trailer, ``None`` if it is incomplete."""
        if data.startswith(b"\r\n", end + 2):
            return end + 4
        if len(data) - end > MAX_TRAILER_BYTES:
            raise ChunkedBodyError("the trailer of a body is too long")
        stop = data.find(b"\r\n\r\n", end + 2)
        # HTTP parsers differ on lines that end without a carriage return.
        if BARE_LINE_FEED.search(data, end + 2, len(data) if stop < 0 else stop):
            raise ChunkedBodyError("the trailer of a body has a bare line feed")
        if stop < 0:
            return None
        if not all(map(TRAILER_FIELD.fullmatch, data[end + 2 : stop].split(b"\r\n"))):
            raise ChunkedBodyError("the trailer of a body has a malformed field")
        return stop + 4


def _parse_size(line: bytes) -> int:
    match = SIZE_LINE.fullmatch(line)
    if match is None or len(match[1]) > MAX_SIZE_DIGITS:
        raise ChunkedBodyError("the size of a chunk is not hexadecimal")
    return int(match[1], 16)
