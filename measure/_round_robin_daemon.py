"""Daemon of the throughput baseline: chains by round robin, no admission."""

import itertools

from result import Err, Ok

from heathershunt.daemon import main as daemon_main
from heathershunt.drafts import execution
from heathershunt.drafts.chain import Chain, Stage

_turns = itertools.count()


def choose_in_turn(board, model, version, adapter, layers, exclude=(), keep=()):
    """Return the next runner in turn at each boundary, whatever its load."""
    stages = []
    layer, turn = 0, next(_turns)
    while layer < layers:
        states = [
            state
            for runner, state in sorted(board.states_by_runner.items())
            if runner not in exclude
            and state.report.first_layer == layer
            and (state.report.model, state.report.version) == (model, version)
            and not state.report.leaving
        ]
        if not states:
            return Err(f"no runner holds {model} {version} from layer {layer} on")
        state = states[turn % len(states)]
        report = state.report
        stages.append(
            Stage(report.runner, state.address, report.fabric, layer, report.end_layer)
        )
        layer = report.end_layer
    return Ok(Chain(model, version, adapter, tuple(stages)))


if __name__ == "__main__":
    execution.choose_chain = choose_in_turn
    daemon_main.main()
