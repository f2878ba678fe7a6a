"""Detection of the runner at fault in a chain, from reports of its runners."""

import asyncio
from collections.abc import Callable, Coroutine

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.pipelines import Chain, PaceTracker, RunnerApi, RunnerReport
from heathershunt.relay.suspects import SuspectList

REPORT_TIMEOUT_MS = 100
# Time without a report after which a second request is sent: a lost packet must not
# make a runner count as dead.
HEDGE_DELAY_MS = 40
# Time for which streams share a poll: many pause at once when a runner fails.
REPORT_REUSE_MS = 600
# Time for which a runner is avoided that rejected its part of a chain: it may be short
# of memory, or releasing its layers.
REJECTION_BACKOFF_MS = 300
# Interval between two polls of a slow runner.
SLOW_POLL_MS = 1000


class Diagnosis:
    """Polls the runners of a chain for reports, and ejects those that give none.

    :param may_check: returns whether a runner may be polled though no stream waits for
        the report.
    :param is_paused: returns whether a runner asked for a pause, so that it is not
        polled after it rejected its part of a chain.
    :param on_replaced: called with a runner in whose place a later process answers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        runners: RunnerApi,
        suspects: SuspectList,
        paces: PaceTracker,
        may_check: Callable[[Target], bool] = lambda runner: True,
        is_paused: Callable[[Target], bool] = lambda runner: False,
        on_replaced: Callable[[Target], None] = lambda runner: None,
    ) -> None:
        self._clock = clock
        self._is_paused = is_paused
        self._on_replaced = on_replaced
        self._may_check = may_check
        self._runners = runners
        self._suspects = suspects
        self._paces = paces
        self._background_tasks: set[asyncio.Task] = set()
        self._polls_by_id: dict[str, tuple[Millis, asyncio.Task]] = {}

    async def has_ended(self, runner: Target, since: Millis) -> bool:
        """Return whether the process of a runner has ended; eject it then.

        :param since: time at or after which the runner must have been polled.
        """
        self._discard_poll(runner, Millis(since - 1))
        if not await self._is_dead(runner):
            return False
        self._suspects.eject(runner)
        return True

    async def has_restarted(self, runner: Target) -> bool:
        """Return whether a later process answers in place of the listed runner."""
        report = await self._fetch_report(runner)
        return report is not None and self._is_restarted(runner, report)

    async def find_faulty(self, chain: Chain) -> Target | None:
        """Return the first runner of the chain that is at fault; eject all that are.

        A runner is at fault if it gives no report, if it has restarted, or if the first
        runner of the chain reports work that waits for it.
        """
        runners = [part.runner for part in chain.parts]
        candidates = [item for item in runners if not self._suspects.is_ejected(item)]
        report_by_runner = await self._fetch_reports(candidates)
        for runner, report in report_by_runner.items():
            if report is None or self._is_restarted(runner, report):
                self._suspects.eject(runner)
        self._eject_stalled(chain, report_by_runner)
        return next(filter(self._suspects.is_ejected, runners), None)

    async def _fetch_reports(
        self, runners: list[Target]
    ) -> dict[Target, RunnerReport | None]:
        """Return the reports of runners; ``None`` for each that gives none.

        If none answers, the fault may be with this VM or its links, so all are polled
        once more.
        """
        polled_at = self._clock.now()
        reports = await asyncio.gather(*map(self._fetch_report, runners))
        if len(runners) > 1 and not any(reports):
            for runner in runners:
                self._discard_poll(runner, polled_at)
            reports = await asyncio.gather(*map(self._fetch_report, runners))
        return dict(zip(runners, reports, strict=True))

    def _discard_poll(self, runner: Target, limit: Millis) -> None:
        """Discard the poll of a runner unless it was sent after ``limit``."""
        poll = self._polls_by_id.get(runner.id)
        if poll is not None and poll[0] <= limit:
            del self._polls_by_id[runner.id]

    def _eject_stalled(
        self, chain: Chain, report_by_runner: dict[Target, RunnerReport | None]
    ) -> None:
        """Eject the runners that the first one of the chain waits for."""
        report = report_by_runner.get(chain.head)
        if report is None:
            return
        for job in report.stalled:
            runner = chain.runner_at(job.address)
            if runner is not None:
                self._suspects.eject(runner)

    def refresh_paces(self, chain: Chain) -> None:
        """Poll the runners of a chain in the background to update their paces."""
        self._spawn(self._fetch_chain_reports(chain))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _fetch_chain_reports(self, chain: Chain) -> None:
        runners = (part.runner for part in chain.parts)
        await asyncio.gather(*map(self._fetch_report, filter(self._may_check, runners)))

    async def poll_slow_runners(self, find: Callable[[str], Target | None]) -> None:
        """Poll each slow runner at intervals until its pace is normal; never returns.

        :param find: returns a target by its id.
        """
        while True:
            await asyncio.sleep(SLOW_POLL_MS / 1000)
            found = map(find, self._paces.slow())
            runners = (runner for runner in found if runner is not None)
            await asyncio.gather(
                *map(self._fetch_report, filter(self._may_check, runners))
            )

    def record_rejection(self, runner: Target) -> None:
        """Avoid a runner briefly, so that the next requests are not rejected too."""
        self._suspects.back_off(runner, REJECTION_BACKOFF_MS)

    def check_rejection(self, runner: Target) -> None:
        """Avoid a runner that was named in a rejection.

        A background task checks whether it works, and ejects it if not.
        """
        if self._suspects.is_suspect(runner):
            return
        self.record_rejection(runner)
        if not self._is_paused(runner):
            self._spawn(self._eject_if_dead(runner))

    async def _eject_if_dead(self, runner: Target) -> None:
        if await self._is_dead(runner):
            self._suspects.eject(runner)

    async def _is_dead(self, runner: Target) -> bool:
        report = await self._fetch_report(runner)
        return report is None or self._is_restarted(runner, report)

    def _is_restarted(self, runner: Target, report: RunnerReport) -> bool:
        """Return whether the runner has restarted since it was listed."""
        return bool(
            runner.incarnation
            and report.incarnation
            and report.incarnation != runner.incarnation
        )

    async def _fetch_report(self, runner: Target) -> RunnerReport | None:
        now = self._clock.now()
        poll = self._polls_by_id.get(runner.id)
        if poll is None or now - poll[0] > REPORT_REUSE_MS:
            self._discard_polls_before(now - REPORT_REUSE_MS)
            poll = (now, asyncio.create_task(self._poll(runner)))
            self._polls_by_id[runner.id] = poll
        # A stream that ends must not cancel the poll that it shares with others.
        report = await asyncio.shield(poll[1])
        if report is not None:
            self._paces.record(runner.id, report)
            if self._is_restarted(runner, report):
                self._on_replaced(runner)
        return report

    async def _poll(self, runner: Target) -> RunnerReport | None:
        """Return the report of a runner; send a second request if the first is slow."""
        first = asyncio.create_task(self._runners.report(runner, REPORT_TIMEOUT_MS))
        await asyncio.wait({first}, timeout=HEDGE_DELAY_MS / 1000)
        if first.done():
            return first.result()
        left_ms = REPORT_TIMEOUT_MS - HEDGE_DELAY_MS
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

    def _discard_polls_before(self, limit: int) -> None:
        for runner_id, (polled_at, task) in list(self._polls_by_id.items()):
            if polled_at < limit and task.done():
                del self._polls_by_id[runner_id]
