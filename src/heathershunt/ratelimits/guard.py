"""Keeps what this VM sends to targets within its part of the limits that they name."""

from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from heathershunt.clock import Clock
from heathershunt.logs import Event
from heathershunt.logs.events import LimitNamed, LimitWithdrawn
from heathershunt.ratelimits.bucket import MILLISECONDS_PER_SECOND, RateLimit
from heathershunt.ratelimits.demand import DemandTable
from heathershunt.ratelimits.messages import MAX_LIMITS, LimitDigest
from heathershunt.ratelimits.shares import ring_of, sender_count, share_per_s
from heathershunt.ratelimits.statement import AnswerKind, Statement
from heathershunt.ratelimits.table import KnownLimit, LimitTable

# Time after its start for which a VM sends nothing to targets that name a limit: it may
# not know all other VMs yet.
START_MS = 1500
# Time whose tokens a VM may use at once.
BURST_MS = 100
# Checks and orders are sent though no token is left; requests then wait for at most so
# many tokens.
MAX_DEBT = 2.0
# Interval at which the parts follow the demands.
DEMAND_PERIOD_MS = 1000
# Longest wait that is told, as a limit may be withdrawn at any time.
MAX_WAIT_MS = 5000
# The same for a target to which other VMs send: the caller may be served by those.
OTHER_VM_WAIT_MS = 1000


class Process(Protocol):
    """A process that takes requests: its id and the time when it started."""

    @property
    def id(self) -> str:
        """Return the id of the process."""

    @property
    def incarnation(self) -> int:
        """Return the wall time in milliseconds when the process started."""


