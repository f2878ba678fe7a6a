"""The chain of stages that a draft runs over."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from heathershunt.http import Address
from heathershunt.runners import RunnerBoard, RunnerState


@dataclass(frozen=True)
class Stage:
    """One runner with the layers ``[first_layer, end_layer)`` that it holds."""

    runner: str
    address: Address
    fabric: str
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class Chain:
    """Stages that cover all layers of one model version, in order."""

    model: str
    version: str
    adapter: str
    stages: tuple[Stage, ...]


DRAFTING_ROLE = "drafting"


def choose_chain(
    board: RunnerBoard,
    model: str,
    version: str,
    adapter: str,
    layers: int,
    exclude: Collection[str] = (),
    keep: Collection[str] = (),
) -> Result[Chain, str]:
    """Return the chain with the fewest drafts in flight at each boundary."""
    stages = []
    layer = 0
    while layer < layers:
        candidates = [
            state
            for runner, state in board.states_by_runner.items()
            if runner not in exclude
            and state.report.first_layer == layer
            and state.report.end_layer <= layers
            and _serves(state, model, version, adapter)
        ]
        if not candidates:
            return Err(f"no runner holds {model} {version} from layer {layer} on")
        state = min(candidates, key=lambda s: _cost(s, board.inflight_by_runner, keep))
        report = state.report
        stages.append(
            Stage(
                report.runner,
                state.address,
                report.fabric,
                report.first_layer,
                report.end_layer,
            )
        )
        layer = report.end_layer
    return Ok(Chain(model, version, adapter, tuple(stages)))


def _serves(state: RunnerState, model: str, version: str, adapter: str) -> bool:
    report = state.report
    return (
        (report.model, report.version) == (model, version)
        and not report.leaving
        and report.role == DRAFTING_ROLE
        and (not adapter or adapter in report.adapters)
    )


def _cost(
    state: RunnerState, inflight: Mapping[str, int], keep: Collection[str]
) -> tuple[bool, float]:
    report = state.report
    work = inflight.get(report.runner, 0) + report.load.running
    return report.runner not in keep, work / report.load.batch_limit
