"""Which runner of a chain is at fault, found by asking them."""

import asyncio
from collections.abc import Callable, Coroutine

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.pipelines import Chain, PaceTracker, RunnerApi, RunnerReport
from heathershunt.relay.suspects import SuspectList

REPORT_TIMEOUT_MS = 100
# Time without a report after which it is asked for once more: a lost packet must not
# pass for a dead runner.
SECOND_QUESTION_MS = 40
# Many streams pause at once when a runner fails; they share their questions.
SHARED_MS = 600
# Time for which a runner is passed over that rejected its part of a chain: it may be
# short of memory, or giving up its layers.
REJECTED_MS = 300
# Time between two questions to a slow runner.
WATCH_MS = 1000


class Diagnosis:
    """Asks the runners of a chain for reports, and blames those that give none.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        runners: RunnerApi,
        suspects: SuspectList,
        paces: PaceTracker,
    ) -> None:
        self._clock = clock
        self._runners = runners
        self._suspects = suspects
        self._paces = paces
        self._asking: set[asyncio.Task] = set()
        self._asked_by_id: dict[str, tuple[Millis, asyncio.Task]] = {}

    async def find_faulty(self, chain: Chain) -> Target | None:
        """Return a runner of the chain that does not work, and blame it.

        A runner is at fault if it gives no report, or if the first runner of the chain
        says that work waits for it.
        """
        runners = [part.runner for part in chain.parts]
        asked = [item for item in runners if not self._suspects.is_blamed(item)]
        report_by_runner = await self._ask_all_of(asked)
        for runner, report in report_by_runner.items():
            if report is None or self._is_restarted(runner, report):
                self._suspects.blame(runner)
        self._blame_stalled(chain, report_by_runner)
        return next(filter(self._suspects.is_blamed, runners), None)

    async def _ask_all_of(
        self, runners: list[Target]
    ) -> dict[Target, RunnerReport | None]:
        """Return the reports of some runners.

        Where none answers, the fault may be with this VM or its links, so all are asked
        once more.
        """
        asked_at = self._clock.now()
        reports = await asyncio.gather(*map(self._ask, runners))
        if len(runners) > 1 and not any(reports):
            for runner in runners:
                self._forget_question(runner, asked_at)
            reports = await asyncio.gather(*map(self._ask, runners))
        return dict(zip(runners, reports, strict=True))

    def _forget_question(self, runner: Target, limit: Millis) -> None:
        """Have a runner asked again unless that was done after ``limit``."""
        asked = self._asked_by_id.get(runner.id)
        if asked is not None and asked[0] <= limit:
            del self._asked_by_id[runner.id]

    def _blame_stalled(
        self, chain: Chain, report_by_runner: dict[Target, RunnerReport | None]
    ) -> None:
        """Blame the runners that the first one of the chain waits for."""
        report = report_by_runner.get(chain.head)
        if report is None:
            return
        for job in report.stalled:
            runner = chain.runner_at(job.address)
            if runner is not None:
                self._suspects.blame(runner)

    def ask_for_paces(self, chain: Chain) -> None:
        """Ask the runners of a chain in the background how slow they are."""
        self._spawn(self._ask_all(chain))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask_all(self, chain: Chain) -> None:
        await asyncio.gather(*(self._ask(part.runner) for part in chain.parts))

    async def watch_slow(self, find: Callable[[str], Target | None]) -> None:
        """Ask slow runners again and again until they are as usual.

        :param find: returns a target by its id.
        """
        while True:
            await asyncio.sleep(WATCH_MS / 1000)
            found = map(find, self._paces.slow())
            runners = [runner for runner in found if runner is not None]
            await asyncio.gather(*map(self._ask, runners))

    def note_rejection(self, runner: Target) -> None:
        """Keep requests that follow at once from the same rejection."""
        self._suspects.pause(runner, REJECTED_MS)

    def judge_rejection(self, runner: Target) -> None:
        """Pass over a runner that was named in a rejection.

        Whether it works at all is found out in the background.
        """
        if self._suspects.is_suspect(runner):
            return
        self.note_rejection(runner)
        self._spawn(self._blame_if_dead(runner))

    async def _blame_if_dead(self, runner: Target) -> None:
        report = await self._ask(runner)
        if report is None or self._is_restarted(runner, report):
            self._suspects.blame(runner)

    def _is_restarted(self, runner: Target, report: RunnerReport) -> bool:
        """Return whether the report is of another start than the known one."""
        return bool(runner.born and report.born and report.born != runner.born)

    async def _ask(self, runner: Target) -> RunnerReport | None:
        now = self._clock.now()
        asked = self._asked_by_id.get(runner.id)
        if asked is None or now - asked[0] > SHARED_MS:
            self._forget_before(now - SHARED_MS)
            asked = (now, asyncio.create_task(self._question(runner)))
            self._asked_by_id[runner.id] = asked
        # One stream that ends must not cancel the question of the others.
        report = await asyncio.shield(asked[1])
        if report is not None:
            self._paces.record(runner.id, report)
        return report

    async def _question(self, runner: Target) -> RunnerReport | None:
        """Return the report of a runner, asked twice if need be."""
        first = asyncio.create_task(self._runners.report(runner, REPORT_TIMEOUT_MS))
        await asyncio.wait({first}, timeout=SECOND_QUESTION_MS / 1000)
        if first.done():
            return first.result()
        left_ms = REPORT_TIMEOUT_MS - SECOND_QUESTION_MS
        second = asyncio.create_task(self._runners.report(runner, left_ms))
        try:
            for answer in asyncio.as_completed((first, second)):
                report = await answer
                if report is not None:
                    return report
            return None
        finally:
            first.cancel()
            second.cancel()

    def _forget_before(self, limit: int) -> None:
        for runner_id, (asked_at, task) in list(self._asked_by_id.items()):
            if asked_at < limit and task.done():
                del self._asked_by_id[runner_id]
