"""Chains of the baselines: at each layer, the runner with the fewest own runs."""

from collections import Counter
from collections.abc import Collection

from heathershunt.routing import Chain, RunnerView, Stage
from heathershunt.runners import RunnerRegistry


def stage_from_view(view: RunnerView) -> Stage:
    """Return the stage that a runner serves with all layers it holds."""
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
    """Return the chain of the runners with the fewest runs in flight from here.

    :param inflight_by_runner: runs of this router that each runner has.
    :param exclude: runners to leave out.
    :raises ValueError: no runner that is left starts at a layer that the chain needs.
    """
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
        stages.append(stage_from_view(view))
        layer = view.end_layer
    return Chain(0, model, version, None, tuple(stages))
