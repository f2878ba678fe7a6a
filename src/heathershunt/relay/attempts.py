"""Runners that one request was sent to, and those it is to avoid."""

from heathershunt.discovery import Target, TargetRegistry
from heathershunt.relay.earlier import EarlierSends


class Attempts:
    """Counts the sends of one stream.

    :param max_heads: number of first runners that the request may be sent to.
    :ivar sends: all sends so far, also to runners that have left since.
    :ivar deliveries: sends that may have reached a runner, if only in part.
    :ivar avoided: ids of runners that failed this request.
    :ivar has_reserved_retry: whether the next send has a retry from the budget.

    .. versionadded:: 0.2
    """

    def __init__(self, registry: TargetRegistry, max_heads: int) -> None:
        self._registry = registry
        self._max_heads = max_heads
        self._heads_by_id: dict[str, Target] = {}
        self.sends = 0
        self.deliveries = 0
        self.avoided: set[str] = set()
        self.has_reserved_retry = False

    def add_earlier(self, earlier: EarlierSends) -> None:
        """Count the sends of the request by other VMs."""
        heads = map(self._registry.get, earlier.target_ids)
        self._heads_by_id = {head.id: head for head in heads if head is not None}
        self.deliveries = earlier.sends
        if earlier.attempts is not None:
            self._max_heads = len(self._heads_by_id) + earlier.attempts

    def all_sends(self, may_have_run: bool) -> EarlierSends:
        """Return all sends so far, and to how many more first runners there may be.

        :param may_have_run: whether a runner may have run the request.
        """
        left = max(0, self._max_heads - len(self._heads_by_id))
        heads = frozenset(self._heads_by_id)
        return EarlierSends(heads, self.deliveries, may_have_run, left, is_counted=True)

    def reserve_retry(self) -> None:
        """Mark the retry of the next send as already taken from the budget."""
        self.has_reserved_retry = True

    def use_reserved_retry(self) -> bool:
        """Return whether a retry was reserved, and use it up."""
        is_reserved, self.has_reserved_retry = self.has_reserved_retry, False
        return is_reserved

    def has_head(self, runner: Target) -> bool:
        """Return whether the request was sent to this first runner before."""
        return runner.id in self._heads_by_id

    def add_head(self, runner: Target) -> None:
        """Count a first runner that received the request."""
        self._heads_by_id[runner.id] = runner

    def remove_head(self, runner: Target) -> None:
        """Stop counting a first runner whose chain a later runner rejected."""
        self._heads_by_id.pop(runner.id, None)

    def allowed_heads(self) -> set[str] | None:
        """Return the ids of the allowed first runners; ``None`` if any is allowed.

        A request is sent to at most ``max_heads`` listed runners, and may be sent to
        each of them again. Ejected ones count: they may still run the request.
        """
        listed = {
            head.id for head in self._heads_by_id.values() if self.is_listed(head)
        }
        return None if len(listed) < self._max_heads else listed

    def may_reroute(self, head: Target) -> bool:
        """Return whether a first runner other than ``head`` is allowed."""
        heads = self.allowed_heads()
        return heads is None or bool(heads - {head.id})

    def is_listed(self, runner: Target) -> bool:
        """Return whether a runner is still listed and neither refuses nor restarted."""
        known = self._registry.get(runner.id)
        if known is None or known.incarnation != runner.incarnation:
            return False
        return not self._registry.has_refused(runner)
