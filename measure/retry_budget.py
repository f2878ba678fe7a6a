"""Model of the retry budget: the largest sum in a window, and requests that are denied.

``before`` divides the slack by head count in fleets of all sizes, ``after`` divides it
by need from 9 VMs on. A sum above 1 means that targets get more retries than allowed.
"""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.retrybudget.ledger import MAX_RETRIES_PER_GRANT
from heathershunt.retrybudget.pacing import RecentNeeds
from measure._report import emit
from measure._retry_fleet import SERVICE, Fleet, Process

SIZES = (4, 33, 78, 390)
# Time from the start of the fleet until its processes have their whole shares.
QUIET_MS = 35_000
DAY_MS = 25_000
SEEDS = 1
REQUESTS_PER_S = 40.0
# Time from a restart of all VMs until streams are rejected.
RESTART_MS = 1500
# With so many, requests earn more than the slack.
MANY_REQUESTS_PER_S = 550.0
# Time for which a rejected stream waits for a retry, as on a route with a target
# latency of 500 ms.
STREAM_WAIT_MS = 400


def greedy(fleet: Fleet) -> Callable[[Process], None]:
    """Return what VMs do that retry as often as they can."""

    def act(process: Process) -> None:
        while True:
            while fleet.take(process):
                pass
            before = process.held.count(SERVICE, True)
            fleet.ask(process)
            if process.held.count(SERVICE, True) == before:
                return

    return act


def rest(process: Process) -> None:
    """Do nothing, as VMs whose requests are not rejected."""


def calm(fleet: Fleet) -> None:
    """Let nothing happen."""


