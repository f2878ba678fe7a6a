"""Client for the reports of and the orders to the platform's model runners."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
import msgspec
from result import Err

from heathershunt.availability import Notice
from heathershunt.clock import SystemClock
from heathershunt.discovery import LayerRange, Target
from heathershunt.http import ClientResponse, HttpClient
from heathershunt.logs import RepeatLimiter
from heathershunt.pipelines import (
    Chain,
    OrderOutcome,
    OrderReply,
    RunnerReport,
    StalledJob,
)
from heathershunt.platform.names import (
    EXPECTED_TARGET,
    ORDER_PATH,
    RATE_LIMIT,
    REPORT_PATH,
)
from heathershunt.platform.notices import notice_of
from heathershunt.platform.targets import LayersEntry, decode_layers
from heathershunt.ratelimits import AnswerKind, decode_limit
from heathershunt.schema.decoding import MalformedError, decode_untrusted
from heathershunt.schema.fields import Amount, Count, Factor, Text, Whole

log = logbook.Logger("heathershunt.platform")

ORDER_TIMEOUT_MS = 1000
SUCCESS = 200
MAX_REPLY_BYTES = 1_048_576
OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.BEGUN,
    409: OrderOutcome.CONFLICT,
}


class _StalledJob(msgspec.Struct):
    id: Text
    # Address of the runner that the job waits for.
    address: Text


class _Report(msgspec.Struct):
    born: Whole = 0
    # Number of orders accepted since the start of the runner, unlike the counter in
    # its store entry.
    sequence: Whole = 0
    busy: bool = False
    layers: LayersEntry | None = None
    running: Count = 0
    queued: Count = 0
    kv_used: Amount = 0.0
    kv_total: Amount = 0.0
    pace: Factor = 1.0
    stalled: list[_StalledJob] = []


class _ConflictReply(msgspec.Struct):
    # Address of the runner in the ordered chain that lacks its layers or free room.
    address: Text | None = None


@dataclass
class _AnswerHead:
    """What the head of an answer says, whatever its status and body are.

    :ivar limit_per_s: as in :class:`~heathershunt.pipelines.RunnerReport`.
    :ivar notice: what it says of the availability of the runner.
    """

    limit_per_s: float | None = None
    notice: Notice = Notice()

    def read(self, response: ClientResponse) -> None:
        """Take the values from the header fields."""
        self.limit_per_s = decode_limit(response.headers, RATE_LIMIT)
        self.notice = notice_of(response)


_decode_report = msgspec.json.Decoder(_Report).decode
_decode_conflict = msgspec.json.Decoder(_ConflictReply).decode


class RunnerClient:
    """Calls to runners over HTTP, each on a new connection.

    :ivar on_notice: called with a runner and what an answer of it says of its
        availability, whatever the answer is otherwise.

    .. versionadded:: 0.2
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self._lines = RepeatLimiter(SystemClock())
        self.on_notice: Callable[[Target, Notice, AnswerKind], None] = (
            lambda runner, notice, kind: None
        )

    async def report(self, runner: Target, timeout_ms: int) -> RunnerReport | None:
        """Return the state of a runner, ``None`` if it gave no valid report."""
        head = _AnswerHead()
        report = await self._fetch_report(runner, timeout_ms, head)
        # Under the same id, another process may have been started meanwhile.
        if report is None or _is_same_process(runner, report):
            self.on_notice(runner, head.notice, AnswerKind.REPORT)
        return report

    async def _fetch_report(
        self, runner: Target, timeout_ms: int, head: _AnswerHead
    ) -> RunnerReport | None:
        outcome = await self._http.exchange(
            runner.address,
            "GET",
            REPORT_PATH,
            timeout_ms=timeout_ms,
            limit=MAX_REPLY_BYTES,
            on_head=head.read,
            fresh=True,
        )
        if isinstance(outcome, Err):
            log.info("no report from {}: {}", runner.id, outcome.err_value.detail)
            return None
        status, raw = outcome.ok_value
        if status != SUCCESS:
            log.info("no report from {}: status {}", runner.id, status)
            return None
        try:
            report = decode_untrusted(_decode_report, raw)
        except MalformedError as error:
            if self._lines.take(runner.id):
                log.warning("malformed report of {}: {}", runner.id, error)
            return None
        return _build_report(report, head.limit_per_s)

    async def place(
        self, runner: Target, layers: LayerRange, orders: int | None, fence: int
    ) -> OrderReply:
        """Order a runner to hold layers.

        :param orders: number of orders that the runner must have begun so far, or it
            rejects this one; ``None`` for any.
        :param fence: fencing token of the leader.
        """
        payload = {
            "operation": "place",
            "from": layers.first,
            "to": layers.end,
            "mode": "wait",
            "fencing_token": fence,
        }
        if orders is not None:
            payload["expected"] = orders
        return await self._order(runner, payload)

    async def repath(self, runner: Target, request_id: str, chain: Chain) -> OrderReply:
        """Replace the later runners of a running request's chain."""
        payload = {
            "operation": "repath",
            "id": request_id,
            "path": encode_chain(chain),
        }
        return await self._order(runner, payload)

    async def _order(self, runner: Target, payload: dict[str, Any]) -> OrderReply:
        head = _AnswerHead()
        outcome = await self._http.exchange(
            runner.address,
            "POST",
            ORDER_PATH,
            headers=(
                (b"content-type", b"application/json"),
                (EXPECTED_TARGET, runner.id.encode()),
            ),
            body=msgspec.json.encode(payload),
            timeout_ms=ORDER_TIMEOUT_MS,
            limit=MAX_REPLY_BYTES,
            on_head=head.read,
            fresh=True,
        )
        self.on_notice(runner, head.notice, AnswerKind.ORDER)
        if isinstance(outcome, Err):
            detail = outcome.err_value.detail
            log.warning("no reply to the order to {}: {}", runner.id, detail)
            return OrderReply(OrderOutcome.UNKNOWN, limit_per_s=head.limit_per_s)
        status, raw = outcome.ok_value
        if status not in OUTCOME_BY_STATUS:
            log.warning("order to {}: status {}: {}", runner.id, status, raw[:200])
        order_outcome = OUTCOME_BY_STATUS.get(status, OrderOutcome.REJECTED)
        address = (
            _faulty_address(raw) if order_outcome is OrderOutcome.CONFLICT else None
        )
        return OrderReply(order_outcome, address, head.limit_per_s)


def _is_same_process(runner: Target, report: RunnerReport) -> bool:
    """Return whether the listed process answered, as far as the starts are known."""
    if not (runner.incarnation and report.incarnation):
        return True
    return runner.incarnation == report.incarnation


def _faulty_address(raw: bytes) -> str | None:
    """Return the address of the runner that caused a conflict, if the reply has one."""
    try:
        return decode_untrusted(_decode_conflict, raw).address
    except MalformedError as error:
        log.info("conflict reply without a valid runner address: {}", error)
        return None


def encode_chain(chain: Chain) -> str:
    """Encode a chain as comma-separated ``address=first-end`` parts."""
    return ",".join(
        f"{part.runner.address}={part.first}-{part.end}" for part in chain.parts
    )


def _build_report(report: _Report, limit_per_s: float | None) -> RunnerReport:
    return RunnerReport(
        incarnation=report.born,
        orders=report.sequence,
        is_busy=report.busy,
        held=decode_layers(report.layers),
        running=report.running,
        queued=report.queued,
        kv_used=report.kv_used,
        kv_total=report.kv_total,
        pace=report.pace,
        stalled=tuple(StalledJob(row.id, row.address) for row in report.stalled),
        limit_per_s=limit_per_s,
    )
