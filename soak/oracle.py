"""Checks that each request ends in exactly one whole answer, in good time.

A request without one is excused only by what this module names, each case by the fault
that caused it; the excuses are counted, so that a run shows how much it excuses.
"""

import re
from collections import Counter
from dataclasses import dataclass, field

from soak.channels import Channel, Exchange
from soak.configurations import LARGE_BODY_BYTES, LONG_IDLE_MS, Version
from soak.plain_targets import EARLY, PlainTarget
from soak.site import GRACE_MS, REVOKE_MS, SoakSite
from soak.spans import STALL
from standins.layer_runner import Run

# Line in which a gateway logs that it sent a request, whose id is to be filled in.
SENT_EVENT = r'"event":"sent",.*"request":"{}"'
EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+)\n\n")
# Statuses with which a gateway states that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SIGNATURE = "heathershunt-response-signature"
# An answer comes at the latest this long after the timeout of its route.
ANSWER_SLACK_SECONDS = 0.5
# The users' ``loss_slack_ms``: a request that crosses a close that begins in this time.
CROSSING_SECONDS = 0.2
# The users' ``config_apply_ms``, and a time for which the store may be out of reach.
APPLY_SECONDS = 2.0
APPLY_BESIDE_FAULTS_SECONDS = 10.0
# Part of the grace time after which a request that still runs may be cut.
GRACE_FRACTION = 5 / 6
# Gateways end a stream this long before its time limit, so that its end is in time.
LIMIT_MARGIN_SECONDS = 0.05
CLOCK_SLACK_SECONDS = 0.05
# Faults after which a target may not go on with what it runs.
BREAKING_FAULTS = frozenset({"hang", "stall", "oversize"})
# The same for the connection from a gateway to the target.
CUTTING_FAULTS = frozenset({"reset", "silence"})


@dataclass
class Findings:
    """What the checks found.

    :ivar excuses: number of requests without a whole answer by the excuse.
    """

    violations: list[str] = field(default_factory=list)
    excuses: Counter[str] = field(default_factory=Counter)


def check(
    site: SoakSite, exchanges: list[Exchange], channels: list[Channel]
) -> Findings:
    """Return the violations of all requests and connections."""
    oracle = Oracle(site)
    for exchange in exchanges:
        oracle.check_exchange(exchange)
    for channel in channels:
        if channel.stray:
            oracle.findings.violations.append(
                f"MIXED bytes on a connection without a request: {channel.stray[:99]!r}"
            )
    return oracle.findings


