import pytest

from heathershunt.ratelimits import decode_limit


@pytest.mark.parametrize("text, per_s", [("4.7", 4.7), ("0", 0.0), (" 12 ", 12.0)])
def test_limit_is_a_decimal_number(text, per_s):
    assert decode_limit({"rate-limit": text}, "rate-limit") == per_s


# Guards against a target that stops all requests, or removes its limit, by a bad value.
@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf", "1,2"])
def test_malformed_limit_counts_as_none(text):
    assert decode_limit({"rate-limit": text}, "rate-limit") is None


def test_answer_without_the_field_names_no_limit():
    assert decode_limit({}, "rate-limit") is None
