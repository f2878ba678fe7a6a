"""Model of VMs that take retries from the budget of one service.

All VMs run the decisions of :mod:`heathershunt.retrybudget` on one clock. Messages take
a moment, and a frozen VM reads them when it resumes. What arrives at targets is counted
in each window and compared with the bound.
"""

import heapq
import itertools
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from heathershunt.clock import ManualClock
from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.topology import Topology
from heathershunt.http import Address
from heathershunt.retrybudget import (
    NO_RECORD,
    FleetRecord,
    GrantLedger,
    HeldGrants,
    Standing,
    Turns,
    WindowBudget,
    WindowBudgetConfig,
)
from heathershunt.retrybudget.fleet import MAX_STARTS
from heathershunt.retrybudget.grants import GrantId
from heathershunt.retrybudget.ledger import MAX_RETRIES_PER_GRANT, Decision
from heathershunt.retrybudget.pacing import CallPacer
from heathershunt.retrybudget.pool import CALL_TIMEOUT_MS

STEP_MS = 50
WINDOW_MS = 10_000
RATIO = 0.2
SLACK_BY_VMS = {4: 196, 9: 220, 33: 350, 71: 326, 78: 600, 390: 2000}
SERVICE = "s"
DOWN_MS = 700
# Time of a message from one VM to another.
MESSAGE_MS = 3
# Time until a VM sees a change of the store.
LAG_MS = 250
# Shortest time from the start of a VM until its entry is written, and more at random.
LISTED_MS = 300
LISTED_SPREAD_MS = 700
UPDATE_MS = 1000
# Time from the start of the first VM until all others see it in the store.
RECORD_MS = 2500
# Larger than any fleet: all VMs divide by head count, as they did before.
NEVER = 10**6


@dataclass(eq=False)
class Process:
    """A process of a VM, with its state and what it knows of the others."""

    name: str
    members: MemberList
    topology: Topology
    own: WindowBudget
    turns: Turns
    ledger: GrantLedger
    held: HeldGrants
    pacer: CallPacer
    starts_at: int
    frozen_until: int = 0
    is_ended: bool = False
    view_at: int = 0
    is_changed: bool = True
    updated_at: int = 0
    group: list[str] = field(default_factory=list)
    coordinators: list[Address | None] = field(default_factory=list)
    hidden_until: dict[str, int] = field(default_factory=dict)
    term_by_address: dict[Address | None, str] = field(default_factory=dict)


