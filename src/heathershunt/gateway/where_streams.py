"""Where a stream would be sent now."""

from collections.abc import Collection
from dataclasses import dataclass

from heathershunt.discovery import Target
from heathershunt.gateway.where_messages import PartRow, ServiceRow, TargetRow
from heathershunt.gateway.where_reasons import TargetReasons
from heathershunt.pipelines import Chain
from heathershunt.pipelines.estimates import kv_capacity
from heathershunt.pipelines.search import Candidate
from heathershunt.pipelines.versions import of_newest_version
from heathershunt.relay import RelayContext, StreamSpec

NO_LAYERS = "no chain of runners holds all layers"


@dataclass(frozen=True, slots=True)
class _Choice:
    outcome: str
    detail: str
    chain: Chain | None = None


class StreamExplanation:
    """Explains where a stream would be sent; changes nothing.

    :param spec: the stream.
    :param waiting: streams of the service that wait at this VM.

    .. versionadded:: 0.10
    """

    def __init__(self, context: RelayContext, spec: StreamSpec, waiting: int) -> None:
        self._context = context
        self._spec = spec
        self._waiting = waiting
        self._reasons = TargetReasons(context)
        self._entered = context.registry.of_service(spec.service)
        self._usable = context.availability.usable_now(
            self._entered, self._working_hold_layers
        )
        self._spent = context.limits.spent()
        self._vms = context.vm_count()

    def row(self, weight: float) -> ServiceRow:
        """Return what would become of the stream.

        :param weight: share of the requests of the route.
        """
        context, service = self._context, self._spec.service
        choice = self._choose()
        chain = choice.chain
        parts = chain.parts if chain else ()
        return ServiceRow(
            service=service,
            weight=weight,
            outcome=choice.outcome,
            detail=choice.detail,
            parts=tuple(
                PartRow(part.runner.id, part.runner.domain, f"{part.first}-{part.end}")
                for part in parts
            ),
            cost=chain.cost_ms if chain else None,
            retries_left=context.budget.left(service, self._vms),
            begun_retries_left=context.budget.left(service, self._vms, has_begun=True),
            waiting=self._waiting,
            load_age_ms=context.ledger.others_age_ms,
            is_load_reliable=context.ledger.is_reliable,
            targets=self._target_rows({part.runner.id for part in parts}),
        )

    # The choice

    def _choose(self) -> _Choice:
        """Return what :class:`ChainSelection` would do first."""
        wait_ms = int(self._spec.timeouts.capacity_wait_ms)
        refused = self._refusal(wait_ms)
        if refused:
            return _Choice("refuse", refused)
        avoided = {r.id for r in self._entered if self._reasons.is_avoided(r)}
        chain = self._find(avoided, needs_room=True)
        if chain is not None:
            return _Choice("send", "the least estimated time of those drawn", chain)
        detail = f"no chain has room; after {wait_ms} ms it is sent to"
        chain = self._find(avoided, needs_room=False)
        if chain is not None:
            return _Choice("wait", f"{detail} one that seems full", chain)
        is_backed_off = self._context.suspects.is_backed_off
        backed_off = {r.id for r in self._entered if is_backed_off(r)}
        chain = self._find(backed_off, needs_room=False)
        if chain is not None:
            return _Choice("wait", f"{detail} one with suspect runners", chain)
        return _Choice(
            "wait", f"no chain can be used; after {wait_ms} ms it is refused"
        )

    def _refusal(self, wait_ms: int) -> str:
        """Return why the stream is refused at once; empty if it is not.

        :param wait_ms: longest wait for a chain.
        """
        context = self._context
        if not self._hold_layers(self._entered):
            return NO_LAYERS
        away_ms = context.availability.first_wait_ms(self._entered, self._hold_layers)
        if away_ms > wait_ms:
            return "the runners with some of the layers leave or pause"
        heads = [
            runner
            for runner in self._usable
            if runner.held is not None
            and runner.held.first == 0
            and not self._reasons.is_avoided(runner)
        ]
        if (context.limits.wait_ms(heads, self._waiting) or 0) > wait_ms:
            return "all runners have the requests that they take"
        return ""

    def _find(self, avoided: Collection[str], needs_room: bool) -> Chain | None:
        return self._context.chooser.choose(
            self._spec.engine,
            self._usable,
            self._spec.job,
            self._vms,
            avoided,
            needs_room=needs_room,
            barred_heads=self._spent,
        )

    def _hold_layers(self, runners: Collection[Target]) -> bool:
        return self._context.chooser.has_layers(self._spec.engine, runners)

    def _working_hold_layers(self, runners: Collection[Target]) -> bool:
        is_ejected = self._context.suspects.is_ejected
        ejected = {runner.id for runner in runners if is_ejected(runner)}
        chooser = self._context.chooser
        return chooser.has_layers(self._spec.engine, runners, ejected)

    # The runners

    def _target_rows(self, chosen: Collection[str]) -> tuple[TargetRow, ...]:
        """Return a row for each listed runner, in the order of their layers.

        :param chosen: ids of the runners of the chain.
        """
        spec, context = self._spec, self._context
        listed = context.registry.listed(spec.service)
        candidates = context.chooser.candidates(
            spec.engine, listed, spec.job, self._vms
        )
        candidate_by_id = {item.runner.id: item for item in candidates}
        newest = of_newest_version(spec.engine, self._usable, ())
        newest_ids = {runner.id for runner in newest}
        usable_ids = {runner.id for runner in self._usable}

        def order(runner: Target) -> tuple[int, int, str]:
            held = runner.held
            first, end = (held.first, held.end) if held else (spec.engine.layers, 0)
            return first, end, runner.id

        rows = []
        for runner in sorted(listed, key=order):
            candidate = candidate_by_id.get(runner.id)
            left_out = [
                *self._reasons.away(runner, usable_ids),
                *self._reasons.suspected(runner),
                *self._reasons.limited(runner, self._spent),
            ]
            if candidate is None:
                left_out.append("holds no layers of the model")
            elif runner.id in usable_ids and runner.id not in newest_ids:
                left_out.append("holds layers of another version")
            left_out += _shortages(candidate)
            rows.append(
                self._target_row(runner, candidate, left_out, runner.id in chosen)
            )
        return tuple(rows)

    def _target_row(
        self,
        runner: Target,
        candidate: Candidate | None,
        left_out: list[str],
        is_chosen: bool,
    ) -> TargetRow:
        engine = self._spec.engine
        load = self._context.ledger.total(runner.id, self._vms)
        capacity = kv_capacity(engine, runner)
        is_known = 0 < capacity < float("inf")
        cost = None if candidate is None else candidate.layer_ms * engine.layers
        return TargetRow(
            runner.id,
            runner.domain,
            runner.slots,
            is_chosen,
            tuple(left_out),
            load.requests,
            cost=cost,
            kind=runner.kind,
            layers=None if runner.held is None else str(runner.held),
            head_requests=load.head_requests,
            kv_used=load.kv / capacity if is_known else None,
            pace=self._context.chooser.pace(runner.id),
        )


def _shortages(candidate: Candidate | None) -> list[str]:
    """Return what a runner lacks for the request."""
    if candidate is None:
        return []
    shortages = []
    if candidate.room < 1:
        shortages.append("full: no room in its KV cache for one layer")
    if candidate.first == 0 and not candidate.has_slot:
        shortages.append("full: no slot as the first runner")
    return shortages