class LimitGuard:
    """Decides whether this VM may send a request to a target now.

    :param vm: name of this VM.
    :param vms: called for the names of all VMs that receive requests.
    :param find: returns the listed target with an id; ``None`` if there is none.
    :param emit: called when a target names another limit, or none any more.
    :ivar on_news: called when an answer to this VM changed what is known of a limit, so
        that the other VMs should learn of it at once.

    .. versionadded:: 0.7
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        vms: Callable[[], Collection[str]],
        find: Callable[[str], Process | None],
        emit: Callable[[Event], None],
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = vms
        self._find = find
        self._emit = emit
        self._sends_from = clock.now() + START_MS
        self._limits = LimitTable()
        self._demands = DemandTable(vm)
        self._demand_by_vm: dict[str, float] = {}
        self._demand_taken_at = clock.now()
        self._names = frozenset((vm,))
        self._ring = ring_of(self._names)
        # Requests a second that this VM may send, by target; targets to which it sends
        # none are in the set.
        self._share_by_target: dict[str, float] = {}
        self._closed: set[str] = set()
        self._bucket_by_target: dict[str, RateLimit] = {}
        self.on_news: Callable[[], None] = lambda: None

    @property
    def limited_count(self) -> int:
        """Return the number of targets that name a limit."""
        return len(self._share_by_target) + len(self._closed)

    # Requests

    def record_request(self) -> None:
        """Count a request of a caller of this VM."""
        self._demands.record_request(self._clock.now())

    def spent(self) -> set[str]:
        """Return the ids of the targets to which this VM may send no request now."""
        empty = {
            target_id
            for target_id in self._share_by_target
            if self._wait_for(target_id) > 0
        }
        return empty | self._closed if empty else self._closed

    def may_check(self, target: Process) -> bool:
        """Return whether to send a check now that no request waits for."""
        return self._wait_for(target.id) == 0

    def wait_ms(self, targets: Sequence[Process], waiting: int = 0) -> int | None:
        """Return the time until one of the targets may be sent a request; 0 for now.

        It is ``None`` if there are no targets.

        :param waiting: requests that wait for these targets already.
        """
        waits: list[float] = [self._wait_for(target.id) for target in targets]
        if not waits:
            return None
        if all(waits) and waiting:
            shares = (self._share_by_target.get(t.id, 0.0) for t in targets)
            rate = max(sum(shares), MILLISECONDS_PER_SECOND / MAX_WAIT_MS)
            waits = [wait + waiting * MILLISECONDS_PER_SECOND / rate for wait in waits]
        return min(MAX_WAIT_MS, int(min(waits)))

    def record_send(self, target: Process) -> None:
        """Count something that is sent to a target: a request, a check or an order."""
        bucket = self._bucket_by_target.get(target.id)
        if bucket is not None:
            bucket.take(MAX_DEBT)

    def _wait_for(self, target_id: str) -> int:
        share = self._share_by_target.get(target_id)
        if share is None:
            return OTHER_VM_WAIT_MS if target_id in self._closed else 0
        now = self._clock.now()
        wait = self._bucket_by_target[target_id].wait_ms(share, now)
        return max(wait, self._sends_from - now)

    # What is known

    def record(self, target: Process, statement: Statement) -> None:
        """Apply what an answer of a target said."""
        known_at = statement.sent_at
        if statement.per_s is not None:
            known_at = self._clock.now()
        limit = KnownLimit(target.incarnation, statement.per_s, known_at)
        if self._put(target.id, limit, statement.kind):
            self.on_news()

    def _put(self, target_id: str, limit: KnownLimit, kind: AnswerKind) -> bool:
        target = self._find(target_id)
        if target is None or target.incarnation != limit.incarnation:
            return False
        if not self._limits.put(target_id, limit):
            return False
        self._set_share(target_id, limit.per_s)
        if limit.per_s is None:
            self._emit(LimitWithdrawn(target_id, kind.value))
        else:
            self._emit(LimitNamed(target_id, limit.per_s, kind.value))
        return True

    def digest(self) -> LimitDigest:
        """Return what the other VMs are told."""
        return LimitDigest.from_tables(self._limits, self._demands, self._clock.now())

    def merge(self, digest: LimitDigest) -> None:
        """Add what another VM knows."""
        now = self._clock.now()
        for row in digest.limits[:MAX_LIMITS]:
            before = self._limits.get(row.target)
            if row.is_valid and not row.says_same(before):
                self._put(row.target, row.limit(now), AnswerKind.PEER)
        digest.apply_demands(self._demands, now)

    def on_target(self, target_id: str) -> None:
        """Forget the limit of a target that is gone or has restarted."""
        known = self._limits.get(target_id)
        target = self._find(target_id)
        if known is None or (target and target.incarnation == known.incarnation):
            return
        self._limits.discard(target_id)
        self._set_share(target_id, None)

    def update(self) -> None:
        """Take over changes of the VMs and their demands; called at short intervals."""
        if not self._limits:
            return
        now = self._clock.now()
        self._limits.expire(now)
        names = frozenset((*self._vms(), self._vm))
        has_other_vms = names != self._names
        if has_other_vms:
            self._names = names
            self._demands.keep_only(names)
            self._ring = ring_of(names)
        if has_other_vms or now - self._demand_taken_at >= DEMAND_PERIOD_MS:
            self._demand_taken_at = now
            known = self._demands.known(now)
            self._demand_by_vm = {vm: demand.per_s for vm, demand in known.items()}
            for target_id, per_s in self._limits.limited().items():
                self._set_share(target_id, per_s)

    def _set_share(self, target_id: str, per_s: float | None) -> None:
        """Set this VM's part of a limit; ``None`` if the target names no limit."""
        self._closed.discard(target_id)
        if per_s is None:
            self._share_by_target.pop(target_id, None)
            self._bucket_by_target.pop(target_id, None)
            return
        count = sender_count(per_s, len(self._names))
        senders = self._ring.senders(target_id, count)
        share = share_per_s(self._vm, senders, per_s, self._demand_by_vm)
        if share <= 0:
            self._closed.add(target_id)
            self._share_by_target.pop(target_id, None)
            self._bucket_by_target.pop(target_id, None)
            return
        self._share_by_target[target_id] = share
        if target_id not in self._bucket_by_target:
            # What was sent before the limit was known counts too.
            bucket = RateLimit(BURST_MS, share, self._clock.now(), is_full=False)
            self._bucket_by_target[target_id] = bucket
