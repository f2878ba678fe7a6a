"""The age of a view is never understated, and a view that can be fresh is fresh.

Nine VMs: three watch the store, three follow those, three follow the followers. Faults
are drawn at random, may overlap and end; a writer keeps changing the store. The oracle
records when each change was acknowledged.
"""

import asyncio
from dataclasses import dataclass

from hypothesis import given, settings, strategies
from result import Err, Ok

from heathershunt.coordination import (
    Changes,
    Entry,
    MirroredStore,
    Snapshot,
    StoreError,
    StoreFailure,
    StoreView,
    ViewConfig,
    ViewMirror,
)
from heathershunt.gateway.topology import (
    MAX_INTERMEDIATE_VIEW_AGE_MS,
    MAX_VIEW_AGE_MS,
    WAIT_WITH_FOLLOWERS_MS,
)
from heathershunt.http import Address, Request, TransportError
from heathershunt.verdict import Progress
from tests.coordination import virtual_time

VMS = 9
RUN_MS = 20_000
WRITE_MS = 170
CHECK_MS = 50
HOP_MS = 2
CALL_TIMEOUT_MS = 700
# The shortest time to apply a configuration (config_apply_ms) in any deployment file.
FRESH_MS = 2000
# Time without a fault between a VM and the store after which its view must be fresh.
CALM_MS = 3000


@dataclass(frozen=True)
class Fault:
    """A fault of some VMs during a period."""

    kind: str
    vms: frozenset[int]
    from_ms: int
    for_ms: int

    def affects(self, kinds, vm, now):
        is_now = self.from_ms <= now < self.from_ms + self.for_ms
        return is_now and self.kind in kinds and vm in self.vms


faults = strategies.lists(
    strategies.builds(
        Fault,
        strategies.sampled_from(
            [
                "store silent",
                "store refuses",
                "answers lost",
                "peers silent",
                "paused",
                "restarted",
            ]
        ),
        strategies.frozensets(strategies.integers(0, VMS - 1), min_size=1),
        strategies.integers(1000, 14_000),
        strategies.integers(200, 6000),
    ),
    max_size=6,
)


class Site:
    """The store, the views of the VMs and the faults drawn for them."""

    def __init__(self, drawn):
        self.faults = drawn
        self.started = asyncio.get_running_loop().time()
        self.revision = 1
        self.acknowledged_at = {1: 0}
        self.written = asyncio.Event()
        self.vms = [Vm(self, number) for number in range(VMS)]
        self.runs = [asyncio.create_task(vm.view.run()) for vm in self.vms]

    def now(self):
        return int((asyncio.get_running_loop().time() - self.started) * 1000)

    def has_fault(self, vm, *kinds):
        return any(f.affects(kinds, vm, self.now()) for f in self.faults)

    def is_calm(self, vm):
        """Return whether the VM had no fault towards the store for ``CALM_MS``."""
        now = self.now()
        store_faults = (
            "store silent",
            "store refuses",
            "answers lost",
            "paused",
            "restarted",
        )
        return not any(
            vm in f.vms
            and f.kind in store_faults
            and f.from_ms < now
            and f.from_ms + f.for_ms > now - CALM_MS
            for f in self.faults
        )

    async def write(self):
        while True:
            await asyncio.sleep(WRITE_MS / 1000)
            self.revision += 1
            self.acknowledged_at[self.revision] = self.now()
            self.written.set()
            self.written = asyncio.Event()

    async def restart(self, fault):
        """Stop the processes of some VMs and start them again with empty state."""
        await asyncio.sleep(fault.from_ms / 1000)
        for vm in fault.vms:
            self.runs[vm].cancel()
            self.vms[vm] = Vm(self, vm)
        await asyncio.sleep(fault.for_ms / 1000)
        for vm in fault.vms:
            self.runs[vm].cancel()
            self.runs[vm] = asyncio.create_task(self.vms[vm].view.run())

    async def until_not_paused(self, vm):
        while self.has_fault(vm, "paused"):
            await asyncio.sleep(0.01)

    async def exchange(self, address, method, path, *, timeout_ms, limit, correlated):
        """Stand in for the HTTP client; the host is ``source-target``."""
        source, target = (int(part) for part in address.host.split("-"))
        query = dict(
            pair.split("=") for pair in path.partition("?")[2].split("&") if pair
        )
        request = Request("GET", path.partition("?")[0], query, {}, b"")
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                if self.has_fault(target, "restarted"):
                    return Err(TransportError(Progress.NOT_SENT, "refused"))
                if self.has_fault(source, "peers silent"):
                    await asyncio.sleep(3600)
                if self.has_fault(target, "peers silent"):
                    await asyncio.sleep(3600)
                await asyncio.sleep(HOP_MS / 1000)
                await self.until_not_paused(target)
                response = await self.vms[target].mirror.handle(request)
                await self.until_not_paused(target)
                await asyncio.sleep(HOP_MS / 1000)
        except TimeoutError:
            return Err(TransportError(Progress.SENT, "timed out"))
        return Ok((response.status, response.body))


