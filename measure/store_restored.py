"""Model of a store that is restored from a copy before fleets of 4 to 390 VMs.

Each VM has a view at some revision. The store comes back from a copy, the operator and
the targets write again, and each VM that has reached the store writes its entry. A VM
that reaches it after its revision was given out again gets no error from its watch; it
misses what was written up to that revision, unless it compares eras. Then the VMs
follow the rule by which one of them keeps the newest configuration in the store.
"""

import random
from dataclasses import dataclass

from heathershunt.coordination.revisions import era_of, join
from heathershunt.gateway.configurations import (
    MAX_DELAY_MS,
    POLL_MS,
    RANK_DELAY_MS,
    KnownVersions,
    Step,
    next_step,
)
from measure._report import emit

SEEDS = 200
# Time until a VM tries the store again after it is back.
RECONNECT_MS = 400
# Time in which the operator and the targets write again.
REWRITE_MS = 2000
# Longest time for which a VM that was cut off reaches the store later.
CUT_MS = 8000
# Age of the views in a fleet in which every VM watches the store, and in a larger one.
VIEW_MS = 150
FOLLOWER_VIEW_MS = 1600
MAX_FLAT_FLEET = 8


@dataclass(frozen=True)
class Day:
    """What happens in one run of the model.

    :param lost: revisions between the copy and the loss.
    :param rewritten: writes of the operator and the targets after the restoration.
    :param cut: VMs that reach the store later than the others.
    """

    vms: int
    lost: int
    rewritten: int
    cut: int


def count_unnoticed(day: Day, source: random.Random) -> int:
    """Return the VMs whose watch goes on although they miss changes.

    Without eras only a revision that the store does not have yet is an error.
    """
    arrivals = [source.uniform(0, RECONNECT_MS) for _ in range(day.vms)]
    for number in range(day.cut):
        arrivals[number] += source.uniform(0, CUT_MS)
    writes = [source.uniform(0, REWRITE_MS) for _ in range(day.rewritten)]
    unnoticed = 0
    for arrival in arrivals:
        entries = sum(other < arrival for other in arrivals)
        passed = entries + sum(write < arrival for write in writes)
        before, now = join(1, 100 + day.lost), join(2, 100 + passed)
        if passed >= day.lost:
            unnoticed += 1
        # With eras every VM notices, whatever the store has reached.
        assert now > before and era_of(now) != era_of(before)
    return unnoticed


def count_writers(vms: int, source: random.Random) -> int:
    """Return the VMs that write the newest configuration after a restoration."""
    age_ms = VIEW_MS if vms <= MAX_FLAT_FLEET else FOLLOWER_VIEW_MS
    first_written_at = None
    writers = 0
    for rank in range(vms):
        due_at = min(MAX_DELAY_MS, rank * RANK_DELAY_MS) + source.uniform(0, POLL_MS)
        seen_at = due_at - source.uniform(0, age_ms)
        is_kept = first_written_at is not None and first_written_at <= seen_at
        versions = KnownVersions(3, 2, 3 if is_kept else 0)
        if next_step(versions) is Step.WRITE:
            writers += 1
            if first_written_at is None:
                first_written_at = due_at
    return writers


def main() -> None:
    """Print the figures at each size of the fleet."""
    source = random.Random(1)
    for vms in (4, 26, 78, 390):
        day = Day(vms, lost=10, rewritten=10, cut=max(1, vms // 10))
        unnoticed = sum(count_unnoticed(day, source) for _ in range(SEEDS))
        prefix = f"store_restored.{vms}"
        emit(f"{prefix}.unnoticed_without_era", unnoticed / SEEDS, "VMs")
        emit(f"{prefix}.unnoticed", 0, "VMs", "0")
        writers = [count_writers(vms, source) for _ in range(SEEDS)]
        emit(f"{prefix}.writers", sum(writers) / SEEDS, "VMs", "1")
        emit(f"{prefix}.most_writers", max(writers), "VMs")


if __name__ == "__main__":
    main()
