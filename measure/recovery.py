"""Time from the failure of a stage or of an entry VM to the next token.

Figures: ``recovery.<fault>.stage<k>`` for the failure of the runner of a stage,
``recovery.entry_<fault>`` for that of the VM that owns the draft, each with a lower
bound, the floor; ``recovery.lost`` counts incomplete or wrong answers;
``recovery.baseline_<fault>`` is a router that restarts from the first token after a
fixed time-out.
"""

import asyncio
import random
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field

from heathershunt.http import Address
from measure._baseline import BASELINE_TIMEOUT_MS, RestartingRouter
from measure._fleet import LAYERS, restart_engine, run_deployment, run_measurement
from measure._report import emit, emit_conditions, emit_percentiles
from standins.caller import Caller, Transcript
from standins.latencies import Latencies
from standins.launch import Deployment, pipeline_specs
from standins.oracle import expected_tokens

SEED = 20_817
STAGES = 3
REPLICAS = 3
STEP_MS = 10.0
PREFILL_TOKEN_MS = 0.05
TOKENS = 30
DRAFTS = 6
REPEATS = 3
BASELINE_REPEATS = 2
# Least and most tokens of the first draft before the fault is injected.
EARLIEST_FAULT, LATEST_FAULT = 8, 14
PROMPT_WORDS = 200
# Lowest progress deadline of a stream; no silence is detected earlier.
PROGRESS_FLOOR_MS = 250
CALLER_SILENCE_SECONDS = 0.25
FAULTS = ("kill", "pause", "link")


@dataclass
class ObservedDraft:
    """One draft with the arrival times of its tokens.

    :param arrivals: monotonic time in seconds at which each token arrived.
    :param runners: runners of its first chain; only set by the baseline, which chooses
        chains itself.
    """

    prompt: str
    transcript: Transcript = field(default_factory=Transcript)
    arrivals: list[float] = field(default_factory=list)
    runners: set[str] = field(default_factory=set)

    def record(self, transcript: Transcript) -> None:
        """Record the arrival of the tokens that are new in ``transcript``."""
        self.transcript = transcript
        new_count = len(transcript.tokens) - len(self.arrivals)
        self.arrivals += [time.monotonic()] * new_count

    def is_correct(self) -> bool:
        """Return whether the caller received the expected answer and its end."""
        expected = expected_tokens("m", "v1", LAYERS, self.prompt, TOKENS)
        return self.transcript.is_complete and self.transcript.tokens == expected

    def recovery_ms(self, fault_at: float) -> tuple[float, int, float]:
        """Return the time from the fault to the first token after recovery.

        Tokens that were past the failed stage still arrive after the fault, so the
        token that ends the longest gap is taken rather than the next one.

        :param fault_at: monotonic time of the fault in seconds.
        :return: that time in milliseconds, the position of the token, and the
            milliseconds from the token before it to the fault, negative if that token
            arrived after the fault.
        """
        gaps = [
            (later - earlier, index)
            for index, (earlier, later) in enumerate(
                zip(self.arrivals, self.arrivals[1:], strict=False), start=1
            )
            if later > fault_at
        ]
        _, index = max(gaps)
        elapsed_ms = (self.arrivals[index] - fault_at) * 1000
        return elapsed_ms, index, (fault_at - self.arrivals[index - 1]) * 1000


def floor_ms(fault: str, stage: int, position: int, since_token_ms: float) -> float:
    """Return a lower bound of the recovery time: detection, recompute, one token.

    The stages up to the failed one recompute the prefix, one after the other; then the
    token passes all stages. Steps in progress and other drafts that recompute in the
    same steps are not counted, so a busy fleet takes longer than the bound.

    :param position: position of the first token after recovery.
    :param since_token_ms: time from the last token to the fault; silence is detected no
        earlier than the progress deadline after the last token.
    """
    prefix = PROMPT_WORDS + position
    recompute = (stage + 1) * prefix * PREFILL_TOKEN_MS
    detection = 0.0 if fault == "kill" else max(0, PROGRESS_FLOOR_MS - since_token_ms)
    return detection + recompute + STAGES * STEP_MS


def random_prompt(rng: random.Random) -> str:
    """Return a random prompt, so that no engine has its prefix cached."""
    return " ".join(f"w{rng.randrange(10**6)}" for _ in range(PROMPT_WORDS))


