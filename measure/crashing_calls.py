"""Model of plain calls that crash their targets, in a fleet of 4 to 390 VMs.

Each VM decides by itself, on what it saw and what the others told it, which takes some
time. Deadly calls come in waves, each of some copies at as many VMs at once, beside
sound calls that are repeated too. A target that ends breaks off all calls that it has.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from heathershunt.clock import Millis
from heathershunt.crashes import (
    CrashDigest,
    CrashEvidence,
    Evidence,
    PartJudge,
    PartKey,
    Proof,
    RunnerCrash,
    request_key,
)
from measure._report import emit

ACCOUNTS = 10
SOUND_CALLS = 60
SOUND_PER_S = 20.0
SOUND_MS = 90
DEADLY_MS = 50
# Time until a VM has found out that the process of a target refuses connections.
FIND_MS = 2
DOWN_MS = 3300
# The shortest ``contact_ms`` of all sites.
CONTACT_MS = 3000
SECONDS = 90
SEEDS = 20
DEADLY = request_key("POST", "/deadly", "account-0", b"")


@dataclass(frozen=True)
class Day:
    """What happens in one run of the model.

    :param news_ms: longest time until another VM is told of a crash.
    :param loads_ms: longest time until it is told of a call that was answered.
    :param copies: VMs at which a deadly call comes at the same moment.
    :param waves_per_s: how often it comes.
    :param attempts: targets to which one call may be sent.
    """

    vms: int = 4
    targets: int = 3
    news_ms: int = 20
    loads_ms: int = 250
    copies: int = 1
    waves_per_s: float = 0.5
    attempts: int = 2

    @classmethod
    def of_large_fleet(cls, **changes) -> "Day":
        """Return a day with 390 VMs, which learn through aggregators."""
        return cls(vms=390, targets=40, news_ms=1500, loads_ms=2500, **changes)


@dataclass
class Tally:
    """Counts of one run.

    :ivar late_sends: sends of deadly calls later than ``CONTACT_MS`` after the third
        crash.
    """

    crashes: int = 0
    third_at: int | None = None
    late_sends: int = 0
    sound: int = 0
    sound_refused: int = 0
    sound_failed: int = 0


@dataclass(eq=False)
class _Call:
    vm: int
    account: str
    key: str
    attempts_left: int
    sent_at: int = 0
    tried: set[int] = field(default_factory=set)

    @property
    def is_deadly(self) -> bool:
        return self.key == DEADLY


class Model:
    """One run of the model.

    :param seed: of all random choices.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(seed)
        self._judges = [PartJudge() for _ in range(day.vms)]
        self._queue: list[tuple[float, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        self._calls_by_target: list[list[_Call]] = [[] for _ in range(day.targets)]
        self._boots = [0] * day.targets
        self._up_at = [0] * day.targets
        self.tally = Tally()

    def run(self) -> Tally:
        """Run the day and return its counts."""
        self._at(0, self._arrive_sound)
        self._at(1000, self._arrive_deadly)
        end = SECONDS * 1000
        while self._queue and self._queue[0][0] < end:
            at, _, action = heapq.heappop(self._queue)
            action(int(at))
        return self.tally

    def _at(self, at: float, action: Callable[[int], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _arrive_sound(self, now: int) -> None:
        draw = self._random
        account = f"account-{draw.randrange(ACCOUNTS)}"
        key = request_key("GET", f"/{draw.randrange(SOUND_CALLS)}", account, b"")
        self.tally.sound += 1
        self._send(_Call(draw.randrange(self._day.vms), account, key, 2), now)
        self._at(now + draw.expovariate(SOUND_PER_S / 1000), self._arrive_sound)

    def _arrive_deadly(self, now: int) -> None:
        day, draw = self._day, self._random
        for vm in draw.sample(range(day.vms), day.copies):
            self._send(_Call(vm, "account-0", DEADLY, day.attempts), now)
        self._at(now + draw.expovariate(day.waves_per_s / 1000), self._arrive_deadly)

    def _send(self, call: _Call, now: int) -> None:
        judge, tally = self._judges[call.vm], self.tally
        draw = self._random.random()
        block = judge.block(call.account, [call.key], Millis(now), draw, self._day.vms)
        if block is not None:
            tally.sound_refused += not call.is_deadly
            return
        targets = range(self._day.targets)
        up = [n for n in targets if self._up_at[n] <= now and n not in call.tried]
        if not up or not call.attempts_left:
            tally.sound_failed += not call.is_deadly
            return
        target = min(up, key=lambda n: (len(self._calls_by_target[n]), n))
        if call.is_deadly and tally.third_at is not None:
            tally.late_sends += now > tally.third_at + CONTACT_MS
        call.sent_at = now
        call.attempts_left -= 1
        call.tried.add(target)
        self._calls_by_target[target].append(call)
        boot = self._boots[target]
        took_ms = DEADLY_MS if call.is_deadly else SOUND_MS
        self._at(now + took_ms, lambda at: self._end(call, target, boot, at))

    def _end(self, call: _Call, target: int, boot: int, now: int) -> None:
        if self._boots[target] != boot:
            return
        if call.is_deadly:
            self._crash(target, now)
            return
        self._calls_by_target[target].remove(call)
        judge = self._judges[call.vm]
        if judge.is_suspected(call.key) and judge.add_proof(
            call.key, Proof(Millis(now))
        ):
            self._tell(call.vm, now, self._day.loads_ms)

    def _crash(self, target: int, now: int) -> None:
        tally = self.tally
        tally.crashes += 1
        if tally.crashes == 3:
            tally.third_at = now
        crash = RunnerCrash(f"target-{target}", self._boots[target] + 1)
        self._boots[target] += 1
        self._up_at[target] = now + DOWN_MS
        broken = self._calls_by_target[target]
        self._calls_by_target[target] = []
        for call in broken:
            self._at(now + FIND_MS, lambda at, call=call: self._learn(call, crash, at))

    def _learn(self, call: _Call, crash: RunnerCrash, now: int) -> None:
        item = CrashEvidence(
            PartKey(call.account, call.key),
            crash,
            Millis(call.sent_at),
            Millis(now),
            Evidence.BEGUN,
        )
        self._judges[call.vm].add(item, Millis(now))
        self._tell(call.vm, now, self._day.news_ms)
        self._send(call, now)

    def _tell(self, vm: int, now: int, within_ms: int) -> None:
        """Tell each other VM what this one knows, each after a time of its own."""
        digest = CrashDigest.from_judge(self._judges[vm], Millis(now))
        for other, judge in enumerate(self._judges):
            if other != vm:
                delay_ms = self._random.uniform(1, within_ms)
                self._at(
                    now + delay_ms,
                    lambda at, judge=judge: digest.apply(judge, Millis(at)),
                )


def main() -> None:
    """Print the figures."""
    for name, day in (
        ("four_vms", Day()),
        ("four_vms_once", Day(attempts=1)),
        ("four_vms_often", Day(waves_per_s=4.0)),
        ("four_vms_waves", Day(copies=4)),
        ("four_vms_40_targets", Day(targets=40, copies=4)),
        ("390_vms", Day.of_large_fleet()),
        ("390_vms_once", Day.of_large_fleet(attempts=1)),
        ("390_vms_often", Day.of_large_fleet(waves_per_s=4.0)),
        ("390_vms_waves", Day.of_large_fleet(copies=8)),
    ):
        tallies = [Model(day, seed).run() for seed in range(SEEDS)]
        prefix = f"crashing_calls.{name}"
        emit(f"{prefix}.crashes.most", max(t.crashes for t in tallies), "crashes")
        late = max(t.late_sends for t in tallies)
        emit(f"{prefix}.late_sends.most", late, "sends", "3")
        sound = sum(t.sound for t in tallies)
        refused = 1000 * sum(t.sound_refused for t in tallies) / sound
        failed = 1000 * sum(t.sound_failed for t in tallies) / sound
        emit(f"{prefix}.sound_refused", refused, "per 1000")
        emit(f"{prefix}.sound_failed", failed, "per 1000")


if __name__ == "__main__":
    main()
