"""Chain choice of the baselines: the least loaded runner at each boundary."""

from collections import Counter
from collections.abc import Collection

from heathershunt.routing import Chain, RunnerView, Stage
from heathershunt.runners import RunnerRegistry


def stage_of(view: RunnerView) -> Stage:
    """Return the stage that a runner makes."""
    return Stage(
        view.runner, view.address, view.fabric, view.first_layer, view.end_layer
    )


def choose_chain(
    registry: RunnerRegistry,
    inflight_by_runner: Counter[str],
    model: str,
    version: str,
    layers: int,
    exclude: Collection[str] = (),
) -> Chain:
    """Return a chain over equal layer cuts; fails if there is none."""
    stages = []
    layer = 0
    while layer < layers:
        views = [
            view
            for view in registry.views_by_runner.values()
            if view.first_layer == layer
            and (view.model, view.version) == (model, version)
            and view.runner not in exclude
        ]
        view = min(views, key=lambda v: inflight_by_runner[v.runner])
        stages.append(stage_of(view))
        layer = view.end_layer
    return Chain(0, model, version, None, tuple(stages))