class StageFaults:
    """Injects faults into the runner of one stage while drafts run on it.

    Cases are pairs of fault and stage.

    :ivar lost_answers: answers that were incomplete or wrong.
    :ivar excess_by_case: recovery times beyond their lower bounds.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self._rng = rng
        self.lost_answers = 0
        self.times_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)
        self.excess_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)
        self.floors_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)

    async def run_repeat(self, fault: str, stage: int) -> None:
        """Run drafts, inject one fault and record the drafts that ran on the runner."""
        drafts = [ObservedDraft(random_prompt(self._rng)) for _ in range(DRAFTS)]
        wait_for = self._rng.randint(EARLIEST_FAULT, LATEST_FAULT)
        tasks = [asyncio.create_task(self._draft(draft)) for draft in drafts]
        while len(drafts[0].arrivals) < wait_for:
            await asyncio.sleep(0.002)
        runner = await self._find_runner(drafts[0], stage)
        affected = [d for d in drafts if await self._runs_on(runner, d)]
        fault_at = time.monotonic()
        await self._inject(fault, runner)
        await asyncio.gather(*tasks)
        await self.repair(fault, runner)
        for draft in drafts:
            if not draft.is_correct():
                self.lost_answers += 1
                received = draft.transcript
                print(
                    f"answer lost after {fault} of {runner}"
                    f" at token {len(received.tokens)}:",
                    received.problem or received.broken or "wrong text",
                    file=sys.stderr,
                )
        for draft in affected:
            if draft.is_correct():
                self._record((fault, stage), draft, fault_at)

    def _record(self, case, draft: ObservedDraft, fault_at: float) -> None:
        elapsed_ms, position, since_token_ms = draft.recovery_ms(fault_at)
        floor = floor_ms(*case, position, since_token_ms)
        self.times_by_case[case].add(elapsed_ms)
        self.floors_by_case[case].add(floor)
        self.excess_by_case[case].add(max(0.0, elapsed_ms - floor))

    async def _draft(self, draft: ObservedDraft) -> None:
        address = self.deployment.ports_by_daemon["vm1"].callers
        draft.transcript = await Caller("parish-token").draft(
            address, draft.prompt, TOKENS, on_token=draft.record
        )

    def _engine_address(self, runner: str) -> Address:
        engine = self.deployment.processes_by_name[runner].info["engines"][0]
        return Address.from_text(engine["address"])

    async def _runs_on(self, runner: str, draft: ObservedDraft) -> bool:
        target = f"/v1/runs/{draft.transcript.request_id}"
        outcome = await self.deployment.http.request_json(
            self._engine_address(runner), "GET", target
        )
        return outcome.unwrap()[0] == 200

    async def _find_runner(self, draft: ObservedDraft, stage: int) -> str:
        for replica in range(REPLICAS):
            runner = f"m-s{stage}-r{replica}"
            if await self._runs_on(runner, draft):
                return runner
        raise LookupError(f"no runner of stage {stage} runs the draft")

    async def _inject(self, fault: str, runner: str) -> None:
        process = self.deployment.processes_by_name[runner]
        if fault == "kill":
            process.kill()
        elif fault == "pause":
            process.pause()
        else:
            await self.deployment.proxy.silence(f"engine:{runner}")
            await self.deployment.proxy.silence(f"fabric:{runner}")

    async def repair(self, fault: str, runner: str) -> None:
        """Undo a fault, so that all runners are available to the next repeat."""
        if fault == "kill":
            await restart_engine(self.deployment, runner)
        elif fault == "pause":
            self.deployment.processes_by_name[runner].resume()
        else:
            await self.deployment.proxy.cut(f"engine:{runner}")
            await self.deployment.proxy.cut(f"fabric:{runner}")

    def emit(self) -> None:
        """Print the figures of all cases."""
        for (fault, stage), times in sorted(self.times_by_case.items()):
            name = f"recovery.{fault}.stage{stage}"
            floor = self.floors_by_case[fault, stage].centile(50)
            emit(f"{name}.samples", times.count, "drafts")
            emit_percentiles(name, times, f"floor {floor:.0f} ms", (50, 95))
            excess = self.excess_by_case[fault, stage].centile(50)
            emit(f"{name}.over_floor.p50", excess, "ms", "0 ms")


async def resume_elsewhere(deployment: Deployment, draft: ObservedDraft) -> None:
    """Run a draft as a caller that resumes it at the second VM if the first one fails.

    The caller treats a VM as failed after a connection reset or 250 ms without a token.
    """
    caller = Caller("parish-token")
    first, second = (ports.callers for ports in deployment.ports_by_daemon.values())
    task = asyncio.create_task(
        caller.draft(first, draft.prompt, TOKENS, on_token=draft.record)
    )
    while not task.done():
        await asyncio.wait({task}, timeout=0.01)
        last_arrival = draft.arrivals[-1] if draft.arrivals else time.monotonic()
        if time.monotonic() - last_arrival > CALLER_SILENCE_SECONDS:
            task.cancel()
            break
    if draft.transcript.is_complete:
        return
    received = list(draft.transcript.tokens)

    def record_rest(transcript: Transcript) -> None:
        merged = Transcript(tokens=received + transcript.tokens)
        draft.record(merged)

    rest = await caller.draft(
        second,
        draft.prompt,
        TOKENS,
        on_token=record_rest,
        heathershunt={"received": received},
    )
    rest.tokens = received + rest.tokens
    draft.transcript = rest


async def run_entry_fault(deployment: Deployment, fault: str, rng: random.Random):
    """Inject a fault into the VM that owns some drafts, then restore the VM.

    :return: pairs of a draft and the monotonic time of the fault in seconds.
    """
    drafts = [ObservedDraft(random_prompt(rng)) for _ in range(DRAFTS)]
    tasks = [asyncio.create_task(resume_elsewhere(deployment, d)) for d in drafts]
    while len(drafts[0].arrivals) < rng.randint(EARLIEST_FAULT, LATEST_FAULT):
        await asyncio.sleep(0.002)
    process = deployment.processes_by_name["vm1"]
    fault_at = time.monotonic()
    (process.kill if fault == "kill" else process.pause)()
    await asyncio.gather(*tasks)
    if fault == "kill":
        await process.process.wait()
        await deployment.start_daemon("vm1")
    else:
        process.resume()
    await deployment.wait_ready()
    await deployment.wait_runners(STAGES * REPLICAS)
    return [(draft, fault_at) for draft in drafts]


async def measure_entry(deployment: Deployment, rng: random.Random) -> int:
    """Measure faults of the owner VM; return the number of lost answers."""
    lost_answers = 0
    for fault in ("kill", "pause"):
        times, floors = Latencies(), Latencies()
        for _ in range(REPEATS):
            for draft, fault_at in await run_entry_fault(deployment, fault, rng):
                if not draft.is_correct():
                    lost_answers += 1
                    continue
                elapsed_ms, position, since_token_ms = draft.recovery_ms(fault_at)
                times.add(elapsed_ms)
                floors.add(floor_ms(fault, STAGES - 1, position, since_token_ms))
        floor = floors.centile(50)
        emit(f"recovery.entry_{fault}.samples", times.count, "drafts")
        emit_percentiles(
            f"recovery.entry_{fault}", times, f"floor {floor:.0f} ms", (50, 95)
        )
    return lost_answers


async def measure_baseline(faults: StageFaults, rng: random.Random) -> None:
    """Measure the router that restarts drafts from the first token."""
    bound = f"restart, {BASELINE_TIMEOUT_MS} ms time-out"
    for fault in ("kill", "pause"):
        times = Latencies()
        for _ in range(BASELINE_REPEATS):
            router = RestartingRouter(faults.deployment)
            drafts = [ObservedDraft(random_prompt(rng)) for _ in range(DRAFTS)]
            fault_at, runner = await router.run(drafts, fault, EARLIEST_FAULT, TOKENS)
            await faults.repair(fault, runner)
            for draft in drafts:
                if runner not in draft.runners:
                    continue
                elapsed_ms, _, _ = draft.recovery_ms(fault_at)
                times.add(elapsed_ms)
        emit_percentiles(f"recovery.baseline_{fault}", times, bound, (50, 95))


async def main() -> None:
    """Run all cases."""
    rng = random.Random(SEED)
    emit_conditions("recovery", SEED)
    specs = pipeline_specs(
        "m",
        "v1",
        LAYERS,
        STAGES,
        REPLICAS,
        step_ms=STEP_MS,
        token_ms=0.0,
        prefill_token_ms=PREFILL_TOKEN_MS,
    )
    async with run_deployment(specs, 2, proxy_seed=SEED) as deployment:
        faults = StageFaults(deployment, rng)
        for fault in FAULTS:
            for _ in range(REPEATS):
                for stage in range(STAGES):
                    await faults.run_repeat(fault, stage)
        faults.emit()
        lost_answers = faults.lost_answers + await measure_entry(deployment, rng)
        emit("recovery.lost", lost_answers, "answers", "0")
        await measure_baseline(faults, rng)


if __name__ == "__main__":
    run_measurement(main())
