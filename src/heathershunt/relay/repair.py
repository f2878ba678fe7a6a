"""Replacement of runners in the chain of a running stream."""

import asyncio

from heathershunt.discovery import Target
from heathershunt.logs.run_events import ChainNotReplaced, ChainReplaced
from heathershunt.pipelines import Chain, OrderOutcome, OrderReply
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.context import RelayContext
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.runs import Run
from heathershunt.relay.selection import ChainSelection
from heathershunt.relay.spec import StreamSpec

# Chains that are tried for one replacement; a refused order names the runner that lacks
# the layers or the capacity.
MAX_ORDERS = 3


class ChainRepair:
    """Replaces runners at fault in the chain of a running stream.

    The other runners keep the tokens that they have processed, and no retry is spent.

    :ivar replacements: number of replacements so far.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        context: RelayContext,
        spec: StreamSpec,
        selection: ChainSelection,
        attempts: Attempts,
        progress: StreamProgress,
    ) -> None:
        self._context = context
        self._spec = spec
        self._selection = selection
        self._attempts = attempts
        self._progress = progress
        self.replacements = 0

    async def replace(self, run: Run, faulty: Target) -> bool:
        """Replace a runner in the chain of a run; return whether it was replaced."""
        if faulty.id == run.chain.head.id:
            return False
        avoided = {faulty.id}
        for _ in range(MAX_ORDERS):
            chain = self._selection.find_replacement(run.chain, avoided)
            if chain is None:
                return False
            if not run.is_patient and self._should_resend(run, chain):
                return False
            rejecting = await self._send_order(run, chain, faulty)
            if run.chain is chain:
                return True
            if rejecting is None:
                return False
            avoided.add(rejecting.id)
        return False

    def _should_resend(self, run: Run, chain: Chain) -> bool:
        """Return whether to send the stream again rather than replace its chain.

        The retry is taken here: many streams decide at the same moment, and one that
        leaves its chain without a retry fails.
        """
        if not self._selection.is_new_run_faster(chain, run.chain):
            return False
        context = self._context
        has_begun = self._progress.has_begun
        if not context.budget.take(
            self._spec.service, context.vm_count(), has_begun=has_begun
        ):
            return False
        self._attempts.reserve_retry()
        return True

    async def _send_order(
        self, run: Run, chain: Chain, faulty: Target
    ) -> Target | None:
        """Order a chain; return the runner that refused it, if one is named."""
        context = self._context
        request = self._spec.request.id
        # Counted before the reply arrives: other streams choose chains meanwhile.
        context.ledger.add(chain, run.tokens)
        left_ms = max(0, self._spec.deadline - context.clock.now())
        try:
            # A silent runner must not hold the stream beyond its time limit.
            async with asyncio.timeout(left_ms / 1000):
                reply = await context.runners.repath(run.chain.head, request, chain)
        except TimeoutError:
            reply = OrderReply(OrderOutcome.UNKNOWN)
        except BaseException:
            context.ledger.remove(chain, run.tokens)
            raise
        is_done = reply.outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE)
        if not is_done:
            event = ChainNotReplaced(request, faulty.id, reply.outcome.value)
            context.events.emit(event)
        else:
            context.events.emit(
                _replaced_event(request, faulty, reply.outcome, run, chain)
            )
            context.ledger.remove(run.chain, run.tokens)
            run.chain = chain
            self.replacements += 1
            return None
        context.ledger.remove(chain, run.tokens)
        rejecting = chain.runner_at(reply.faulty_address or "")
        if rejecting is not None:
            context.diagnosis.record_rejection(rejecting)
        return rejecting


def _replaced_event(
    request: str, faulty: Target, outcome: OrderOutcome, run: Run, chain: Chain
) -> ChainReplaced:
    before = {part.runner.id for part in run.chain.parts}
    after = [part.runner for part in chain.parts]
    return ChainReplaced(
        request,
        faulty.id,
        outcome.value,
        added=tuple(runner.id for runner in after if runner.id not in before),
        domains=tuple(sorted({runner.domain for runner in after})),
    )
