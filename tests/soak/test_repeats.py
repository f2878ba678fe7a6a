"""The check of the retry budget in a soak."""

from soak.repeats import find_excess


def arrivals(count, repeats, start=100.0, gap_s=0.01):
    """Return requests, each followed by repeats of itself."""
    return [
        (start + number * gap_s, f"r{number}-{start}")
        for number in range(count)
        for _ in range(1 + repeats)
    ]


def test_first_arrivals_are_no_repeats():
    assert find_excess(arrivals(50, 0), 0.2, 0, 10) is None


def test_repeats_beyond_the_ratio_and_the_slack_are_found():
    assert find_excess(arrivals(10, 1), 0.2, 8, 10) is None
    assert find_excess(arrivals(10, 1), 0.2, 7, 10) is not None


def test_repeats_of_two_windows_do_not_add_up():
    items = arrivals(10, 1) + arrivals(10, 1, start=111.0)
    assert find_excess(items, 0.2, 8, 10) is None


def test_requests_of_the_window_before_count():
    items = arrivals(50, 0) + arrivals(1, 10, start=111.0)
    assert find_excess(items, 0.2, 0, 10) is None