class Fleet:
    """VMs that take retries.

    :param is_divided: whether large fleets divide by need; else by head count.
    :param requests_per_s: requests of callers, at random VMs.
    :ivar worst: largest sum of retries in a window over what the bound allows.
    :ivar loses_answer: returns whether an answer of a coordinator is lost.
    :ivar is_cut: whether no VM reaches another one.
    """

    def __init__(
        self,
        vms: int,
        seed: int = 1,
        is_divided: bool = True,
        requests_per_s: float = 40.0,
        slack: float | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.slack = SLACK_BY_VMS[vms] if slack is None else slack
        self._config = WindowBudgetConfig(WINDOW_MS, RATIO, self.slack)
        if not is_divided:
            self._config = WindowBudgetConfig(WINDOW_MS, RATIO, self.slack, NEVER)
        self._requests_per_s = requests_per_s
        # The store has the size of a large fleet only.
        is_large = is_divided and vms > self._config.max_flat_vms
        self._fleet = FleetRecord(vms, [self.clock.wall()]) if is_large else NO_RECORD
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.names = [f"vm-{number:03}" for number in range(vms)]
        self._address = {
            name: Address("10.0.0.1", 1000 + number)
            for number, name in enumerate(self.names)
        }
        self._name_by_address = {item: name for name, item in self._address.items()}
        # Entries of the store: all VMs know each other as the model begins.
        self._listed = set(self.names)
        self.process_by_name = {name: self._process(name) for name in self.names}
        self._retries: deque[int] = deque()
        self._requests: deque[int] = deque()
        self.worst = 0.0
        self.retries = 0
        self.loses_answer: Callable[[], bool] = lambda: False
        self.is_cut = False

    def _process(self, name: str) -> Process:
        clock, config = self.clock, self._config
        members = MemberList(clock)
        for other in self._listed:
            members.put(Member(other, "", "a", self._address[other]))
        turns = Turns(clock, name, members.names, WINDOW_MS, config.max_flat_vms + 1)
        return Process(
            name,
            members,
            Topology(members, name, 500),
            WindowBudget(clock, config, turns, lambda: self._fleet),
            turns,
            GrantLedger(clock, config),
            HeldGrants(clock),
            CallPacer(clock),
            clock.now(),
            view_at=clock.now(),
        )

    # What happens to VMs

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Do something later."""
        at = self.clock.now() + delay_ms
        heapq.heappush(self._events, (at, next(self._order), action))

    def restart(self, name: str, is_planned: bool = False) -> None:
        """End a process and start another one.

        :param is_planned: whether the entry of the VM is removed as it stops; else it
            is there until the new process writes it again.
        """
        self.process_by_name[name].is_ended = True
        if is_planned:
            self.set_listed(name, False)
        delay_ms = DOWN_MS + self.random.randrange(LISTED_SPREAD_MS)
        self.after(delay_ms, lambda: self._start(name))

    def _start(self, name: str) -> None:
        self.process_by_name[name] = process = self._process(name)
        if name == self.names[0]:
            started = self.clock.wall()
            self.after(RECORD_MS, lambda: self._record_start(process, started))
        delay_ms = LISTED_MS + self.random.randrange(LISTED_SPREAD_MS)
        self.after(delay_ms, lambda: self.set_listed(name, True))

    def _record_start(self, process: Process, started: int) -> None:
        if not process.is_ended and self._fleet is not NO_RECORD:
            starts = [*self._fleet.starts, started][-MAX_STARTS:]
            self._fleet = FleetRecord(self._fleet.vms, starts)

    def set_listed(self, name: str, is_listed: bool) -> None:
        """Write or remove the entry of a VM."""
        if is_listed:
            self._listed.add(name)
        else:
            self._listed.discard(name)
        for process in self.process_by_name.values():
            self.after(LAG_MS, lambda process=process: self._learn(process, name))

    def _learn(self, process: Process, name: str) -> None:
        """Let a VM see whether another one is listed."""
        if self._is_away(process, lambda: self._learn(process, name)):
            return
        process.is_changed = True
        hidden_ms = process.hidden_until.get(name, 0) - self.clock.now()
        if hidden_ms > 0:
            process.members.remove(name)
            self.after(hidden_ms, lambda: self._learn(process, name))
        elif name in self._listed:
            process.members.put(Member(name, "", "a", self._address[name]))
        else:
            process.members.remove(name)

    def hide(self, name: str, from_names: list[str], hidden_ms: int) -> None:
        """Let some VMs not see another one for a while."""
        for other in from_names:
            process = self.process_by_name[other]
            process.hidden_until[name] = self.clock.now() + hidden_ms
            self._learn(process, name)

    def freeze(self, name: str, frozen_ms: int) -> None:
        """Let a VM do nothing for a while."""
        process = self.process_by_name[name]
        process.frozen_until = self.clock.now() + frozen_ms

    def _is_away(self, process: Process, action: Callable[[], None]) -> bool:
        """Return whether a process does not act now; if frozen, it acts later."""
        if process.is_ended:
            return True
        frozen_ms = process.frozen_until - self.clock.now()
        if frozen_ms > 0:
            self.after(frozen_ms, action)
        return frozen_ms > 0

    # Time

    def run(self, duration_ms: int, act: Callable[[Process], None]) -> None:
        """Run for some time.

        :param act: called for each VM that runs, in each step.
        """
        end = self.clock.now() + duration_ms
        while self.clock.now() < end:
            self._advance(self.clock.now() + STEP_MS)
            for process in self.running():
                process.view_at = self.clock.now()
                self._update(process)
                process.ledger.update(self._standing(process))
            self._receive_requests()
            for process in self.running():
                act(process)
            self._judge()

    def _update(self, process: Process) -> None:
        """Let a VM take over a change of the others, or of the turn in time."""
        now = self.clock.now()
        if process.is_changed or now - process.updated_at >= UPDATE_MS:
            process.is_changed = False
            process.updated_at = now
            process.turns.update()
            process.group = process.topology.group()
            process.coordinators = process.topology.coordinators()

    def _advance(self, until: int) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0, at - self.clock.now()))
            action()
        self.clock.advance(max(0, until - self.clock.now()))

    def running(self) -> list[Process]:
        """Return the processes that act now."""
        now, processes = self.clock.now(), self.process_by_name.values()
        return [p for p in processes if not p.is_ended and p.frozen_until <= now]

    def _receive_requests(self) -> None:
        running = self.running()
        expected = self._requests_per_s * STEP_MS / 1000
        count = int(expected + self.random.random())
        for _ in range(count if running else 0):
            self.random.choice(running).own.record_request(SERVICE)
            self._requests.append(self.clock.now())

    def _judge(self) -> None:
        now = self.clock.now()
        while self._retries and self._retries[0] <= now - WINDOW_MS:
            self._retries.popleft()
        self.worst = max(self.worst, len(self._retries) / self.allowed())

    def allowed(self) -> float:
        """Return the retries that the bound allows in the window.

        Requests count as in the users' rule: those of the window, of the one before or
        of the one half a window before, whichever has most.
        """
        now = self.clock.now()
        while self._requests and self._requests[0] <= now - 2 * WINDOW_MS:
            self._requests.popleft()
        counts = (
            bisect_right(self._requests, end)
            - bisect_right(self._requests, end - WINDOW_MS)
            for end in (now, now - WINDOW_MS // 2, now - WINDOW_MS)
        )
        return RATIO * max(counts) + self.slack

    def has_left(self) -> bool:
        """Return whether the budget of the fleet has a retry left."""
        return len(self._retries) + 1 <= self.allowed()

    # Retries

    def take(self, process: Process, has_begun: bool = True) -> bool:
        """Let a VM send one retry; return whether it had one."""
        vms = self._known(process)
        if not process.own.take(SERVICE, vms, has_begun=has_begun):
            is_large = process.own.is_large(vms)
            if not is_large or not process.held.take(SERVICE, has_begun):
                return False
            process.own.record_granted(SERVICE)
        self._retries.append(self.clock.now())
        self.retries += 1
        return True

    def _known(self, process: Process) -> int:
        """Return the VMs that a process knows, from the size in the store at first."""
        if process.own.is_settling:
            return max(len(process.members), self._fleet.vms)
        return max(1, len(process.members))

    def _standing(self, process: Process) -> Standing:
        group = process.group
        view_age_ms = self.clock.now() - process.view_at
        is_first = group[:1] == [process.name]
        vms = max(1, len(process.members))
        return Standing(is_first, len(group), vms, view_age_ms)

    def ask(
        self,
        process: Process,
        retries: int = MAX_RETRIES_PER_GRANT,
        has_begun: bool = True,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Let a VM ask for retries, if it may."""
        if not process.own.is_large(self._known(process)):
            return
        usable = process.pacer.usable(SERVICE, process.coordinators)
        if not usable:
            return
        address = usable[0]
        unused = process.held.take_unused(SERVICE, process.term_by_address.get(address))
        if address is None:
            decision = self._decide(process, process, unused, retries, has_begun)
            self._add(process, None, decision, has_begun, self.clock.now())
            on_answer()
            return
        process.pacer.start(SERVICE)
        asked_at = self.clock.now()
        is_open = [True]

        def give_up() -> None:
            if is_open and not self._is_away(process, give_up):
                is_open.clear()
                process.pacer.end(SERVICE)
                process.pacer.record_failure(address)

        self.after(CALL_TIMEOUT_MS, give_up)
        if self.is_cut:
            return
        coordinator = self.process_by_name[self._name_by_address[address]]

        def reach() -> None:
            if self._is_away(coordinator, reach):
                return
            decision = self._decide(process, coordinator, unused, retries, has_begun)
            if not self.loses_answer():
                self.after(MESSAGE_MS, lambda: receive(decision))

        def receive(decision: Decision) -> None:
            if not is_open or self._is_away(process, lambda: receive(decision)):
                return
            is_open.clear()
            process.pacer.end(SERVICE)
            self._add(process, address, decision, has_begun, asked_at)
            on_answer()

        self.after(MESSAGE_MS, reach)

    def _decide(
        self,
        process: Process,
        coordinator: Process,
        unused: Mapping[GrantId, int],
        retries: int,
        has_begun: bool,
    ) -> Decision:
        coordinator.ledger.give_back(process.name, SERVICE, unused)
        return coordinator.ledger.grant(process.name, SERVICE, retries, has_begun)

    def _add(
        self,
        process: Process,
        address: Address | None,
        decision: Decision,
        has_begun: bool,
        asked_at: int,
    ) -> None:
        if decision.id is None:
            process.pacer.record_empty(SERVICE, address)
            return
        process.term_by_address[address] = decision.id.term
        process.held.add(SERVICE, decision.id, decision.retries, has_begun, asked_at)
