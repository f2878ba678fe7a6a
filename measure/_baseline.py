"""Baseline of the recovery measurement: a router that restarts failed drafts.

It uses the epochs and the engine client of the product, but a fixed time-out, no probes
and no resumption.
"""

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
    """Gap estimator with a fixed time-out in place of one learned from gaps."""

    def observe(self, gap_ms: float) -> None:
        """Ignore the gap."""

    def stall_timeout_ms(self) -> float:
        """Return the fixed time-out in milliseconds."""
        return BASELINE_TIMEOUT_MS


class UnprobedEpoch(Epoch):
    """Epoch that fails at the time-out with all its runners as suspects, unprobed."""

    def _on_stall(self) -> None:
        runners = {stage.runner for stage in self._spec.chain.stages}
        self._fail(runners, "time-out")


class RestartingRouter:
    """Restarts a draft from its first token, on other runners, when its chain fails."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._http = HttpClient()
        self._clock = SystemClock()
        self._registry = RunnerRegistry(InFlight())
        self._inflight_by_runner: Counter[str] = Counter()
        self._monitor = ProgressMonitor(self._clock)

    async def run(self, drafts: list, fault: str, min_tokens: int, tokens: int):
        """Run ``drafts`` and inject a fault into a first-stage runner of the first one.

        :param drafts: :class:`measure.recovery.ObservedDraft` objects to fill.
        :param fault: ``kill`` or ``pause``.
        :param min_tokens: tokens that every draft has received before the fault.
        :param tokens: length of each answer.
        :return: monotonic time of the fault in seconds, and the failed runner.
        """
        poller = RunnerPoller(self._http, self._clock, self._registry, self._listed)
        await poller.poll_all()
        monitor = asyncio.create_task(self._monitor.run())
        tasks = [
            asyncio.create_task(self._run_draft(draft, index, tokens))
            for index, draft in enumerate(drafts)
        ]
        while min(len(draft.arrivals) for draft in drafts) < min_tokens:
            await asyncio.sleep(0.002)
        runner = min(name for name in drafts[0].runners if "-s0-" in name)
        process = self._deployment.processes_by_name[runner]
        fault_at = time.monotonic()
        (process.kill if fault == "kill" else process.pause)()
        await asyncio.gather(*tasks)
        monitor.cancel()
        self._http.close()
        return fault_at, runner

    def _listed(self) -> tuple[ListedVm, ...]:
        return tuple(
            ListedVm(vm["vm"], vm["domain"], "live", VmRole.RUNNER, vm["address"])
            for vm in self._deployment.vms
        )

    def _choose_chain(self, failed: frozenset[str]):
        return choose_chain(
            self._registry, self._inflight_by_runner, "m", "v1", LAYERS, failed
        )

    async def _run_draft(self, observed, index: int, tokens: int) -> None:
        """Run one draft to its end, with a new attempt after each failure.

        Every attempt starts at the first token; tokens that an earlier attempt has
        delivered already are not recorded again.
        """
        attempt = 0
        failed: frozenset[str] = frozenset()
        while not observed.transcript.is_complete:
            attempt += 1
            chain = self._choose_chain(failed)
            if attempt == 1:
                observed.runners = {stage.runner for stage in chain.stages}
            for stage in chain.stages:
                self._inflight_by_runner[stage.runner] += 1
            request = DraftRequest(
                "a", "m", "v1", "", LAYERS, observed.prompt, tokens, 0, 1, Millis(0)
            )
            run_id = f"baseline.{id(self)}.{index}.{attempt}"
            draft = Draft(run_id, request, self._clock.now())
            draft.subscribe(lambda draft=draft: self._record(observed, draft))
            spec = RunSpec(run_id, 1, chain, observed.prompt, (), 0, tokens, 0, 1, 0)
            epoch = UnprobedEpoch(
                draft,
                spec,
                EngineClient(self._http, self._clock),
                self._monitor,
                FixedTimeout(),
                self._clock,
            )
            outcome = await epoch.run()
            if not isinstance(outcome, Ok):
                failed = outcome.err_value.suspects

    def _record(self, observed, draft: Draft) -> None:
        if len(draft.tokens) > len(observed.arrivals):
            observed.transcript.tokens = list(draft.tokens)
            observed.transcript.is_complete = draft.is_complete
            observed.arrivals.append(time.monotonic())
