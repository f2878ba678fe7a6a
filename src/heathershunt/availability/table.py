"""Decides which targets may be sent something new, from what their answers said."""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol, TypeVar

import logbook

from heathershunt.availability.notice import Notice
from heathershunt.clock import Clock, Millis
from heathershunt.logs import Event
from heathershunt.logs.availability_events import (
    TargetLeaving,
    TargetPaused,
    TargetsPassedOver,
)
from heathershunt.ratelimits import AnswerKind

# Targets of which something is kept; those heard of last stay.
MAX_TARGETS = 4096
# Time for which a process that named no start is left alone after it said last that it
# leaves: another process may have its address or id by then.
UNKNOWN_PROCESS_MS = 30_000
# Random time by which a pause lasts longer, as a fraction of it and at most: targets
# that paused together must not all get the waiting work at the same moment.
JITTER_FRACTION = 0.25
MAX_JITTER_MS = 2000
# Random time that is added to what callers are told, so that they don't come back
# together.
RETRY_SPREAD_MS = 100
# What callers are told if all targets leave: nobody knows when others will be there.
UNKNOWN_WAIT_MS = 1000
# A pause that grows by less than this is not logged again.
MIN_LOGGED_GROWTH_MS = 250
PASSED_OVER_PERIOD_MS = 1000
MAX_NAMED_TARGETS = 8
# Time between two log lines about malformed fields: a faulty target sends one with
# each of its answers.
MALFORMED_LOG_PERIOD_MS = 1000

log = logbook.Logger("heathershunt.availability")


class Process(Protocol):
    """A process that takes requests: its id and the time when it started."""

    @property
    def id(self) -> str:
        """Return the id of the process."""

    @property
    def incarnation(self) -> int:
        """Return the time when it started; 0 if unknown."""


AnyProcess = TypeVar("AnyProcess", bound=Process)


@dataclass(frozen=True, slots=True)
class _Known:
    """What is known of one process.

    :param incarnation: wall time in milliseconds when it started; 0 if unknown.
    :param leaving_said_at: time when it said last that it leaves, if ever.
    :param paused_until: end of the pause that it asked for.
    :param resumed_at: the same with the random time on top.
    :param paused_until_wall: the end on the wall clock, for people.
    """

    incarnation: int
    leaving_said_at: Millis | None = None
    paused_until: Millis = Millis(0)
    resumed_at: Millis = Millis(0)
    paused_until_wall: Millis = Millis(0)


