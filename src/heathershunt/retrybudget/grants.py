"""Retries that the coordinator granted to this VM, and those it gets back."""

from collections import deque
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis

# Time from the request for a grant until its end. The coordinator counts a grant for
# this time longer, as it may be used so late.
GRANT_TTL_MS = 1000
# A coordinator counts a grant for little more than a window, so that older ones are of
# no use to it.
MAX_UNRETURNED = 64


@dataclass(frozen=True, slots=True)
class GrantId:
    """What a coordinator knows a grant by.

    :param term: time of the coordinator as the first VM of its group.
    :param number: number of the grant in this term.

    .. versionadded:: 0.10
    """

    term: str
    number: int


@dataclass(slots=True)
class Grant:
    """Retries that may be used until ``ends_at``.

    :param has_begun: whether they are for streams that have begun only.
    """

    id: GrantId
    retries: int
    has_begun: bool
    ends_at: Millis


class HeldGrants:
    """Retries of this VM beyond its own part, by service.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._grants_by_service: dict[str, deque[Grant]] = {}
        self._unused_by_service: dict[str, dict[GrantId, int]] = {}

    def add(
        self,
        service: str,
        grant_id: GrantId,
        retries: int,
        has_begun: bool,
        asked_at: Millis,
    ) -> None:
        """Add retries that were granted.

        :param asked_at: time at which the VM asked. A grant that was held up or that a
            frozen VM reads late does not become younger.
        """
        grant = Grant(grant_id, retries, has_begun, Millis(asked_at + GRANT_TTL_MS))
        self._grants_by_service.setdefault(service, deque()).append(grant)

    def count(self, service: str, has_begun: bool) -> int:
        """Return the retries that a request of a service may use."""
        return sum(grant.retries for grant in self._usable(service, has_begun))

    def take(self, service: str, has_begun: bool) -> bool:
        """Use one retry; return whether there was one."""
        usable = self._usable(service, has_begun)
        if not usable:
            return False
        # A stream that has begun leaves the retries that others may use to them.
        grant = max(usable, key=lambda item: (item.has_begun, -item.ends_at))
        grant.retries -= 1
        return True

    def take_unused(self, service: str, term: str | None) -> dict[GrantId, int]:
        """Return the retries that ended without use, and forget them.

        They are told once: a coordinator that got them twice would grant too much.

        :param term: term of the coordinator that is told; ``None`` if it is not known.
        """
        self._drop_ended(service)
        unused = self._unused_by_service.get(service, {})
        return {grant: unused.pop(grant) for grant in [*unused] if grant.term == term}

    def _usable(self, service: str, has_begun: bool) -> list[Grant]:
        self._drop_ended(service)
        return [
            grant
            for grant in self._grants_by_service.get(service, ())
            if grant.retries and (has_begun or not grant.has_begun)
        ]

    def _drop_ended(self, service: str) -> None:
        now = self._clock.now()
        kept: deque[Grant] = deque()
        for grant in self._grants_by_service.pop(service, ()):
            if grant.ends_at > now:
                kept.append(grant)
            elif grant.retries:
                unused = self._unused_by_service.setdefault(service, {})
                unused[grant.id] = grant.retries
                while len(unused) > MAX_UNRETURNED:
                    del unused[next(iter(unused))]
        if kept:
            self._grants_by_service[service] = kept
