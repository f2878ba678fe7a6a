import pytest

from measure.__main__ import parse_figure
from standins.latencies import Latencies


def test_figure_line_is_parsed():
    figure = parse_figure("a.p50\t1.5\tms\tfloor 1 ms")
    assert figure == {
        "name": "a.p50",
        "value": 1.5,
        "unit": "ms",
        "bound": "floor 1 ms",
    }


@pytest.mark.parametrize("line", ["", "a log line", "a\tb\tc\td", "a\t1\tms"])
def test_other_lines_are_not_figures(line):
    assert parse_figure(line) is None


def test_latencies_of_several_processes_add_up():
    """Merged histograms keep all counts; a lost count makes every percentile wrong."""
    one, other = Latencies(), Latencies()
    for value in range(1, 51):
        one.add(value)
        other.add(value + 50)
    one.add_encoded(other.encode())
    assert one.count == 100
    assert one.centile(50) == pytest.approx(50, rel=0.01)
    assert one.centile(100) == pytest.approx(100, rel=0.01)


def test_latency_beyond_the_range_still_counts():
    latencies = Latencies()
    latencies.add(10**9)
    assert latencies.count == 1