class AvailabilityTable:
    """Keeps which targets leave or pause by their own word.

    What is known holds for one process: nothing that an earlier process with the same
    id said holds for a later one.

    :param find: returns the listed target with an id; ``None`` if there is none.
    :param emit: called when a target leaves, pauses or is passed over.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        clock: Clock,
        find: Callable[[str], Process | None],
        emit: Callable[[Event], None],
        source: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._find = find
        self._emit = emit
        self._random = source or random.Random()
        self._known_by_id: dict[str, _Known] = {}
        self._passed_over_at: dict[str, Millis] = {}
        self._malformed_at: Millis | None = None
        # Ids that are away at a time, until the time or what is known changes.
        self._away_at: Millis | None = None
        self._away_ids: set[str] = set()

    # What is known

    def record(
        self,
        target: Process,
        notice: Notice,
        kind: AnswerKind = AnswerKind.REQUEST,
    ) -> None:
        """Apply what an answer of a target said.

        :param target: the target as it was listed when the request was sent.
        """
        if notice.malformed:
            self._log_malformed(target, notice)
        if not notice or notice.process_id not in (None, target.id):
            return
        known = self._known(target) or _Known(target.incarnation)
        if notice.is_leaving:
            if not self._is_leaving(known):
                self._emit(TargetLeaving(target.id, kind.value))
            known = replace(known, leaving_said_at=self._clock.now())
        if notice.pause_ms:
            known = self._with_pause(target.id, known, notice.pause_ms, kind)
        self._put(target.id, known)

    def _with_pause(
        self, target_id: str, known: _Known, pause_ms: int, kind: AnswerKind
    ) -> _Known:
        """Return what is known with a further pause; the latest end holds."""
        now = self._clock.now()
        until = Millis(now + pause_ms)
        if until <= known.paused_until:
            return known
        until_wall = Millis(self._clock.wall() + pause_ms)
        if until - max(now, known.paused_until) >= MIN_LOGGED_GROWTH_MS:
            self._emit(TargetPaused(target_id, pause_ms, until_wall, kind.value))
        jitter_ms = self._random.uniform(
            0, min(MAX_JITTER_MS, pause_ms * JITTER_FRACTION)
        )
        resumed_at = Millis(max(known.resumed_at, until + int(jitter_ms)))
        return replace(
            known,
            paused_until=until,
            resumed_at=resumed_at,
            paused_until_wall=until_wall,
        )

    def _put(self, target_id: str, known: _Known) -> None:
        # The order of insertion is the order of the last notices.
        self._known_by_id.pop(target_id, None)
        self._known_by_id[target_id] = known
        self._away_at = None
        if len(self._known_by_id) > MAX_TARGETS:
            del self._known_by_id[next(iter(self._known_by_id))]

    def _known(self, target: Process) -> _Known | None:
        known = self._known_by_id.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            return None
        return known

    def _is_leaving(self, known: _Known) -> bool:
        if known.leaving_said_at is None:
            return False
        if known.incarnation:
            return True
        return self._clock.now() - known.leaving_said_at < UNKNOWN_PROCESS_MS

    def expire(self) -> None:
        """Forget pauses that are over; called at intervals."""
        now = self._clock.now()
        for target_id, known in list(self._known_by_id.items()):
            if known.resumed_at <= now and not self._is_leaving(known):
                del self._known_by_id[target_id]

    # The decision

    def is_leaving(self, target: Process) -> bool:
        """Return whether a target said that it leaves."""
        known = self._known(target)
        return known is not None and self._is_leaving(known)

    def is_paused(self, target: Process) -> bool:
        """Return whether the pause that a target asked for is not over."""
        known = self._known(target)
        return known is not None and self._clock.now() < known.paused_until

    def usable(
        self,
        service: str,
        targets: Sequence[AnyProcess],
        is_enough: Callable[[Collection[AnyProcess]], bool] = bool,
    ) -> list[AnyProcess]:
        """Return the targets that may be sent something new.

        :param service: name of the service of the targets, for the log.
        :param is_enough: returns whether some of the targets can serve requests. If
            those whose random time is over can't, all whose pause is over are returned.
        """
        usable = self.usable_now(targets, is_enough)
        if len(usable) < len(targets):
            self._log_passed_over(service, targets, usable)
        return usable

    def usable_now(
        self,
        targets: Sequence[AnyProcess],
        is_enough: Callable[[Collection[AnyProcess]], bool] = bool,
    ) -> list[AnyProcess]:
        """Return the same targets as :meth:`usable`, without a log line.

        .. versionadded:: 0.10
        """
        if not self._known_by_id:
            return list(targets)
        away = self._away()
        usable = [
            target
            for target in targets
            if target.id not in away or self._known(target) is None
        ]
        if len(usable) < len(targets) and not is_enough(usable):
            usable = [t for t in targets if self.wait_ms(t) == 0]
        return usable

    def _away(self) -> set[str]:
        """Return the ids under which a process leaves or its random time is not over.

        Most targets are not among them, which keeps the decision cheap.
        """
        now = self._clock.now()
        if self._away_at != now:
            self._away_at = now
            self._away_ids = {
                target_id
                for target_id, known in self._known_by_id.items()
                if known.resumed_at > now or self._is_leaving(known)
            }
        return self._away_ids

    def wait_ms(self, target: Process) -> int | None:
        """Return the time until a target takes requests again; 0 if it takes them now.

        It is ``None`` if the target leaves. No random time is included.
        """
        known = self._known(target)
        if known is None:
            return 0
        if self._is_leaving(known):
            return None
        return max(0, known.paused_until - self._clock.now())

    def first_wait_ms(
        self,
        targets: Sequence[AnyProcess],
        is_enough: Callable[[Collection[AnyProcess]], bool] = bool,
    ) -> int:
        """Return the time until the targets that take requests can serve them.

        It is 0 if they can now, or if they could not with all of them.

        :param is_enough: returns whether some of the targets can serve requests.
        """
        if not self._known_by_id or not is_enough(targets):
            return 0
        waits = [(self.wait_ms(target), target) for target in targets]
        times = sorted({0, *(wait for wait, _ in waits if wait is not None)})
        for time_ms in times:
            back = [t for wait, t in waits if wait is not None and wait <= time_ms]
            if is_enough(back):
                return time_ms
        return UNKNOWN_WAIT_MS

    def retry_after_ms(self, wait_ms: int) -> int:
        """Return what callers are told that have to wait; never less than the wait."""
        spread = min(MAX_JITTER_MS, wait_ms * JITTER_FRACTION) + RETRY_SPREAD_MS
        return wait_ms + int(self._random.uniform(0, spread))

    # What is seen

    @property
    def leaving_count(self) -> int:
        """Return the number of listed targets that said that they leave."""
        return sum(map(self.is_leaving, self._listed()))

    @property
    def paused_count(self) -> int:
        """Return the number of listed targets whose pause is not over."""
        return sum(map(self.is_paused, self._listed()))

    def _listed(self) -> Iterable[Process]:
        return filter(None, map(self._find, self._known_by_id))

    def _log_malformed(self, target: Process, notice: Notice) -> None:
        now = self._clock.now()
        last = self._malformed_at
        if last is not None and now - last < MALFORMED_LOG_PERIOD_MS:
            return
        self._malformed_at = now
        for field in notice.malformed:
            log.warning("ignored a field in an answer of {}: {}", target.id, field)

    def _log_passed_over(
        self, service: str, targets: Sequence[Process], usable: Sequence[Process]
    ) -> None:
        now = self._clock.now()
        last = self._passed_over_at.get(service)
        if last is not None and now - last < PASSED_OVER_PERIOD_MS:
            return
        self._passed_over_at[service] = now
        used = {target.id for target in usable}
        passed = [target for target in targets if target.id not in used]
        reasons = tuple(map(self._reason, passed[:MAX_NAMED_TARGETS]))
        self._emit(TargetsPassedOver(service, len(passed), reasons))

    def _reason(self, target: Process) -> str:
        if self.is_leaving(target):
            return f"{target.id}: leaving by its answer"
        known = self._known_by_id[target.id]
        return f"{target.id}: paused until {known.paused_until_wall}"
