"""Checks random requests, faults and restarts of two VMs against a simple model."""

import asyncio
import json

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from heathershunt.clock import ManualClock, Millis
from heathershunt.services.claims import MAX_CLOCK_SKEW_MS
from heathershunt.services.keyed import KEY_NOT_CLAIMED
from heathershunt.services.table import DEDUPLICATION_WINDOW_MS
from heathershunt.verdict import Progress
from tests.services.doubles import DirectForwarder, FaultyStore, Vm

NAMES = ("vm1", "vm2")
FAULTS = st.lists(st.sampled_from(["", "lost", "dropped", "late", "out"]), max_size=3)
STEPS_MS = [500, 60_000, 60_000, 121_000, 184_000]


class AheadClock:
    """A clock whose wall time is ahead of that of the other VM."""

    def __init__(self, clock):
        self._clock = clock

    def now(self):
        return self._clock.now()

    def wall(self):
        return Millis(self._clock.wall() + MAX_CLOCK_SKEW_MS - 1)


class KeyedCallsMachine(RuleBasedStateMachine):
    @initialize(use_homes=st.booleans())
    def begin(self, use_homes):
        self.use_homes = use_homes
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = FaultyStore()
        self.runs = []
        self.runs_by_key = {}
        self.keys = ["a", "b"]
        self.vms_by_name = {}
        for name in NAMES:
            self.start_vm(name, 1)
            self.issue(name)

    def start_vm(self, name, incarnation):
        clock = self.clock if name == "vm1" else AheadClock(self.clock)
        vm = Vm(name, clock, self.store, self.runs, incarnation)
        peers = DirectForwarder(self.vms_by_name)
        vm.keyed.forwarder = peers
        vm.keyed.claims.relay = peers if self.use_homes else None
        vm.keyed.claims.vms = lambda: NAMES
        self.vms_by_name[name] = vm

    def teardown(self):
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    @rule(name=st.sampled_from(NAMES))
    def issue_key(self, name):
        self.issue(name)

    def issue(self, name):
        self.keys.append(self.vms_by_name[name].issuer.issue("parish"))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        incarnation = self.vms_by_name[name].issuer.incarnation + 1
        self.start_vm(name, incarnation)

    @rule(ms=st.sampled_from(STEPS_MS))
    def advance(self, ms):
        self.clock.advance(ms)
        for vm in self.vms_by_name.values():
            vm.table.remove_expired(self.clock.now())

    @rule(
        names=st.lists(st.sampled_from(NAMES), min_size=1, max_size=3),
        own=st.booleans(),
        index=st.integers(0, 1),
        body=st.sampled_from([b"x", b"x", b"y"]),
        faults=st.just([]) | FAULTS,
        lose_claims=st.sampled_from([0, 0, 1]),
        out=st.sampled_from([False, False, False, True]),
        progress=st.sampled_from([*Progress, Progress.ANSWERED]),
    )
    def request(self, names, own, index, body, faults, lose_claims, out, progress):
        """Send the same request to one or several VMs at the same time."""
        key = self.keys[index if own else -1 - index]
        self.store.faults, self.store.is_unavailable = list(faults), out and not faults
        for vm in self.vms_by_name.values():
            vm.dispatcher.plan = [progress]
            vm.keyed.forwarder.lose_claims = lose_claims
        before = len(self.runs)
        calls = [self.vms_by_name[name].call(key, body) for name in names]
        outcomes = self.loop.run_until_complete(_all(calls))
        now = self.clock.now()
        recorded = self.runs_by_key.setdefault(key, [])
        earlier = self.recent(key, now)
        recorded += [(now, run) for run in self.runs[before:]]
        self.check(key, body, outcomes, recorded, earlier, now)

    def recent(self, key, now):
        """Return the runs of a key that a repeat must still take into account."""
        return [
            run
            for at, run in self.runs_by_key[key]
            if key not in ("a", "b") or now - at < DEDUPLICATION_WINDOW_MS
        ]

    def check(self, key, body, outcomes, recorded, earlier, now):
        own = key in ("a", "b")
        for (first, _), (second, _) in zip(recorded, recorded[1:], strict=False):
            assert own and second - first >= DEDUPLICATION_WINDOW_MS
        recent = self.recent(key, now)
        refusals = 0
        for outcome in outcomes:
            if outcome.response.status == 200:
                assert body in recent
                continue
            problem = json.loads(outcome.response.body)
            if problem["verdict"] == "not_run":
                refusals += 1
                # Without the store, a refusal covers its own request only.
                assert problem["title"] == KEY_NOT_CLAIMED or body not in earlier
        # One of several concurrent requests may run after another was refused.
        assert refusals < len(outcomes) or recent == earlier


async def _all(calls):
    return await asyncio.gather(*calls)


KeyedCallsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
)
test_keys_and_claims = KeyedCallsMachine.TestCase