class VmStore:
    """The store as one VM reaches it."""

    def __init__(self, site, vm):
        self.site = site
        self.vm = vm

    async def _call(self, call, timeout_ms):
        site, vm = self.site, self.vm
        if site.has_fault(vm, "store refuses"):
            return Err(StoreError(StoreFailure.REJECTED, "refused"))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                if site.has_fault(vm, "store silent"):
                    await asyncio.sleep(3600)
                await asyncio.sleep(HOP_MS / 1000)
                found = await call()
                if site.has_fault(vm, "answers lost", "store silent"):
                    await asyncio.sleep(3600)
                await asyncio.sleep(HOP_MS / 1000)
                return Ok(found)
        except TimeoutError:
            return Err(StoreError(StoreFailure.UNKNOWN, "timed out"))

    async def read_all(self, prefix):
        async def read():
            revision = self.site.revision
            return Snapshot((Entry("c", b"%d" % revision, revision),), revision)

        return await self._call(read, CALL_TIMEOUT_MS)

    async def watch(self, prefix, revision, wait_ms):
        async def wait():
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    while self.site.revision <= revision:
                        await self.site.written.wait()
            except TimeoutError:
                return Changes((), revision)
            newest = self.site.revision
            return Changes((("c", Entry("c", b"%d" % newest, newest)),), newest)

        return await self._call(wait, wait_ms + 500)


class Vm:
    """One VM: its view, and the mirror for those that follow it."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.seen_revision = 0
        first = None if number < 3 else 0 if number < 6 else 3
        followed = [] if first is None else range(first, first + 3)
        addresses = [Address(f"{number}-{other}", 1) for other in followed]
        most_age_ms = MAX_VIEW_AGE_MS if number < 6 else MAX_INTERMEDIATE_VIEW_AGE_MS
        self.view = StoreView(
            MirroredStore(
                VmStore(site, number),
                site,
                site.now,
                lambda: addresses,
                lambda: most_age_ms,
            ),
            self,
            ViewConfig(wait_ms=1800),
            "",
            self._on_snapshot,
            self._on_changes,
            lambda silent_ms: None,
            lambda: WAIT_WITH_FOLLOWERS_MS,
        )
        self.mirror = ViewMirror(lambda: self.view.age_ms)

    def now(self):
        return self.site.now()

    def _on_snapshot(self, snapshot):
        self.mirror.on_snapshot(snapshot)
        self.seen_revision = int(snapshot.entries[-1].value)

    def _on_changes(self, changes):
        self.mirror.on_changes(changes)
        self.seen_revision = int(changes.entries[-1][1].value)

    def check(self):
        """Compare the view with the record of the oracle."""
        age = self.view.age_ms
        if age is not None:
            confirmed_at = self.now() - age
            newest = max(
                revision
                for revision, at in self.site.acknowledged_at.items()
                if at < confirmed_at or revision == 1
            )
            assert self.seen_revision >= newest, (
                f"VM {self.number} reports too low an age: {age} ms"
            )
        if self.now() > CALM_MS and self.site.is_calm(self.number):
            assert age is not None, f"VM {self.number} has no view"
            assert age <= FRESH_MS, f"the view of VM {self.number} is {age} ms old"


async def play(drawn):
    site = Site(drawn)
    tasks = [asyncio.create_task(site.write())]
    tasks += [
        asyncio.create_task(site.restart(fault))
        for fault in drawn
        if fault.kind == "restarted"
    ]
    try:
        while site.now() < RUN_MS:
            await asyncio.sleep(CHECK_MS / 1000)
            for vm in site.vms:
                vm.check()
    finally:
        tasks += site.runs
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@given(faults)
@settings(max_examples=40)
def test_views_are_as_fresh_as_they_say_and_as_they_can_be(drawn):
    virtual_time.run(play(drawn))


def test_other_vms_stay_fresh_when_the_watching_vms_lose_the_store():
    # Guards against VMs that serve an outdated configuration for as long as the VMs
    # that watch the store are cut off from it.
    cut = Fault("store silent", frozenset({0, 1, 2}), 2000, 12_000)
    virtual_time.run(play([cut]))


def test_vms_that_restart_with_their_mirrors_use_no_outdated_view():
    # Guards against the use of entries that were removed meanwhile: the only mirror
    # with a fresh view may itself have just restarted.
    intermediates = Fault("restarted", frozenset({3, 4, 5}), 3000, 800)
    followers = Fault("restarted", frozenset({6, 7, 8}), 3100, 300)
    stale = Fault("store silent", frozenset({0, 1}), 2000, 9000)
    virtual_time.run(play([intermediates, followers, stale]))
