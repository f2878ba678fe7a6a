import pytest

from heathershunt.daemon.status import covers


@pytest.mark.parametrize(
    "ranges, complete",
    [
        ([(0, 4), (4, 8)], True),
        ([(0, 3), (0, 4), (3, 5), (5, 8)], True),
        ([(0, 4), (5, 8)], False),
        ([(0, 5), (4, 8)], False),
        ([(4, 8)], False),
        ([], False),
    ],
)
def test_pipeline_is_complete_only_without_gap_or_overlap(ranges, complete):
    """A model must not be shown as complete while no chain of runners can serve it."""
    assert covers(ranges, 8) is complete
