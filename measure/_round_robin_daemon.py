"""Daemon of the throughput baseline: chains by round robin, no admission."""

import itertools

from result import Err, Ok

from heathershunt.daemon import main as daemon_main
from heathershunt.drafts import AdmissionGate
from heathershunt.routing import Chain, NoChain, Router
from measure._simple_chain import stage_of

_turns = itertools.count()


def choose_in_turn(
    self, model, version, adapter, layers, views_by_runner, now, exclude=(), *_, **__
):
    """Return the next runner in turn at each boundary, whatever its load."""
    stages = []
    layer, turn = 0, next(_turns)
    while layer < layers:
        views = [
            view
            for runner, view in sorted(views_by_runner.items())
            if runner not in exclude
            and view.first_layer == layer
            and (view.model, view.version) == (model, version)
            and not view.leaving
        ]
        if not views:
            return Err(NoChain(model, version, layer, "no runner in turn"))
        view = views[turn % len(views)]
        stages.append(stage_of(view))
        layer = view.end_layer
    return Ok(Chain(0, model, version, adapter, tuple(stages)))


async def admit_at_once(self, ticket, model, account):
    """Let every draft through."""
    return Ok(ticket)


def ignore_release(self, ticket, model, *, is_complete):
    """Keep no count of running drafts."""


if __name__ == "__main__":
    Router.choose_chain = choose_in_turn
    AdmissionGate.admit = admit_at_once
    AdmissionGate.release = ignore_release
    daemon_main.main()
