"""Baselines: what a simple router does, built from the engine adapter alone."""

import asyncio
import time
from collections import Counter

from result import Ok

from heathershunt.clock import Millis, SystemClock
from heathershunt.drafts import Draft, DraftRequest, EngineClient, ProgressMonitor
from heathershunt.drafts.engine import RunSpec
from heathershunt.drafts.epoch import Epoch
from heathershunt.http import HttpClient
from heathershunt.routing import InFlight
from heathershunt.runners import RunnerPoller, RunnerRegistry
from heathershunt.store import ListedVm, VmRole
from measure._fleet import LAYERS
from measure._simple_chain import choose_chain
from standins.launch import Deployment

BASELINE_TIMEOUT_MS = 5_000


class FixedTimeout:
    """Gap estimator that does not adapt."""

    def observe(self, gap_ms: float) -> None:
        """Ignore a gap."""

    def deadline_ms(self) -> float:
        """Return the fixed time-out."""
        return BASELINE_TIMEOUT_MS


class UnprobedEpoch(Epoch):
    """Epoch that ends at the time-out, without asking which stage is silent."""

    def _on_stall(self) -> None:
        runners = {stage.runner for stage in self._spec.chain.stages}
        self._fail(runners, "time-out")


class RestartingRouter:
    """Runs each draft from the first token again whenever its chain fails."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._http = HttpClient()
        self._clock = SystemClock()
        self._board = RunnerRegistry(InFlight())
        self._inflight_by_runner: Counter[str] = Counter()
        self._monitor = ProgressMonitor(self._clock)

    async def run(self, drafts: list, fault: str, at: int, tokens: int):
        """Run ``drafts``, strike a first stage in use; return when, and the runner."""
        poller = RunnerPoller(self._http, self._clock, self._board, self._listed)
        await poller.poll_all()
        monitor = asyncio.create_task(self._monitor.run())
        running = [
            asyncio.create_task(self._draft(draft, index, tokens))
            for index, draft in enumerate(drafts)
        ]
        while min(len(draft.arrivals) for draft in drafts) < at:
            await asyncio.sleep(0.002)
        runner = min(name for name in drafts[0].runners if "-s0-" in name)
        victim = self._deployment.processes_by_name[runner]
        struck_at = time.monotonic()
        (victim.kill if fault == "kill" else victim.pause)()
        await asyncio.gather(*running)
        monitor.cancel()
        self._http.close()
        return struck_at, runner

    def _listed(self) -> tuple[ListedVm, ...]:
        return tuple(
            ListedVm(vm["vm"], vm["domain"], "live", VmRole.RUNNER, vm["address"])
            for vm in self._deployment.vms
        )

    def _chain(self, failed: frozenset[str]):
        return choose_chain(
            self._board, self._inflight_by_runner, "m", "v1", LAYERS, failed
        )

    async def _draft(self, observed, index: int, tokens: int) -> None:
        """Restart until whole; only tokens beyond those shown count as new."""
        attempt = 0
        failed: frozenset[str] = frozenset()
        while not observed.transcript.is_complete:
            attempt += 1
            chain = self._chain(failed)
            if attempt == 1:
                observed.runners = {stage.runner for stage in chain.stages}
            for stage in chain.stages:
                self._inflight_by_runner[stage.runner] += 1
            request = DraftRequest(
                "a", "m", "v1", "", LAYERS, observed.prompt, tokens, 0, 1, Millis(0)
            )
            name = f"baseline.{id(self)}.{index}.{attempt}"
            draft = Draft(name, request, self._clock.now())
            draft.subscribe(lambda draft=draft: self._note(observed, draft))
            order = RunSpec(name, 1, chain, observed.prompt, (), 0, tokens, 0, 1, 0)
            epoch = UnprobedEpoch(
                draft,
                order,
                EngineClient(self._http),
                self._monitor,
                FixedTimeout(),
                self._clock,
            )
            outcome = await epoch.run()
            if not isinstance(outcome, Ok):
                failed = outcome.err_value.suspects

    def _note(self, observed, draft: Draft) -> None:
        if len(draft.tokens) > len(observed.arrivals):
            observed.transcript.tokens = list(draft.tokens)
            observed.transcript.is_complete = draft.is_complete
            observed.arrivals.append(time.monotonic())
