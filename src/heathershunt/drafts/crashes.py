"""What drafts show about prompts that crash runners, and whether one may run."""

from heathershunt.clock import Clock, Millis
from heathershunt.crashes import (
    Evidence,
    PartGuard,
    RequestKeys,
    RunnerCrash,
    request_key,
)
from heathershunt.drafts.draft import Draft
from heathershunt.drafts.engine import EngineClient
from heathershunt.drafts.epoch import EpochFailure
from heathershunt.routing import Chain
from heathershunt.runners import RunnerRegistry, prefix_hashes
from heathershunt.verdict import Refusal, may_have_run, not_run

# Weight of the epochs of a draft that may end together with a runner.
MAX_CRASHES_PER_DRAFT = 2.0


class DraftCrashes:
    """Records the crashes under one draft, and checks the draft's prompt.

    The parts of a prompt are its prefixes, as in the caches of the engines, and the
    whole of it.

    :param guard: shared by the drafts of this VM.

    .. versionadded:: 0.6
    """

    def __init__(
        self,
        draft: Draft,
        guard: PartGuard,
        engine: EngineClient,
        registry: RunnerRegistry,
        clock: Clock,
    ) -> None:
        self._draft = draft
        self._guard = guard
        self._engine = engine
        self._registry = registry
        self._clock = clock
        request = draft.request
        # Words after the last block are in no prefix, so the whole prompt has a key.
        own = request_key("", request.model, request.account, request.prompt.encode())
        self._keys = RequestKeys(own, tuple(prefix_hashes(request.prompt)))
        self._draw = guard.draw()
        self._crashes = 0.0
        # Time of the first token of the epoch that runs.
        self._began_at: Millis | None = None

    def refusal(self) -> Refusal | None:
        """Return the refusal of a draft that must not run or not run again."""
        account = self._draft.request.account
        block = self._guard.block(account, self._keys.all, self._draw)
        if block is None and self._crashes < MAX_CRASHES_PER_DRAFT:
            return None
        detail = "runners crashed when they began to write on this prompt"
        if self._draft.may_have_started or block is None:
            return may_have_run(502, "Prompt crashes runners", detail)
        return not_run(503, "Prompt blocked", detail, self._guard.left_ms(block))

    def on_first_token(self) -> None:
        """Record that a runner wrote on the prompt."""
        self._began_at = self._clock.now()
        self._guard.record_writing(self._keys.all)

    def on_complete(self) -> None:
        """Record that the draft came to its end."""
        if self._began_at is not None:
            lasted_ms = max(1, self._clock.now() - self._began_at)
            parts = self._keys.parts
            self._guard.record_outlasting(parts, self._began_at, lasted_ms)
        self._guard.record_answer(self._keys.own)

    async def on_failed_epoch(
        self, chain: Chain, failure: EpochFailure, started_at: Millis
    ) -> None:
        """Record an epoch that failed, if one of its runners has ended.

        A runner that only fell silent, or that was leaving, says nothing about the
        prompt.

        :param started_at: time when the epoch began.
        """
        began_at, self._began_at = self._began_at, None
        if not self._draft.may_have_started or not failure.is_confirmed:
            return
        evidence = Evidence.BEGUN if began_at is None else Evidence.WRITING
        wrote_ms = 0 if began_at is None else self._clock.now() - began_at
        for stage in chain.stages:
            if stage.runner not in failure.suspects:
                continue
            known = self._registry.states_by_runner.get(stage.runner)
            incarnation = known.report.incarnation if known else None
            view = self._registry.views_by_runner.get(stage.runner)
            if view is not None and view.leaving:
                continue
            if not await self._engine.has_ended(stage, incarnation):
                continue
            self._crashes += evidence.value
            self._guard.record_crash(
                self._draft.request.account,
                self._keys,
                RunnerCrash(stage.runner, incarnation or 0),
                started_at,
                evidence,
                wrote_ms,
            )
            return
