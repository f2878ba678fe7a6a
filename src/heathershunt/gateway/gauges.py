"""Gauges of a gateway, read whenever its metrics are fetched."""

from collections.abc import Callable, Mapping

from heathershunt.gateway.metrics import GatewayMetrics
from heathershunt.gateway.state import SiteState
from heathershunt.pipelines import ChainChooser, LoadLedger
from heathershunt.relay import RetryBudget


def add_gauges(
    metrics: GatewayMetrics,
    state: SiteState,
    view_age_ms: Callable[[], int | None],
    running: Callable[[], int],
    is_leader: Callable[[], bool],
    blocked_parts: Callable[[], int],
    limited_targets: Callable[[], int],
    leaving_targets: Callable[[], int],
    paused_targets: Callable[[], int],
    is_cut_off: Callable[[], bool],
    waiting_by_rank: Callable[[], Mapping[int, int]],
    retries: RetryBudget,
) -> None:
    """Add the gauges of one gateway to its metrics.

    :param view_age_ms: returns the age of the view of the store, if there is one.
    :param running: returns the number of requests being served.
    :param is_leader: returns whether this VM orders placements.
    :param blocked_parts: returns the number of blocked parts, by client account.
    :param limited_targets: returns the number of targets that name a limit.
    :param leaving_targets: returns the number of targets that leave by their answers.
    :param paused_targets: returns the number of targets that asked for a pause.
    :param is_cut_off: returns whether this VM reaches no target.
    :param waiting_by_rank: returns the number of streams that wait in line, by
        priority.
    :param retries: retry budget of this VM.
    """
    metrics.add_gauge_by(
        "waiting_streams",
        "streams that wait in line for capacity, by priority",
        "rank",
        waiting_by_rank,
    )
    for name, doc, read in (
        ("view_age_ms", "age of the view of the store", view_age_ms),
        ("members", "VMs that take callers", lambda: len(state.members)),
        ("targets", "listed targets", lambda: len(state.registry)),
        ("running", "requests being served", running),
        (
            "configuration_version",
            "configuration in force",
            lambda: state.catalog.version if state.catalog else None,
        ),
        (
            "is_leader",
            "whether this VM orders placements",
            lambda: int(is_leader()),
        ),
        (
            "blocked_parts",
            "parts of prompts that are refused as they crash runners",
            blocked_parts,
        ),
        (
            "limited_targets",
            "targets that name a limit on the requests a second",
            limited_targets,
        ),
        (
            "leaving_targets",
            "targets that leave by their answers",
            leaving_targets,
        ),
        (
            "paused_targets",
            "targets that asked this VM for a pause that is not over",
            paused_targets,
        ),
        (
            "is_cut_off",
            "whether this VM reaches no target and forwards requests",
            lambda: int(is_cut_off()),
        ),
        (
            "retries_left",
            "retries that this VM has left, of the service with the fewest",
            retries.own_left,
        ),
        (
            "pool_retries_left",
            "retries left to grant, if this VM is a coordinator",
            retries.pool_left,
        ),
        (
            "waiting_for_retries",
            "requests that wait for a retry",
            lambda: len(retries.pool.queue),
        ),
    ):
        metrics.add_gauge(name, doc, read)


def add_load_gauges(
    metrics: GatewayMetrics, ledger: LoadLedger, chooser: ChainChooser
) -> None:
    """Add the gauges that show how evenly the runners are used.

    :param ledger: load of all VMs on each runner, and recent rejections.
    :param chooser: has the use of the runners as of its last choice.
    """
    maker = chooser.candidate_maker
    for name, doc, read in (
        (
            "mean_runner_use",
            "part of all KV caches in use, as of the last choice of a chain",
            lambda: maker.mean_use,
        ),
        (
            "largest_runner_use",
            "part of the KV cache in use at the fullest runner, likewise",
            lambda: maker.largest_use,
        ),
        (
            "full_runners",
            "runners that rejected a request as full and count as such",
            lambda: len(ledger.rejections),
        ),
        (
            "load_age_ms",
            "mean age of the load of the other VMs, if it is used",
            lambda: ledger.report_age_ms,
        ),
    ):
        metrics.add_gauge(name, doc, read)