def one_by_one(fleet: Fleet) -> None:
    """Restart the VMs one after the other, all of them in about 8 s."""
    gap_ms = max(20, 8000 // len(fleet.names))
    for number, name in enumerate(fleet.names):
        fleet.after(number * gap_ms, lambda name=name: fleet.restart(name))


def all_at_once(fleet: Fleet, is_planned: bool = False) -> None:
    """Restart all VMs at once."""
    for name in fleet.names:
        fleet.restart(name, is_planned)


def planned_at_once(fleet: Fleet) -> None:
    """Stop and start all VMs at once, so that no entry is left."""
    all_at_once(fleet, is_planned=True)


def often(fleet: Fleet) -> None:
    """Restart all VMs every 4 s."""
    for number in range(5):
        fleet.after(number * 4000, lambda: all_at_once(fleet))


def planned_often(fleet: Fleet) -> None:
    """Stop and start all VMs every 4 s."""
    for number in range(5):
        fleet.after(number * 4000, lambda: planned_at_once(fleet))


def frozen_vms(fleet: Fleet) -> None:
    """Freeze VMs for 0.5 s to 5 s."""
    for number in range(20):
        frozen_ms = fleet.random.randrange(500, 5000)
        name = fleet.random.choice(fleet.names)
        fleet.after(
            number * 500, lambda name=name, ms=frozen_ms: fleet.freeze(name, ms)
        )


def frozen_coordinator(fleet: Fleet) -> None:
    """Freeze the first VM for 4 s; its entry is gone after 2.5 s."""
    first = fleet.names[0]
    fleet.after(1, lambda: fleet.freeze(first, 4000))
    fleet.after(2500, lambda: fleet.set_listed(first, False))
    fleet.after(4500, lambda: fleet.set_listed(first, True))


def two_coordinators(fleet: Fleet) -> None:
    """Let half of the VMs not see the first one for 2 s, again and again."""
    first, *others = fleet.names
    for number in range(4):
        fleet.after(number * 3000, lambda: fleet.hide(first, others[::2], 2000))


def lost_answers(fleet: Fleet) -> None:
    """Lose three of ten answers."""
    fleet.loses_answer = lambda: fleet.random.random() < 0.3


def cut(fleet: Fleet) -> None:
    """Cut the VMs off from each other for 6 s."""

    def set_cut(is_cut: bool) -> None:
        fleet.is_cut = is_cut

    set_cut(True)
    fleet.after(6000, lambda: set_cut(False))


CASES: dict[str, Callable[[Fleet], None]] = {
    "calm": calm,
    "one_by_one": one_by_one,
    "all_at_once": all_at_once,
    "planned_at_once": planned_at_once,
    "all_at_once_often": often,
    "planned_at_once_often": planned_often,
    "frozen_vms": frozen_vms,
    "frozen_coordinator": frozen_coordinator,
    "two_coordinators": two_coordinators,
    "lost_answers": lost_answers,
    "cut": cut,
}


def largest_sum(
    vms: int,
    case: str,
    seed: int,
    is_divided: bool = True,
    requests_per_s: float = REQUESTS_PER_S,
) -> float:
    """Return the largest sum of retries in a window over what the bound allows.

    The VMs use all that they have in one moment, right before the case begins.
    """
    fleet = Fleet(vms, seed, is_divided, requests_per_s)
    fleet.run(QUIET_MS, rest)
    act = greedy(fleet)
    # A coordinator grants each VM some retries at a time.
    fleet.run(1000, act)
    CASES[case](fleet)
    fleet.run(DAY_MS, act)
    return fleet.worst


@dataclass(frozen=True)
class Burst:
    """Rejections of streams at a few VMs.

    :param busy: VMs whose streams are rejected.
    :param rejected: streams of each of them that are rejected within a second.
    :param restarts: whether all VMs restart right before.
    """

    vms: int
    busy: int
    rejected: int
    restarts: bool = False
    requests_per_s: float = 50.0


@dataclass
class Need:
    """Outcome of a burst.

    :ivar denied: streams that found no retry.
    :ivar denied_with_rest: those of them that were denied while the budget of the fleet
        had a retry left.
    """

    wanted: int = 0
    denied: int = 0
    denied_with_rest: int = 0


def need(burst: Burst, seed: int, is_divided: bool = True) -> Need:
    """Return how many rejected streams find no retry."""
    fleet = Fleet(burst.vms, seed, is_divided, burst.requests_per_s)
    fleet.run(QUIET_MS, rest)
    if burst.restarts:
        all_at_once(fleet)
        fleet.run(RESTART_MS, rest)
    tally = Need()
    needs_by_name = {name: RecentNeeds(fleet.clock) for name in fleet.names}
    busy = fleet.random.sample(fleet.names, burst.busy)
    waiting: dict[str, list[int]] = {name: [] for name in busy}
    started = fleet.clock.now()
    times = {
        name: sorted(fleet.random.randrange(1000) for _ in range(burst.rejected))
        for name in busy
    }

    def act(process: Process) -> None:
        queue = waiting.get(process.name)
        if queue is None:
            return
        needs = needs_by_name[process.name]
        now = fleet.clock.now()
        due = times[process.name]
        while due and started + due[0] <= now:
            tally.wanted += 1
            at = started + due.pop(0)
            if not fleet.take(process, has_begun=False):
                queue.append(at)
                needs.record(SERVICE, False)

        def serve() -> None:
            while queue and fleet.take(process, has_begun=False):
                queue.pop(0)

        serve()
        if queue:
            wanted = len(queue) + needs.count(SERVICE, False)
            wanted = min(wanted, MAX_RETRIES_PER_GRANT)
            fleet.ask(process, wanted, has_begun=False, on_answer=serve)
        limit_ms = STREAM_WAIT_MS if is_divided else 0
        while queue and queue[0] + limit_ms <= fleet.clock.now():
            queue.pop(0)
            tally.denied += 1
            tally.denied_with_rest += fleet.has_left()

    fleet.run(3000, act)
    return tally


BURSTS = {
    "few": Burst(4, 2, 30),
    "few_busy": Burst(33, 4, 20),
    "two_busy": Burst(71, 3, 20),
    # As on the day on which 168 of 551 sends were rejected after a restart of all VMs.
    "restarted": Burst(71, 56, 3, restarts=True, requests_per_s=551.0),
    "many": Burst(78, 6, 20),
    "large": Burst(390, 20, 10),
}


def main() -> None:
    """Print the figures."""
    for vms in SIZES:
        for case in CASES:
            for name, is_divided in (("before", False), ("after", True)):
                worst = max(
                    largest_sum(vms, case, seed, is_divided) for seed in range(SEEDS)
                )
                figure = f"retry_budget.{vms}_vms.{case}.{name}"
                emit(figure, worst, "of the bound", "1")
    for case, burst in BURSTS.items():
        for name, is_divided in (("before", False), ("after", True)):
            tallies = [need(burst, seed, is_divided) for seed in range(SEEDS)]
            prefix = f"retry_budget.{burst.vms}_vms.burst_{case}.{name}"
            emit(f"{prefix}.wanted", sum(item.wanted for item in tallies), "retries")
            emit(f"{prefix}.denied", sum(item.denied for item in tallies), "retries")
            rest_count = sum(item.denied_with_rest for item in tallies)
            emit(f"{prefix}.denied_with_rest", rest_count, "retries")


if __name__ == "__main__":
    main()
