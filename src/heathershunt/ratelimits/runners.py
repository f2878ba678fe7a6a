"""Calls to runners that count towards their limits, and whose answers may name one."""

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import LayerRange, Target
from heathershunt.pipelines import Chain, OrderReply, RunnerApi, RunnerReport
from heathershunt.ratelimits.guard import LimitGuard
from heathershunt.ratelimits.statement import AnswerKind, Statement


class CountedRunners:
    """Passes calls on to runners, counts them and records the limits that they name.

    None of these calls is held back: streams wait for them.

    .. versionadded:: 0.7
    """

    def __init__(self, runners: RunnerApi, limits: LimitGuard, clock: Clock) -> None:
        self._runners = runners
        self._limits = limits
        self._clock = clock

    async def report(self, runner: Target, timeout_ms: int) -> RunnerReport | None:
        """Return the state of a runner; ``None`` if it does not answer in time."""
        sent_at = self._start(runner)
        report = await self._runners.report(runner, timeout_ms)
        if report is not None:
            self._record(runner, report.limit_per_s, sent_at, AnswerKind.REPORT)
        return report

    async def place(
        self, runner: Target, layers: LayerRange, orders: int | None, fence: int
    ) -> OrderReply:
        """Order a runner to hold layers."""
        sent_at = self._start(runner)
        reply = await self._runners.place(runner, layers, orders, fence)
        self._record(runner, reply.limit_per_s, sent_at, AnswerKind.ORDER)
        return reply

    async def repath(self, runner: Target, request_id: str, chain: Chain) -> OrderReply:
        """Replace the later runners of a running request's chain."""
        sent_at = self._start(runner)
        reply = await self._runners.repath(runner, request_id, chain)
        self._record(runner, reply.limit_per_s, sent_at, AnswerKind.ORDER)
        return reply

    def _start(self, runner: Target) -> Millis:
        self._limits.record_send(runner)
        return self._clock.now()

    def _record(
        self, runner: Target, per_s: float | None, sent_at: Millis, kind: AnswerKind
    ) -> None:
        self._limits.record(runner, Statement(per_s, sent_at, kind))
