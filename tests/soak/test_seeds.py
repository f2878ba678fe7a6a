import pytest

from soak.seeds import CAUSE_BY_SEED, DEFAULT_SECONDS, parse_arguments


def test_range_of_seeds_and_duration():
    assert parse_arguments(["3", "5", "2.5"]) == ([3, 4, 5], 2.5)
    assert parse_arguments(["7"]) == ([7], DEFAULT_SECONDS)


def test_regressions_are_the_seeds_that_failed():
    assert parse_arguments(["regressions"]) == (list(CAUSE_BY_SEED), DEFAULT_SECONDS)
    assert all(CAUSE_BY_SEED.values())


def test_fresh_seeds_differ():
    seeds, seconds = parse_arguments(["fresh", "20", "4"])
    assert len(set(seeds)) == 20
    assert seconds == 4


@pytest.mark.parametrize("arguments", [["x"], ["1", "y"], ["fresh", "many"]])
def test_malformed_numbers_are_rejected(arguments):
    with pytest.raises(ValueError, match="invalid literal"):
        parse_arguments(arguments)