class Oracle:
    """Judges requests by the runs of the targets and by the faults of the run."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self._spans = site.spans
        self.findings = Findings()
        self._runs_by_id: dict[str, list[tuple[str, Run]]] = {}
        self._replies: dict[tuple[str, str], tuple[int, bytes]] = {}
        for target in site.targets.values():
            for run in target.runs:
                self._runs_by_id.setdefault(run.request_id, []).append((target.id, run))
            if isinstance(target, PlainTarget):
                for request_id, reply in target.replies.items():
                    self._replies[target.id, request_id] = reply

    def check_exchange(self, exchange: Exchange) -> None:
        """Add the violations of one request."""
        runs = self._runs_by_id.get(exchange.id, [])
        if exchange.end == "malformed":
            self._report("MIXED", exchange, runs)
        self._check_runs(exchange, runs)
        if exchange.end == "answer":
            self._check_answer(exchange, runs)
        elif exchange.whole_at is not None:
            excuse = self._excuse(exchange, runs)
            if excuse is None:
                self._report("LOST", exchange, runs)
            else:
                self.findings.excuses[excuse] += 1
        if exchange.whole_at is not None and not exchange.is_abandoned:
            self._check_time(exchange, runs)

    def _report(self, rule: str, exchange: Exchange, runs, detail: str = "") -> None:
        whole_at = exchange.whole_at or 0.0
        where = [
            f"{target} {run.headers.get('heathershunt-hop-count', '')}"
            for target, run in runs
        ]
        self.findings.violations.append(
            f"{rule} {exchange.id} {exchange.path} with {len(exchange.body)} bytes"
            f" at {exchange.gateway}, whole at"
            f" {whole_at:.3f}, due from {exchange.due_from:.3f}, ended at"
            f" {exchange.ended_at:.3f}: {exchange.end} {exchange.status}"
            f" {len(exchange.answer)} bytes {exchange.detail} {detail}; ran at"
            f" {self._names(where)}{_after(exchange.previous)}"
        )

    def _names(self, where: list[str]) -> list[str]:
        """Replace the addresses of targets by their names."""
        named = []
        for text in where:
            for address, target in self._site.targets_by_address.items():
                text = text.replace(address, target.id)
            named.append(text)
        return named

    # What may be in force

    def _versions(self, exchange: Exchange) -> list[Version]:
        """Return the versions by which a gateway may have handled a request."""
        at = exchange.due_from or exchange.ended_at
        gateways = {"", exchange.gateway}
        kinds = frozenset({"store", "pause", "delay"})
        subjects = gateways | {f"store-{exchange.gateway.rpartition('-')[2]}"}
        start = at - APPLY_SECONDS
        if self._spans.find(kinds, subjects, at - APPLY_BESIDE_FAULTS_SECONDS, at):
            start = at - APPLY_BESIDE_FAULTS_SECONDS
        end = at + self._paused_seconds(exchange) + CLOCK_SLACK_SECONDS
        return list(self._site.settings.in_force(start, end))

    def _routes(self, exchange: Exchange) -> list[dict | None]:
        return [version.route(exchange.path) for version in self._versions(exchange)]

    def _limits_seconds(self, exchange: Exchange) -> tuple[float, float]:
        """Return the shortest and the longest time limit of a request."""
        limits = [route["timeout_ms"] for route in self._routes(exchange) if route]
        limits = [min(limit, exchange.deadline_ms) / 1000 for limit in limits]
        return min(limits, default=0.0), max(limits, default=0.0)

    def _is_retryable(self, exchange: Exchange) -> bool:
        return any(
            route
            and (route["kind"] == "idempotent" or route.get("resumable", False))
            and not (route["kind"] == "non_idempotent")
            for route in self._routes(exchange)
        )

    def _paused_seconds(self, exchange: Exchange) -> float:
        """Return for how long the gateway or the soak did not run during a request."""
        kinds = frozenset({"pause", STALL})
        subjects = {exchange.gateway, ""}
        return self._covered(kinds, subjects, exchange.due_from, exchange.ended_at)

    def _covered(self, kinds, subjects: set[str], start: float, end: float) -> float:
        """Return the seconds of a time in which one of the faults acted or more."""
        spans = self._spans.find(kinds, subjects, start, end)
        covered, until = 0.0, start
        for span in sorted(spans, key=lambda span: span.start):
            covered += max(0.0, min(end, span.end) - max(until, span.start))
            until = max(until, span.end)
        return covered

    def _seconds_in_time(self, exchange: Exchange) -> float:
        """Return for how long a gateway may have had a request as it ended.

        The soak may have noticed late that the answer before it had ended.
        """
        due = exchange.due_from
        stalls = self._spans.find(
            frozenset({STALL}), {""}, due - CLOCK_SLACK_SECONDS, due
        )
        start = min([due, *(stall.start for stall in stalls)])
        return exchange.ended_at - max(start, exchange.whole_at)

    # Checks

    def _check_runs(self, exchange: Exchange, runs) -> None:
        if len(runs) > 1 and not self._is_retryable(exchange):
            self._report("TWICE", exchange, runs)
        if exchange.status in NOT_RUN_STATUSES and runs:
            if not self._is_retryable(exchange):
                self._report("REFUSED", exchange, runs)
        if runs and exchange.whole_at is None:
            self._report("UNASKED", exchange, runs, "its body was not sent")
        for _, run in runs:
            if not _has_body(run, exchange) or run.target != exchange.path:
                self._report("UNASKED", exchange, runs, "other body or path")
            self._check_account(exchange, run, runs)

    def _check_account(self, exchange: Exchange, run: Run, runs) -> None:
        account = run.headers.get("heathershunt-tenant")
        at = exchange.whole_at or exchange.ended_at
        versions = self._site.settings.in_force(
            at - REVOKE_MS / 1000, exchange.ended_at
        )
        if account not in {version.account(exchange.key) for version in versions}:
            self._report("CONFIG", exchange, runs, f"ran for {account}")

    def _check_time(self, exchange: Exchange, runs) -> None:
        _, limit = self._limits_seconds(exchange)
        limit += ANSWER_SLACK_SECONDS + self._paused_seconds(exchange)
        limit += self._site.waits.between(
            exchange.gateway, exchange.due_from, exchange.ended_at
        )
        if exchange.ended_at > exchange.due_from + limit:
            self._report("LATE", exchange, runs, f"limit {limit:.3f} s")

    def _check_answer(self, exchange: Exchange, runs) -> None:
        answered_id = exchange.headers.get("heathershunt-request-id")
        if answered_id not in (None, exchange.id):
            self._report("MIXED", exchange, runs, f"answer to {answered_id}")
        if SIGNATURE in exchange.headers:
            self._check_reply(exchange, runs)
        elif exchange.status < 400:
            self._report("MIXED", exchange, runs, "no signature")
        elif exchange.status in (502, 504):
            self._check_failure(exchange, runs)
        elif exchange.status not in NOT_RUN_STATUSES:
            self._check_denial(exchange, runs)

    def _check_reply(self, exchange: Exchange, runs) -> None:
        """Check that an answer is the whole answer of a target that ran the request."""
        receipt = exchange.headers[SIGNATURE]
        if receipt not in {f"receipt-{run.runner}" for _, run in runs}:
            self._report("MIXED", exchange, runs, f"signature {receipt}")
            return
        target = receipt.removeprefix("receipt-")
        if self._site.targets[target].kind is None:
            reply = self._replies.get((target, exchange.id))
            if reply is not None and reply != (exchange.status, exchange.answer):
                self._report("MIXED", exchange, runs, "not the answer of the target")
            return
        ids = [int(number) for number, _ in EVENT.findall(exchange.answer)]
        if exchange.status != 200 or ids != list(range(1, exchange.events + 1)):
            detail = f"events {ids[:3]} to {ids[-3:]} of {exchange.events}"
            self._report("ORDER", exchange, runs, detail)

    def _check_failure(self, exchange: Exchange, runs) -> None:
        """Check that no failure replaces an answer that sound targets were making."""
        shortest, _ = self._limits_seconds(exchange)
        in_time = self._seconds_in_time(exchange)
        if in_time >= shortest - LIMIT_MARGIN_SECONDS or not runs:
            return
        if self._paused_seconds(exchange) or self._broken_by(exchange, runs, True):
            return
        self._report("FAILED", exchange, runs, "all its targets were sound")

    def _check_denial(self, exchange: Exchange, runs) -> None:
        """Check that some version that may be in force does not allow the request."""
        versions = self._versions(exchange)
        if exchange.status == 404:
            is_allowed = all(version.route(exchange.path) for version in versions)
        elif exchange.status == 401:
            is_allowed = all(version.account(exchange.key) for version in versions)
        elif exchange.status == 413:
            at = exchange.ended_at
            versions = self._site.settings.in_force(
                at - APPLY_BESIDE_FAULTS_SECONDS, at
            )
            limits = [v.limit("max_body_bytes", LARGE_BODY_BYTES) for v in versions]
            is_allowed = len(exchange.body) <= min(limits)
        else:
            is_allowed = True
        if is_allowed or runs:
            self._report("DENIED", exchange, runs)

    # Excuses

    def _excuse(self, exchange: Exchange, runs) -> str | None:
        """Return why a request may have no whole answer; ``None`` without a reason."""
        if exchange.is_abandoned:
            return "the caller left"
        if exchange.is_half_closed:
            return "the caller closed its side"
        return (
            self._process_excuse(exchange, runs)
            or self._crossing_excuse(exchange, runs)
            or self._stream_excuse(exchange, runs)
        )

    def _process_excuse(self, exchange: Exchange, runs) -> str | None:
        gateway = {exchange.gateway}
        start, end = exchange.whole_at, exchange.ended_at + CLOCK_SLACK_SECONDS
        if self._spans.find(frozenset({"kill"}), gateway, start, end):
            return "the process was killed"
        for stop in self._spans.find(frozenset({"terminate"}), gateway, start, end):
            if exchange.ended_at < stop.start + GRACE_MS / 1000 * GRACE_FRACTION:
                continue
            if runs:
                return "it ran beyond the grace time"
            if self._was_sent(exchange):
                return "its target was silent beyond the grace time"
        return None

    def _was_sent(self, exchange: Exchange) -> bool:
        """Return whether the gateway has sent a request to some target, by its log."""
        log = self._site.gateways[exchange.gateway].log_text()
        return re.search(SENT_EVENT.format(re.escape(exchange.id)), log) is not None

    def _crossing_excuse(self, exchange: Exchange, runs) -> str | None:
        if runs:
            return None
        if exchange.is_after_close:
            return "it was sent beside an answer that announced the close"
        previous = exchange.previous
        if previous is not None and previous.end != "answer":
            return "the answer before it on its connection was cut"
        # The soak may have noticed the close late.
        start, end = exchange.whole_at, exchange.ended_at
        stalled = self._covered(frozenset({STALL}), {""}, start, end)
        if end - start - stalled > CROSSING_SECONDS:
            return None
        if previous is not None:
            return "it crossed the close of its connection"
        if self._idled_at_first(exchange):
            return "it crossed the idle limit of its new connection"
        gateway = {exchange.gateway}
        start, end = exchange.whole_at - CROSSING_SECONDS, exchange.ended_at
        if self._spans.find(frozenset({"terminate"}), gateway, start, end):
            return "it crossed the end of the process"
        return None

    def _idled_at_first(self, exchange: Exchange) -> bool:
        """Return whether the idle limit passed before the first request was sent."""
        versions = self._versions(exchange)
        limits = [v.limit("idle_timeout_ms", LONG_IDLE_MS) for v in versions]
        idle_ms = min(limits, default=LONG_IDLE_MS)
        idle_seconds = exchange.whole_at - exchange.opened_at + CROSSING_SECONDS
        return idle_seconds >= idle_ms / 1000

    def _stream_excuse(self, exchange: Exchange, runs) -> str | None:
        """Return why a stream that has begun may end early."""
        if exchange.status != 200 or not runs:
            return None
        shortest, _ = self._limits_seconds(exchange)
        if self._seconds_in_time(exchange) >= shortest - LIMIT_MARGIN_SECONDS:
            return "the time limit has passed"
        fault = self._broken_by(exchange, runs, False)
        return f"its target was hit by {fault}" if fault else None

    def _broken_by(self, exchange: Exchange, runs, is_connecting: bool) -> str | None:
        """Return the fault that may have broken a run; ``None`` if all were sound.

        :param is_connecting: whether a slow connection may also have done so.
        """
        start, end = exchange.due_from, exchange.ended_at
        cutting = CUTTING_FAULTS | ({"delay"} if is_connecting else set())
        for target, run in runs:
            subjects = {target, *self._runners_of(run)}
            spans = self._spans.find(BREAKING_FAULTS, subjects, start, end)
            spans += self._spans.find(cutting, {target}, start, end)
            if spans:
                return spans[0].kind
        return None

    def _runners_of(self, run: Run) -> set[str]:
        """Return the names of all runners that were in the chain of a run."""
        chains = {run.headers.get("heathershunt-hop-count", ""), *run.chains}
        addresses = {
            part.partition("=")[0] for chain in chains for part in chain.split(",")
        }
        targets = self._site.targets_by_address
        return {targets[item].id for item in addresses if item in targets}


def _has_body(run: Run, exchange: Exchange) -> bool:
    """Return whether a run got the body, or its beginning if it answered early."""
    if exchange.path.endswith(EARLY):
        return exchange.body.startswith(run.body)
    return run.body == exchange.body


def _after(previous: Exchange | None) -> str:
    if previous is None:
        return ", first on its connection"
    return f", after {previous.id}: {previous.end} {previous.status}"
