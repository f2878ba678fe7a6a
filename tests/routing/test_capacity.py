import pytest

from heathershunt.routing import RunnerLoadReport, pipeline_capacity
from tests.routing.test_router import view

FAST = RunnerLoadReport(batch_limit=10, step_ms=10.0)
SLOW = RunnerLoadReport(batch_limit=10, step_ms=40.0)


@pytest.mark.parametrize(
    ("views", "tokens_per_second", "runs"),
    [
        ([], 0, 0),
        ([view("a", 0, 2, load=FAST)], 0, 0),
        ([view("a", 0, 2, load=FAST), view("b", 2, 4, load=SLOW)], 250, 18.75),
        ([view("a", 0, 4, load=FAST), view("b", 0, 4, load=SLOW)], 1250, 30),
        (
            [
                view("a", 0, 2, load=FAST),
                view("b", 2, 4, load=SLOW),
                view("c", 0, 4, load=SLOW),
                view("gone", 2, 4, load=FAST, leaving=True),
            ],
            500,
            33.75,
        ),
    ],
)
def test_slowest_layers_limit_the_capacity(views, tokens_per_second, runs):
    """Guards against admitting runs for runners that the slowest stage leaves idle."""
    capacity = pipeline_capacity(views, 4, hop_ms=0.0)
    assert capacity.tokens_per_second == pytest.approx(tokens_per_second)
    assert capacity.runs == pytest.approx(runs)


def test_flow_is_rerouted_over_crossing_ranges():
    """Guards against a first augmenting path that blocks a larger flow."""
    ranges = [(0, 1), (0, 2), (1, 2), (1, 4), (2, 4)]
    views = [view(f"r{a}{b}", a, b, load=FAST) for a, b in ranges]
    capacity = pipeline_capacity(views, 4, hop_ms=0.0)
    assert capacity.tokens_per_second == pytest.approx(2000)
