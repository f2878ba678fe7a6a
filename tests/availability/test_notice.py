"""What the header fields of an answer say of the target's availability."""

import pytest

from heathershunt.availability import Notice, NoticeFields, decode_notice

NAMES = NoticeFields("server-leaving", "retry-after", "instance-id")


def decode(status, *fields):
    return decode_notice(status, fields, NAMES)


@pytest.mark.parametrize("status", [200, 204, 400, 404, 429, 500, 502, 503, 504])
def test_leaving_is_read_with_every_status(status):
    assert decode(status, ("server-leaving", "1")).is_leaving


# Guards against a word of another process than the one that was asked for.
def test_answer_of_another_process_says_nothing():
    assert decode(421, ("server-leaving", "1"), ("retry-after", "3")) == Notice()


@pytest.mark.parametrize(
    ("text", "pause_ms"),
    [
        ("2", 2000),
        ("0.5", 500),
        (" 20 ", 20_000),
        ("1.2345", 1234),
        ("0", 0),
        ("7.", 7000),
        ("600", 600_000),
    ],
)
def test_pause_is_a_number_of_seconds(text, pause_ms):
    notice = decode(503, ("retry-after", text))
    assert (notice.pause_ms, notice.malformed) == (pause_ms, ())


# Guards against a value that is odd and costs more than being ignored.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "+1",
        "1e3",
        "nan",
        "inf",
        "600.1",
        "9" * 5000,
        "1" + "0" * 400,
        "0." + "1" * 400,
        "1,2",
        "0x10",
        "٣",
        "Fri, 31 Dec 2027 23:59:59 GMT",
    ],
)
def test_malformed_pause_is_ignored(text):
    notice = decode(503, ("retry-after", text))
    assert notice.pause_ms == 0
    assert not notice
    assert len(notice.malformed) == 1
    assert len(notice.malformed[0]) < 60


@pytest.mark.parametrize("text", ["0", "", "true", "2", "1, 1", "1" * 5000])
def test_malformed_word_of_leaving_is_ignored(text):
    notice = decode(200, ("server-leaving", text))
    assert not notice.is_leaving
    assert len(notice.malformed) == 1
    assert len(notice.malformed[0]) < 60


# Guards against the one of two values that happens to be kept.
def test_fields_that_conflict_are_ignored():
    notice = decode(
        503,
        ("retry-after", "2"),
        ("server-leaving", "1"),
        ("retry-after", "3"),
        ("server-leaving", "0"),
    )
    assert (notice.is_leaving, notice.pause_ms) == (False, 0)
    assert len(notice.malformed) == 2


def test_fields_that_are_doubled_are_read_once():
    double = (("retry-after", "2"), ("server-leaving", "1")) * 2
    assert decode(503, *double) == Notice(True, 2000)


@pytest.mark.parametrize("status", [200, 301, 408, 429, 500, 502])
def test_pause_is_read_with_status_503_only(status):
    assert decode(status, ("retry-after", "2")) == Notice()


def test_process_is_named():
    assert decode(200, ("instance-id", "i-1")).process_id == "i-1"
