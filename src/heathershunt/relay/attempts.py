"""Runners that one request was sent to, and those it is to avoid."""

from heathershunt.discovery import Target, TargetRegistry


class Attempts:
    """Counts the sends of one stream.

    :param most: runners that the request may go to.
    :ivar sends: sends so far, whatever befell the runners.
    :ivar arrivals: sends of which a runner may have received something.
    :ivar avoided: ids of runners that failed this request.

    .. versionadded:: 0.2
    """

    def __init__(self, registry: TargetRegistry, max_heads: int) -> None:
        self._registry = registry
        self._max_heads = max_heads
        self._heads_by_id: dict[str, Target] = {}
        self.sends = 0
        self.deliveries = 0
        self.avoided: set[str] = set()
        self._has_reserved_retry = False

    def reserve_retry(self) -> None:
        """Note that the next send has its repeat taken from the budget already."""
        self._has_reserved_retry = True

    def use_reserved_retry(self) -> bool:
        """Return whether a repeat was reserved, and use it."""
        is_reserved, self._has_reserved_retry = self._has_reserved_retry, False
        return is_reserved

    def has_head(self, runner: Target) -> bool:
        """Return whether the request went to this runner before."""
        return runner.id in self._heads_by_id

    def add_head(self, runner: Target) -> None:
        """Count a first runner that took the request."""
        self._heads_by_id[runner.id] = runner

    def remove_head(self, runner: Target) -> None:
        """Uncount a first runner that rejected it on account of a later one."""
        self._heads_by_id.pop(runner.id, None)

    def allowed_heads(self) -> set[str] | None:
        """Return the runners that may come first; ``None`` if any may.

        A request goes to no more than ``most`` runners that are listed; to the same
        one it may go again. That a runner was blamed is no proof of its end.
        """
        listed = {
            head.id for head in self._heads_by_id.values() if self._is_listed(head)
        }
        return None if len(listed) < self._max_heads else listed

    def may_reroute(self, head: Target) -> bool:
        """Return whether another runner than ``head`` may come first."""
        heads = self.allowed_heads()
        return heads is None or bool(heads - {head.id})

    def _is_listed(self, runner: Target) -> bool:
        """Return whether the store lists the same start of a runner."""
        known = self._registry.get(runner.id)
        return known is not None and known.born == runner.born
