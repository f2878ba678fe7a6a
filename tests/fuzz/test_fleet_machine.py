"""Random traffic and faults on real processes, checked against the stand-ins' ledgers.

``HEATHERSHUNT_FUZZ=long`` runs longer with a random seed, or with the seed given in
``HEATHERSHUNT_FUZZ_SEED``.
"""

import asyncio
import itertools
import os
import random
import time
from collections import Counter

import pytest
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.fuzz.checks import (
    check_drafts,
    check_layers,
    check_orders,
    check_refused_drafts,
    check_versions,
)
from tests.fuzz.faults import FAULTS
from tests.fuzz.fleet import BUNDLE_SECONDS, DAEMONS, DRAINED_SECONDS, FuzzFleet
from tests.fuzz.traffic import Traffic

IS_LONG = os.environ.get("HEATHERSHUNT_FUZZ") == "long"
EXAMPLES, STEPS = (20, 30) if IS_LONG else (3, 12)
LONG_SECONDS = 3600
CI_SECONDS = 110
# A draft has 30 s (the default deadline of the bundle) until its first token, and a
# caller needs up to 4 s to detect a silent connection. No other wait follows these.
FINAL_ANSWER_SECONDS = 35

PLACES = st.integers(0, 1000)
VMS = st.sampled_from(DAEMONS)
PAUSES = st.sampled_from([0.02, 0.2, 0.6])
FAULT_SETS = st.lists(
    st.tuples(st.sampled_from(list(FAULTS)), PLACES), min_size=1, max_size=2
)
PRELUDES = st.lists(FAULT_SETS, min_size=2, max_size=4)
KINDS = st.sampled_from(["own", "issued", "none"])
# Tokens and delay that keep the draft and the order running when faults are injected.
BUSY_TOKENS, BUSY_ORDER_MS, BUSY_SECONDS = 150, 400, 0.2
TOTALS: Counter[str] = Counter()
REPORTS: list[str] = []
_examples = itertools.count(1)


