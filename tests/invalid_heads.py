"""Response heads that are no valid answer, as malfunctioning targets send them."""

INVALID_STATUSES = (
    b"000",
    b"001",
    b"099",
    b"600",
    b"999",
    b"2000",
    b"20",
    b"2xx",
    b"abc",
    b"+20",
    b"+200",
    b"-20",
    b"-200",
    b"",
)
# Start of the head up to further header fields, which begin on the next line.
INVALID_STARTS = tuple(b"HTTP/1.1 %b OK" % status for status in INVALID_STATUSES) + (
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/9.9 200 OK",
    b"HTTP/1.1 101 Switching Protocols\r\nupgrade: raw",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 199 Final",
    b"HTTP/1.1 150 Final",
    b"garbage",
)


def head_id(start):
    """Return the name of a test case for the start of a head."""
    return start.decode().partition("\r")[0]
