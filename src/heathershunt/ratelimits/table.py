"""The limits that targets have named, as far as this VM knows."""

from collections.abc import Callable

from heathershunt.discovery import Target
from heathershunt.logs import Event
from heathershunt.logs.events import LimitNamed, LimitWithdrawn
from heathershunt.ratelimits.statement import Statement


class LimitTable:
    """Keeps the last statement of each target that has named a limit.

    :param emit: called when a target names another limit, or none any more.

    .. versionadded:: 0.7
    """

    def __init__(self, emit: Callable[[Event], None]) -> None:
        self._emit = emit
        self._statement_by_id: dict[str, Statement] = {}

    def record(self, target: Target, statement: Statement) -> None:
        """Apply what an answer of a target said."""
        before = self._statement_by_id.get(target.id)
        limit_before = before.per_s if before else None
        if statement.per_s is None and before is None:
            return
        self._statement_by_id[target.id] = statement
        if statement.per_s == limit_before:
            return
        kind = statement.kind.value
        if statement.per_s is None:
            self._emit(LimitWithdrawn(target.id, kind))
        else:
            self._emit(LimitNamed(target.id, statement.per_s, kind))
