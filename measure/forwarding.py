"""Model of VMs that lost their links to all targets: who serves their callers.

Each VM that is cut off asks other VMs with its own chooser; a VM that is cut off too
declines. The figures are the share of first attempts at VMs that are cut off that are
served (0 without forwarding), the requests of the busiest VM over the mean of all VMs
(1 before the cut), the same for the average VM with links, and the VMs asked for one
request.
"""

import heapq
import random
from collections import Counter

from heathershunt.clock import ManualClock
from heathershunt.discovery import Member
from heathershunt.forwarding import HopChooser
from heathershunt.forwarding.race import MAX_VMS
from heathershunt.http import Address
from measure._report import emit

SIZES = (4, 33, 78, 390)
DOMAINS = ("a", "b", "c")
SHARES = (0.25, 0.6)
STEP_MS = 20
CUT_MS = 10_000
# Requests a second at each VM, and the time for which each of them runs.
RATE_PER_S = 15
RUN_MS = 600
SEED = 1
PEERS = Address("10.0.0.1", 1)


class Fleet:
    """VMs of which some are cut off from the targets.

    :param cut: numbers of the VMs that are cut off.
    :ivar served: requests at these VMs that another VM served.
    :ivar requests: requests at these VMs.
    :ivar asked: VMs that were asked for them.
    :ivar load_by_vm: requests that each VM sent to targets.
    """

    def __init__(self, vms: int, cut: set[int], rng: random.Random) -> None:
        self._clock = ManualClock()
        self._members = [
            Member(str(number), "", DOMAINS[number % len(DOMAINS)], PEERS)
            for number in range(vms)
        ]
        self._cut = {str(number) for number in cut}
        self._rng = rng
        self._chooser_by_vm = {
            member.vm: HopChooser(
                self._clock, member.vm, member.domain, lambda: self._members, rng
            )
            for member in self._members
            if member.vm in self._cut
        }
        self._ends: list[tuple[int, str, str]] = []
        self.served = self.requests = self.asked = 0
        self.load_by_vm: Counter[str] = Counter()

    def run(self) -> None:
        """Serve callers for the time of the cut."""
        chance = RATE_PER_S * STEP_MS / 1000
        for _ in range(CUT_MS // STEP_MS):
            self._clock.advance(STEP_MS)
            self._end_requests()
            for member in self._members:
                if self._rng.random() < chance:
                    self._serve(member)

    def _end_requests(self) -> None:
        while self._ends and self._ends[0][0] <= self._clock.now():
            _, vm, through = heapq.heappop(self._ends)
            self._chooser_by_vm[vm].end(through)

    def _serve(self, member: Member) -> None:
        chooser = self._chooser_by_vm.get(member.vm)
        if chooser is None:
            self.load_by_vm[member.vm] += 1
            return
        self.requests += 1
        through = self._ask(chooser)
        if through is not None:
            self.served += 1
            self.load_by_vm[through] += 1
            chooser.start(through)
            end = self._clock.now() + RUN_MS
            heapq.heappush(self._ends, (end, member.vm, through))

    def _ask(self, chooser: HopChooser) -> str | None:
        """Return the VM that takes a request; ``None`` if none does."""
        asked: list[str] = []
        while len(asked) < MAX_VMS:
            other = chooser.choose(asked)
            if other is None:
                return None
            self.asked += 1
            if other.vm not in self._cut:
                chooser.record_taken(other.vm)
                return other.vm
            asked.append(other.vm)
            chooser.leave_out(other.vm)
        return None


def main() -> None:
    """Print the figures."""
    for vms in SIZES:
        rng = random.Random(SEED)
        cuts = {
            f"share_{share:g}": set(rng.sample(range(vms), round(vms * share)))
            for share in SHARES
        }
        cuts["domain"] = set(range(0, vms, len(DOMAINS)))
        for name, cut in cuts.items():
            fleet = Fleet(vms, cut, rng)
            fleet.run()
            mean = RATE_PER_S * CUT_MS / 1000
            base = f"forwarding.{vms}_vms.{name}"
            served = fleet.served / fleet.requests
            emit(f"{base}.served_before", 0.0, "of attempts")
            emit(f"{base}.served", served, "of attempts", "0.667 or more")
            busiest = max(fleet.load_by_vm.values()) / mean
            emit(f"{base}.busiest", busiest, "of the mean load")
            average = fleet.load_by_vm.total() / (vms - len(cut)) / mean
            emit(f"{base}.average", average, "of the mean load")
            emit(f"{base}.asked", fleet.asked / fleet.requests, "VMs a request")


if __name__ == "__main__":
    main()
