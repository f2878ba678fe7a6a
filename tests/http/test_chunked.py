import h11
import pytest
from hypothesis import example, given, settings, strategies as st

from heathershunt.http.chunked import ChunkedBodyError, ChunkedDecoder

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def frame(chunks, extension=b"", trailer=b""):
    framed = b"".join(b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks)
    return framed + b"0\r\n" + trailer + b"\r\n"


def pieces_of(data, cuts):
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    st.lists(st.integers(0, 10_000), max_size=20),
    st.sampled_from([b"", b";a=b", b"; x", b" "]),
    st.sampled_from([b"", b"a: b\r\n"]),
    st.binary(max_size=5),
)
def test_any_split_of_a_body_gives_its_bytes(chunks, cuts, extension, trailer, more):
    """A frame that is cut anywhere by the network must not lose or add a byte."""
    decoder = ChunkedDecoder()
    data = frame(chunks, extension, trailer) + more
    body = b"".join(decoder.feed(piece) for piece in pieces_of(data, cuts))
    assert body == b"".join(chunks)
    assert decoder.is_ended
    assert decoder.rest == more


def read_with_h11(data):
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(HEAD + data)
    body = b""
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Data):
            body += event.data
        elif event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            return body, isinstance(event, h11.EndOfMessage)


@settings(max_examples=500)
@example([b"0", b"\r\n", b"0", b"\r\n", b"\r\n"])
@example([b"0", b" ", b";x", b"\r\n", b"\r\n"])
@example([b"0", b"\r\n", b"a", b":", b"\n", b"\n", b"\r\n", b"\r\n"])
@given(
    st.lists(
        st.sampled_from(
            [b"\r\n", b"\n", b"0", b"2", b"f", b"ab", b";x", b":", b" ", b"\0", b"\t"]
        ),
        max_size=9,
    )
)
def test_what_is_accepted_is_read_as_h11_reads_it(tokens):
    """Two readers that disagree on framing open the door to response splitting."""
    data = b"".join(tokens)
    decoder = ChunkedDecoder()
    try:
        body = decoder.feed(data)
    except ChunkedBodyError:
        return
    try:
        expected = read_with_h11(data)
    except h11.RemoteProtocolError:
        assert not decoder.is_ended
        return
    assert (body, decoder.is_ended) == expected


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n",
        b"-1\r\n",
        b"0x2\r\nab",
        b"2\r\nabc\r\n",
        b"1" * 400,
        b"g\r\n",
        b"2 ;x\r\nab\r\n",
    ],
)
def test_malformed_framing_raises(data):
    with pytest.raises(ChunkedBodyError):
        ChunkedDecoder().feed(data)


def test_truncated_body_is_not_ended():
    decoder = ChunkedDecoder()
    assert decoder.feed(b"5\r\nab") == b"ab"
    assert not decoder.is_ended
