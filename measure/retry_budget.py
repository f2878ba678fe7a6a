"""Model of the retry budget while VMs stop and start: repeats of all VMs together.

Each VM repeats whenever its budget allows, and knows the others after a delay: one that
starts lists itself first. The figure is the largest sum of repeats in a window over
what the bound allows for it; above 1, targets get more repeats than allowed.
"""

import random
from collections import deque
from dataclasses import dataclass

from heathershunt.clock import ManualClock
from heathershunt.relay import WindowBudget, WindowBudgetConfig
from measure._report import emit

STEP_MS = 100
WINDOW_MS = 10_000
DAY_MS = 45_000
# Time from the start of a VM until it and the others list each other.
LISTED_MS = 1000
DOWN_MS = 700
# Time after the start of the fleet without repeats: it starts before its callers.
QUIET_MS = 2000
RATIO = 0.2
SLACK_BY_VMS = {4: 196, 33: 350, 78: 600, 390: 2000}
REQUESTS_PER_S = 40
SEEDS = 2


@dataclass
class _Vm:
    budget: WindowBudget
    started_at: int
    stopped_until: int = 0

    def is_up(self, now: int) -> bool:
        """Return whether the VM takes requests."""
        return now >= self.stopped_until


class Fleet:
    """VMs that repeat as often as their budgets allow.

    :param gap_ms: time between two restarts; each of them hits ``count`` VMs.
    """

    def __init__(self, vms: int, gap_ms: int, count: int, seed: int) -> None:
        self._clock = ManualClock()
        self._random = random.Random(seed)
        slack = SLACK_BY_VMS[vms]
        self._config = WindowBudgetConfig(WINDOW_MS, RATIO, slack)
        self._gap_ms, self._count = gap_ms, count
        self._vms = [self._start() for _ in range(vms)]
        self._repeats: deque[int] = deque()
        self._requests: deque[int] = deque()
        self.worst = 0.0

    def _start(self) -> _Vm:
        return _Vm(WindowBudget(self._clock, self._config), self._clock.now())

    def run(self) -> float:
        """Return the largest sum of repeats in a window over what is allowed."""
        next_restart = WINDOW_MS * 2
        for _ in range(DAY_MS // STEP_MS):
            self._clock.advance(STEP_MS)
            now = self._clock.now()
            if self._gap_ms and now >= next_restart:
                next_restart += self._gap_ms
                self._restart(now)
            self._serve(now)
            self._judge(now)
        return self.worst

    def _restart(self, now: int) -> None:
        for number in self._random.sample(range(len(self._vms)), self._count):
            self._vms[number] = self._start()
            delay_ms = DOWN_MS + self._random.randrange(LISTED_MS)
            self._vms[number].stopped_until = now + delay_ms
            self._vms[number].started_at = now + delay_ms

    def _serve(self, now: int) -> None:
        up = [vm for vm in self._vms if vm.is_up(now)]
        listed = [
            vm for vm in up if now - vm.started_at >= LISTED_MS or now < DAY_MS // 6
        ]
        for _ in range(REQUESTS_PER_S * STEP_MS // 1000):
            if up:
                self._random.choice(up).budget.record_request("s")
                self._requests.append(now)
        if now < QUIET_MS:
            return
        for vm in up:
            known = len(listed) + (vm not in listed)
            while vm.budget.take("s", known, has_begun=True):
                self._repeats.append(now)

    def _judge(self, now: int) -> None:
        while self._repeats and self._repeats[0] <= now - WINDOW_MS:
            self._repeats.popleft()
        while self._requests and self._requests[0] <= now - WINDOW_MS:
            self._requests.popleft()
        allowed = RATIO * len(self._requests) + self._config.slack
        self.worst = max(self.worst, len(self._repeats) / allowed)


def main() -> None:
    """Print the figures."""
    for vms in SLACK_BY_VMS:
        cases = {
            "calm": (0, 0),
            "one_by_one": (max(100, 4000 // vms), 1),
            "all_at_once": (30_000, vms),
            "all_at_once_often": (4000, vms),
        }
        for name, (gap_ms, count) in cases.items():
            worst = max(Fleet(vms, gap_ms, count, seed).run() for seed in range(SEEDS))
            emit(f"retry_budget.{vms}_vms.{name}", worst, "of the bound", "1")


if __name__ == "__main__":
    main()
