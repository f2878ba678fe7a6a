"""How the process of a target stands after it broke off a request."""

import asyncio
from enum import Enum

from heathershunt.availability import AvailabilityTable
from heathershunt.clock import Clock
from heathershunt.discovery import Fact, Step, Target, TargetRegistry, allows
from heathershunt.discovery.facts import PLANNED
from heathershunt.http import HttpClient
from heathershunt.relay.links import SOUND_LINKS, LinkState

CONNECT_MS = 100


class Ending(Enum):
    """State of a target's process after a connection to it broke.

    :cvar CRASHED: the process has ended or restarted, and had not announced that.
    :cvar LEFT: it was leaving by its entry or an answer, or its entry was gone.
    :cvar RUNS: it accepts connections.
    :cvar UNKNOWN: it neither accepts nor refuses them, as behind a cut link.

    .. versionadded:: 0.8
    """

    CRASHED = "crashed"
    LEFT = "left"
    RUNS = "runs"
    UNKNOWN = "unknown"


class Endings:
    """Finds out how the processes of targets stand that broke requests off.

    A health check would wait for a free slot, so a connection is opened instead.

    :ivar links: links of this VM; a refused connection is taken for an end only if
        another target is reached.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        registry: TargetRegistry,
        http: HttpClient,
        availability: AvailabilityTable,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._availability = availability
        self._http = http
        self._clock = clock
        self.links: LinkState = SOUND_LINKS
        self._checks_by_id: dict[str, asyncio.Task] = {}

    async def find(self, target: Target) -> Ending:
        """Return how the process of a target stands.

        :param target: target as it was listed when the request was sent.
        """
        facts = self._registry.facts(target)
        if self._availability.is_leaving(target):
            facts.add(Fact.LEAVING)
        if not PLANNED.isdisjoint(facts):
            return Ending.LEFT
        if allows(Step.BLAME, facts - {Fact.REFUSES}):
            return Ending.CRASHED
        accepts = await self._accepts(target)
        if accepts is None:
            return Ending.UNKNOWN
        return Ending.RUNS if accepts else Ending.CRASHED

    def check(self, target: Target) -> None:
        """Look in the background whether a process has ended, and record an end.

        The requests that a target broke off together share one check.
        """
        is_checked = target.id in self._checks_by_id
        if not is_checked and not self._registry.has_refused(target):
            task = asyncio.create_task(self._accepts(target))
            self._checks_by_id[target.id] = task
            task.add_done_callback(lambda _: self._checks_by_id.pop(target.id, None))

    async def _accepts(self, target: Target) -> bool | None:
        since = self._clock.now()
        accepts = await self._http.accepts(target.address, CONNECT_MS)
        if accepts is not False:
            return accepts
        if not await self.links.has_reached_other(target.id, since):
            return None
        self._registry.record_refusal(target)
        return False
