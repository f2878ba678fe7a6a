"""Timeline events and metrics of drafts."""

from collections.abc import Collection

from heathershunt.clock import Millis
from heathershunt.drafts.draft import Draft
from heathershunt.drafts.epoch import EpochFailure
from heathershunt.metrics import Metrics
from heathershunt.routing import Chain
from heathershunt.timeline import EventKind, Timeline
from heathershunt.verdict import Refusal, Verdict


class DraftObserver:
    """Records the steps of each draft in the timeline and the metrics.

    .. versionadded:: 0.1
    """

    def __init__(self, timeline: Timeline, metrics: Metrics) -> None:
        self._timeline = timeline
        self._metrics = metrics

    def admitted(self, draft: Draft, now: Millis) -> None:
        """Record that a draft left the admission queue."""
        request = draft.request
        self._timeline.record(
            EventKind.REQUEST_ADMITTED,
            draft.request_id,
            account=request.account,
            model=request.model,
            waited_ms=now - draft.created_at,
        )

    def chain_chosen(
        self,
        draft: Draft,
        chain: Chain,
        excluded: Collection[str],
        keep: Collection[str],
    ) -> None:
        """Record the chain of the next epoch and the inputs of its choice.

        :param excluded: runners that were left out.
        :param keep: runners that were preferred for the KV cache they hold.
        """
        self._timeline.record(
            EventKind.CHAIN_CHOSEN,
            draft.request_id,
            epoch=draft.epoch + 1,
            runners=list(chain.runners()),
            cost_ms=round(chain.cost_ms, 1),
            excluded=sorted(excluded),
            keep=sorted(keep),
        )

    def first_token(self, draft: Draft, now: Millis) -> None:
        """Record the first token of an epoch.

        After a failed epoch this also records the recovery of the draft.
        """
        if draft.first_token_at is None:
            draft.first_token_at = now
            self._metrics.observe_first_token(now - draft.created_at)
        if draft.failed_at is not None:
            self._timeline.record(
                EventKind.EPOCH_RECOVERED,
                draft.request_id,
                epoch=draft.epoch,
                position=len(draft.tokens) - 1,
                recovery_ms=now - draft.failed_at,
            )
            draft.failed_at = None

    def epoch_failed(self, draft: Draft, failure: EpochFailure, now: Millis) -> None:
        """Record a failed epoch."""
        if draft.failed_at is None:
            draft.failed_at = now
        self._metrics.count_epoch("failed")
        self._timeline.record(
            EventKind.EPOCH_FAILED,
            draft.request_id,
            epoch=draft.epoch,
            position=len(draft.tokens),
            suspects=sorted(failure.suspects),
            why=failure.detail,
        )

    def ended(self, draft: Draft, now: Millis) -> None:
        """Record the end of an admitted draft, with or without a complete answer."""
        if draft.is_complete:
            self._metrics.count_epoch("whole")
            if draft.first_token_at is not None:
                tokens = len(draft.tokens) - len(draft.request.received)
                self._metrics.observe_mean_gap(tokens, now - draft.first_token_at)
        self._record_verdict(draft, draft.refusal)

    def refused(self, draft: Draft, refusal: Refusal) -> None:
        """Record a draft that was not admitted."""
        self._record_verdict(draft, refusal)

    def _record_verdict(self, draft: Draft, refusal: Refusal | None) -> None:
        verdict = Verdict.RAN if refusal is None else refusal.verdict
        self._metrics.count_request(verdict, draft.request.priority_name)
        self._timeline.record(
            EventKind.VERDICT,
            draft.request_id,
            verdict=verdict.value,
            tokens=len(draft.tokens),
            why="" if refusal is None else refusal.detail,
        )
