"""Daemon of the throughput baseline: round-robin chains and no admission control."""

import itertools

from result import Err, Ok

from heathershunt.daemon import main as daemon_main
from heathershunt.drafts import AdmissionGate
from heathershunt.routing import Chain, NoChain, Router
from measure._simple_chain import stage_from_view

_turns = itertools.count()


def choose_round_robin(
    self, model, version, adapter, layers, views_by_runner, now, exclude=(), *_, **__
):
    """Choose the runner of each stage by round robin, whatever its load.

    Replaces ``Router.choose_chain``.
    """
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
        stages.append(stage_from_view(view))
        layer = view.end_layer
    return Ok(Chain(0, model, version, adapter, tuple(stages)))


async def admit_immediately(self, ticket, model, account):
    """Admit every draft without waiting; replaces ``AdmissionGate.admit``."""
    return Ok(ticket)


def ignore_release(self, ticket, model, *, is_complete):
    """Do nothing, as no drafts are counted; replaces ``AdmissionGate.release``."""


if __name__ == "__main__":
    Router.choose_chain = choose_round_robin
    AdmissionGate.admit = admit_immediately
    AdmissionGate.release = ignore_release
    daemon_main.main()
