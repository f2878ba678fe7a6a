import pytest

from soak.seeds import CAUSE_BY_SEED, DEFAULT_SECONDS, chosen


def test_range_of_seeds_with_its_seconds():
    assert chosen(["3", "5", "2.5"]) == ([3, 4, 5], 2.5)
    assert chosen(["7"]) == ([7], DEFAULT_SECONDS)


def test_seeds_that_failed_once_are_run_again():
    assert chosen(["regressions"]) == (list(CAUSE_BY_SEED), DEFAULT_SECONDS)
    assert all(CAUSE_BY_SEED.values())


def test_fresh_seeds_differ():
    seeds, seconds = chosen(["fresh", "20", "4"])
    assert len(set(seeds)) == 20
    assert seconds == 4


@pytest.mark.parametrize("arguments", [["x"], ["1", "y"], ["fresh", "many"]])
def test_other_words_are_refused(arguments):
    with pytest.raises(ValueError, match="invalid literal"):
        chosen(arguments)