class FleetMachine(RuleBasedStateMachine):
    @initialize(prelude=PRELUDES, vm=VMS)
    def begin(self, prelude, vm):
        """Start the fleet; no example goes without faults."""
        self.loop = asyncio.new_event_loop()
        self.fleet = FuzzFleet()
        self.traffic = Traffic(self.fleet, f"e{next(_examples)}")
        self.keys = []
        self.run(self.fleet.start())
        for faults in prelude:
            self.inject_now(faults, vm, "own")

    def run(self, work):
        return self.loop.run_until_complete(work)

    def rest(self, seconds):
        TOTALS["steps"] += 1
        self.run(asyncio.sleep(seconds))

    @rule(vm=VMS, count=st.integers(1, 200), more=st.integers(0, 3), pause=PAUSES)
    def start_drafts(self, vm, count, more, pause):
        for _ in range(1 + more):
            self.run(self._call(self.traffic.start_draft, vm, count))
        self.rest(pause)

    @rule(vm=VMS, kind=KINDS, delay_ms=st.sampled_from([0, 0, 300]), pause=PAUSES)
    def place_order(self, vm, kind, delay_ms, pause):
        self.run(self._order(vm, kind, delay_ms))
        self.rest(pause)

    async def _order(self, vm, kind, delay_ms):
        key = await self.traffic.issued_key(vm) if kind == "issued" else ""
        if key is None:
            return
        if kind == "own":
            key = self.traffic.own_key()
        body = f"order with key {key}" if key else ""
        if key:
            self.keys.append((key, body))
        self.traffic.order(vm, key, body, delay_ms)

    @rule(places=st.lists(PLACES, min_size=1, max_size=4), vm=VMS, pause=PAUSES)
    def repeat_orders(self, places, vm, pause):
        for place in places if self.keys else ():
            key, body = self.keys[-1 - place % len(self.keys)]
            self.run(self._call(self.traffic.order, vm, key, body))
        self.rest(pause)

    async def _call(self, action, *arguments):
        action(*arguments)

    @rule(faults=FAULT_SETS, vm=VMS, kind=KINDS, pause=PAUSES)
    def inject(self, faults, vm, kind, pause):
        """Inject one or two faults while a draft and an order run."""
        self.inject_now(faults, vm, kind)
        self.rest(pause)

    def inject_now(self, faults, vm, kind):
        self.run(self._call(self.traffic.start_draft, vm, BUSY_TOKENS))
        self.run(self._order(vm, kind, BUSY_ORDER_MS))
        self.run(asyncio.sleep(BUSY_SECONDS))
        for name, place in faults:
            if self.run(FAULTS[name](self.fleet, place)):
                TOTALS[f"fault {name}"] += 1
        if len(faults) == 2:
            TOTALS["pairs of faults"] += 1

    def teardown(self):
        try:
            if self.fleet.proxy is not None and self.fleet.callers_by_daemon:
                self.run(self._settle())
        finally:
            self.run(self.traffic.cancel())
            self.run(self.fleet.stop())
            self.loop.close()

    async def _settle(self):
        """End the faults, then check everything that was promised."""
        await self._check_drained()
        await self.fleet.repair()
        await self.fleet.admit_all()
        ended = time.monotonic()
        await self._check_versions(ended)
        remaining = FINAL_ANSWER_SECONDS - (time.monotonic() - ended)
        await self.traffic.finish(remaining)
        runs, orders = await self.fleet.engine_runs(), await self.fleet.orders()
        check_layers(runs)
        check_drafts(self.traffic.drafts)
        check_refused_drafts(self.traffic.drafts, runs)
        REPORTS.extend(check_orders(self.traffic.attempts, orders))
        check_versions(self.fleet.versions_by_process)
        self._count()

    async def _check_drained(self):
        """Ask each drained VM for a draft when its bound has passed."""
        for vm, at in list(self.fleet.drained_at_by_vm.items()):
            if self.fleet.is_up(vm) and at != float("inf"):
                wait = at + DRAINED_SECONDS - time.monotonic() + 0.1
                await asyncio.sleep(max(0.0, wait))
                await self.traffic.check_refuses(vm)
                TOTALS["drained VMs asked"] += 1

    async def _check_versions(self, ended):
        root = (await self.fleet.store_root()).root()
        assert root.version >= max(self.fleet.accepted)
        counts = Counter(self.fleet.accepted)
        assert max(counts.values()) == 1, f"two rolls of one version: {counts}"
        behind = dict.fromkeys(DAEMONS, 0)
        while behind:
            for name in list(behind):
                behind[name] = await self.fleet.version(name)
                if behind[name] >= root.version:
                    del behind[name]
            late = time.monotonic() - ended > BUNDLE_SECONDS
            assert not (behind and late), f"version {root.version}: {behind}"
            await asyncio.sleep(0.05)

    def _count(self):
        drafts, attempts = self.traffic.drafts, self.traffic.attempts
        TOTALS["examples"] += 1
        TOTALS["drafts"] += len(drafts)
        TOTALS["whole drafts"] += sum(draft.final.is_complete for draft in drafts)
        TOTALS["resumed drafts"] += sum(draft.resumes > 0 for draft in drafts)
        TOTALS["continued drafts"] += sum(bool(draft.prefix) for draft in drafts)
        TOTALS["order attempts"] += len(attempts)
        TOTALS["orders answered"] += sum(a.status == 200 for a in attempts)
        TOTALS["orders not_run"] += sum(a.verdict == "not_run" for a in attempts)


@pytest.mark.timeout(LONG_SECONDS if IS_LONG else CI_SECONDS)
def test_fleet_keeps_guarantees_under_faults(capsys):
    """Combined faults must not lose a token, run an order twice or hang a caller."""
    limits = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=not IS_LONG,
        database=None,
        deadline=None,
        # Shrinking would start the whole fleet several hundred times.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        print_blob=True,
    )
    seed_number = int(os.environ.get("HEATHERSHUNT_FUZZ_SEED", random.randrange(2**32)))
    machine = FleetMachine
    with capsys.disabled():
        mode = f"seed {seed_number}" if IS_LONG else "derandomized"
        print(f"\nfleet machine: {EXAMPLES} examples of {STEPS} steps, {mode}")
    if IS_LONG:
        machine = seed(seed_number)(machine)
    try:
        run_state_machine_as_test(machine, settings=limits)
    finally:
        with capsys.disabled():
            for name, count in sorted(TOTALS.items()):
                print(f"  {name}: {count}")
            print(f"  keys run before a not_run: {len(REPORTS)}")
