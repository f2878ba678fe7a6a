"""Model of prompts that crash runners: crashes until blocked, and false blame.

Requests of ten accounts begin with one of sixty shared parts and run on random runners.
A run waits, begins, sends its first event and goes on for some time. A deadly one ends
its runner with the first event or later. One decision is modelled for all VMs, which
learns of each crash, each written part and each whole answer after a delay.
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from heathershunt.clock import Millis
from heathershunt.crashes import (
    MAX_WRITING_MS,
    CrashEvidence,
    Evidence,
    PartJudge,
    PartKey,
    Proof,
    RunnerCrash,
)
from measure._report import emit

ACCOUNTS = 10
SHARED_PARTS = 60
WAIT_MS = 150
BEGIN_MS = 50
# Shortest and longest time for which an answer is written.
WRITE_MS = (300, 3000)
DOWN_MS = 3500
SEEDS = 40
DEADLY = "deadly"
DEADLY_ACCOUNT = "account-0"


@dataclass(frozen=True)
class Day:
    """What happens in one run of the model.

    :param rate: requests a second.
    :param deadly_share: share of the requests that have the deadly part.
    :param crash_after_ms: time from the first event of a deadly run to the crash; none
        is sent before it with 0.
    :param crashes_per_s: runners that crash for other reasons, a second.
    :param rack: runners that crash together every ten seconds.
    :param delay_ms: time until a crash or a written part is known.
    :param vms: number of VMs, on which the share of tried requests depends.
    """

    rate: float = 40.0
    runners: int = 40
    seconds: int = 40
    deadly_share: float = 0.0
    crash_after_ms: int = 0
    crashes_per_s: float = 0.0
    rack: int = 0
    delay_ms: int = 300
    vms: int = 4


@dataclass
class Tally:
    """Counts of one run.

    :ivar sound_refused: requests without the deadly part that were refused.
    :ivar sound_broken: runs of such requests that ended with a runner.
    :ivar wrongly_blocked: sound parts that were blocked at some time, by account.
    """

    deadly_crashes: int = 0
    requests: int = 0
    sound_refused: int = 0
    sound_broken: int = 0
    wrongly_blocked: set[PartKey] = field(default_factory=set)


@dataclass
class _Run:
    account: str
    parts: tuple[str, ...]
    sent_at: int
    tries: int = 0
    began_at: int | None = None

    @property
    def is_deadly(self) -> bool:
        return DEADLY in self.parts


class Model:
    """One run of the model.

    :param seed: of all random choices.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self._day = day
        self._random = random.Random(seed)
        self._judge = PartJudge()
        self._queue: list[tuple[float, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        self._runs_by_runner: list[list[_Run]] = [[] for _ in range(day.runners)]
        self._boots = [0] * day.runners
        self._up_at = [0] * day.runners
        self.tally = Tally()

    def run(self) -> Tally:
        """Run the day and return its counts."""
        day, end = self._day, self._day.seconds * 1000
        self._at(0, self._arrive)
        if day.crashes_per_s:
            self._at(0, self._crash_at_random)
        if day.rack:
            for at in range(5000, end, 10_000):
                self._at(at, self._crash_rack)
        while self._queue and self._queue[0][0] < end:
            at, _, action = heapq.heappop(self._queue)
            action(int(at))
        return self.tally

    def _at(self, at: float, action: Callable[[int], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _arrive(self, now: int) -> None:
        draw = self._random
        number = self.tally.requests = self.tally.requests + 1
        parts = (f"shared-{draw.randrange(SHARED_PARTS)}", f"own-{number}")
        account = f"account-{draw.randrange(ACCOUNTS)}"
        if draw.random() < self._day.deadly_share:
            parts, account = ("shared-0", DEADLY, parts[1]), DEADLY_ACCOUNT
        self._send(_Run(account, parts, now), now)
        self._at(now + draw.expovariate(self._day.rate / 1000), self._arrive)

    def _send(self, run: _Run, now: int) -> None:
        block = self._judge.block(
            run.account, run.parts, Millis(now), self._random.random(), self._day.vms
        )
        if block is not None:
            self.tally.sound_refused += not run.is_deadly
            return
        up = [n for n in range(self._day.runners) if self._up_at[n] <= now]
        if not up:
            return
        runner, run.sent_at = self._random.choice(up), now
        run.tries += 1
        self._runs_by_runner[runner].append(run)
        boot = self._boots[runner]
        run.began_at = None
        self._at(
            now + WAIT_MS + BEGIN_MS, lambda at: self._write(run, runner, boot, at)
        )

    def _write(self, run: _Run, runner: int, boot: int, now: int) -> None:
        if self._boots[runner] != boot:
            return
        if run.is_deadly and not self._day.crash_after_ms:
            self._crash_by(run, runner, boot, now)
            return
        run.began_at = now
        self._prove(run, Proof(Millis(now)), now)
        lasts_ms = self._random.uniform(*WRITE_MS)
        if run.is_deadly:
            self._at(
                now + self._day.crash_after_ms,
                lambda at: self._crash_by(run, runner, boot, at),
            )
        self._at(now + lasts_ms, lambda at: self._finish(run, runner, boot, at))

    def _crash_by(self, run: _Run, runner: int, boot: int, now: int) -> None:
        if self._boots[runner] == boot and run in self._runs_by_runner[runner]:
            self.tally.deadly_crashes += 1
            self._crash(runner, now)

    def _finish(self, run: _Run, runner: int, boot: int, now: int) -> None:
        if self._boots[runner] == boot:
            self._runs_by_runner[runner].remove(run)
            self._prove(run, Proof(Millis(run.began_at), now - run.began_at), now)

    def _prove(self, run: _Run, proof: Proof, now: int) -> None:
        for part in run.parts:
            self._at(
                now + self._day.delay_ms,
                lambda at, part=part: self._judge.add_proof(part, proof),
            )

    def _crash_at_random(self, now: int) -> None:
        up = [n for n in range(self._day.runners) if self._up_at[n] <= now]
        if up:
            self._crash(self._random.choice(up), now)
        gap_ms = self._random.expovariate(self._day.crashes_per_s / 1000)
        self._at(now + gap_ms, self._crash_at_random)

    def _crash_rack(self, now: int) -> None:
        for runner in self._random.sample(range(self._day.runners), self._day.rack):
            if self._up_at[runner] <= now:
                self._crash(runner, now)

    def _crash(self, runner: int, now: int) -> None:
        crash = RunnerCrash(f"runner-{runner}", self._boots[runner])
        self._boots[runner] += 1
        self._up_at[runner] = now + DOWN_MS
        broken, self._runs_by_runner[runner] = self._runs_by_runner[runner], []
        for run in broken:
            self.tally.sound_broken += not run.is_deadly
            self._blame(run, crash, now)
            if run.tries < 2:
                self._at(now + 5, lambda at, run=run: self._send(run, at))

    def _blame(self, run: _Run, crash: RunnerCrash, now: int) -> None:
        evidence, parts, wrote_ms = Evidence.BEGUN, run.parts, 0
        if run.began_at is not None:
            evidence, wrote_ms = Evidence.WRITING, now - run.began_at
        elif now - run.sent_at < WAIT_MS:
            evidence, parts = Evidence.WAITING, run.parts[:-1]
        if wrote_ms > MAX_WRITING_MS:
            return
        for part in parts:
            key = PartKey(run.account, part)
            sent_at = Millis(run.sent_at)
            item = CrashEvidence(key, crash, sent_at, Millis(now), evidence, wrote_ms)
            self._at(
                now + self._day.delay_ms, lambda at, item=item: self._learn(item, at)
            )

    def _learn(self, item: CrashEvidence, now: int) -> None:
        self._judge.add(item, Millis(now))
        blocked = self._judge.blocked_keys()
        shared = {key for key in blocked if key.part.startswith("shared")}
        self.tally.wrongly_blocked |= shared


def main() -> None:
    """Print the figures."""
    few = Day(deadly_share=0.02)
    many = Day(rate=400.0, runners=200, deadly_share=0.02, delay_ms=1500, vms=78)
    soon, later = replace(few, crash_after_ms=20), replace(few, crash_after_ms=1000)
    for name, day, bound in (
        ("few_runners", few, "5"),
        ("few_runners_after_20_ms", soon, "-"),
        ("few_runners_after_1_s", later, "-"),
        ("many_runners", many, "-"),
    ):
        tallies = [Model(day, seed).run() for seed in range(SEEDS // 2)]
        crashes = [tally.deadly_crashes for tally in tallies]
        prefix = f"crashing_prompts.{name}"
        emit(f"{prefix}.crashes.median", statistics.median(crashes), "crashes", bound)
        emit(f"{prefix}.crashes.most", max(crashes), "crashes")
        _emit_sound(prefix, tallies)
    for name, day in (
        ("one_crash_a_second", Day(crashes_per_s=1.0)),
        ("three_crashes_a_second", Day(crashes_per_s=3.0)),
        ("racks_of_twelve", Day(rack=12)),
    ):
        tallies = [Model(day, seed).run() for seed in range(SEEDS)]
        _emit_sound(f"crashing_prompts.{name}", tallies)


def _emit_sound(prefix: str, tallies: list[Tally]) -> None:
    requests = sum(tally.requests for tally in tallies)
    refused = sum(tally.sound_refused for tally in tallies)
    broken = sum(tally.sound_broken for tally in tallies)
    blocked = sum(len(tally.wrongly_blocked) for tally in tallies)
    emit(f"{prefix}.sound_refused", 1000 * refused / requests, "per 1000")
    emit(f"{prefix}.sound_broken", 1000 * broken / requests, "per 1000")
    emit(f"{prefix}.shared_parts_blocked", blocked / len(tallies), "a day")


if __name__ == "__main__":
    main()
