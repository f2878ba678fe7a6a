"""Time from the loss of a stage or of an entry VM to the next token.

Figures: ``recovery.<fault>.stage<k>`` for the loss of a stage, ``recovery.entry.*``
for the loss of the VM that owns the draft, each with its floor; ``recovery.lost``
counts answers that were not whole; ``recovery.baseline.*`` restarts from the first
token with a fixed time-out.
"""

import asyncio
import random
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field

from heathershunt.http import Address
from measure._baseline import BASELINE_TIMEOUT_MS, RestartingRouter
from measure._fleet import LAYERS, deployment_of, restart_engine, run_measurement
from measure._report import emit, emit_centiles, emit_conditions
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
EARLIEST_FAULT, LATEST_FAULT = 8, 14
PROMPT_WORDS = 200
PROGRESS_FLOOR_MS = 250
CALLER_SILENCE_SECONDS = 0.25
FAULTS = ("kill", "pause", "link")


@dataclass
class Observed:
    """One draft with the arrival time of each token.

    :param runners: runners of its first chain, where the measurement chose it.
    """

    prompt: str
    transcript: Transcript = field(default_factory=Transcript)
    arrivals: list[float] = field(default_factory=list)
    runners: set[str] = field(default_factory=set)

    def note(self, transcript: Transcript) -> None:
        """Record the arrival of the tokens that are new."""
        self.transcript = transcript
        missing = len(transcript.tokens) - len(self.arrivals)
        self.arrivals += [time.monotonic()] * missing

    def is_whole(self) -> bool:
        """Return whether the caller has the expected answer with its end."""
        expected = expected_tokens("m", "v1", LAYERS, self.prompt, TOKENS)
        return self.transcript.is_complete and self.transcript.tokens == expected

    def recovery_ms(self, struck_at: float) -> tuple[float, int, float]:
        """Return the time to the end of the longest gap after the fault.

        Tokens that were past the lost stage still arrive, so the next token after
        the fault is not always the first one after recovery. The other values are
        the position of that token and the time from the token before it to the fault,
        negative if that one came later.
        """
        gaps = [
            (later - earlier, index)
            for index, (earlier, later) in enumerate(
                zip(self.arrivals, self.arrivals[1:], strict=False), start=1
            )
            if later > struck_at
        ]
        _, index = max(gaps)
        taken = (self.arrivals[index] - struck_at) * 1000
        return taken, index, (struck_at - self.arrivals[index - 1]) * 1000


def floor_ms(fault: str, stage: int, position: int, waited_ms: float) -> float:
    """Return a lower bound: detection plus recompute by the engines' speeds.

    The stages up to the lost one recompute the prefix, one after the other; then the
    token passes all stages. Other drafts that recompute in the same steps and steps
    under way are left out, so a busy fleet lies above the bound.

    :param waited_ms: time from the last token to the fault; silence is detected no
        earlier than the progress deadline after the last token.
    """
    prefix = PROMPT_WORDS + position
    recompute = (stage + 1) * prefix * PREFILL_TOKEN_MS
    detection = 0.0 if fault == "kill" else max(0, PROGRESS_FLOOR_MS - waited_ms)
    return detection + recompute + STAGES * STEP_MS


def prompt_of(rng: random.Random) -> str:
    """Return a prompt whose prefix no engine has cached."""
    return " ".join(f"w{rng.randrange(10**6)}" for _ in range(PROMPT_WORDS))


class StageLoss:
    """Strikes the runner of one stage while drafts run over it."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self._rng = rng
        self.lost = 0
        self.times_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)
        self.over_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)
        self.floors_by_case: dict[tuple[str, int], Latencies] = defaultdict(Latencies)

    async def strike(self, fault: str, stage: int) -> None:
        """Run one repeat and record the drafts that ran over the lost runner."""
        drafts = [Observed(prompt_of(self._rng)) for _ in range(DRAFTS)]
        wait_for = self._rng.randint(EARLIEST_FAULT, LATEST_FAULT)
        running = [asyncio.create_task(self._draft(draft)) for draft in drafts]
        while len(drafts[0].arrivals) < wait_for:
            await asyncio.sleep(0.002)
        victim = await self._runner_of(drafts[0], stage)
        hit = [d for d in drafts if await self._runs_on(victim, d)]
        struck_at = time.monotonic()
        await self._apply(fault, victim)
        await asyncio.gather(*running)
        await self.repair(fault, victim)
        for draft in drafts:
            if not draft.is_whole():
                self.lost += 1
                got = draft.transcript
                print(
                    f"lost after {fault} of {victim} at token {len(got.tokens)}:",
                    got.problem or got.broken or "wrong text",
                    file=sys.stderr,
                )
        for draft in hit:
            if draft.is_whole():
                self._record((fault, stage), draft, struck_at)

    def _record(self, case, draft: Observed, struck: float) -> None:
        taken, position, waited_ms = draft.recovery_ms(struck)
        floor = floor_ms(*case, position, waited_ms)
        self.times_by_case[case].add(taken)
        self.floors_by_case[case].add(floor)
        self.over_by_case[case].add(max(0.0, taken - floor))

    async def _draft(self, draft: Observed) -> None:
        address = self.deployment.ports_by_daemon["vm1"].callers
        draft.transcript = await Caller("parish-token").draft(
            address, draft.prompt, TOKENS, on_token=draft.note
        )

    def _engine(self, runner: str) -> Address:
        bound = self.deployment.processes_by_name[runner].info["engines"][0]
        return Address.from_text(bound["address"])

    async def _runs_on(self, runner: str, draft: Observed) -> bool:
        target = f"/v1/runs/{draft.transcript.request_id}"
        outcome = await self.deployment.http.request_json(
            self._engine(runner), "GET", target
        )
        return outcome.unwrap()[0] == 200

    async def _runner_of(self, draft: Observed, stage: int) -> str:
        for replica in range(REPLICAS):
            runner = f"m-s{stage}-r{replica}"
            if await self._runs_on(runner, draft):
                return runner
        raise LookupError(f"no runner of stage {stage} knows the draft")

    async def _apply(self, fault: str, runner: str) -> None:
        process = self.deployment.processes_by_name[runner]
        if fault == "kill":
            process.kill()
        elif fault == "pause":
            process.pause()
        else:
            await self.deployment.proxy.silence(f"engine:{runner}")
            await self.deployment.proxy.silence(f"fabric:{runner}")

    async def repair(self, fault: str, runner: str) -> None:
        """Undo a fault, so that the next repeat finds the whole fleet."""
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
            emit_centiles(name, times, f"floor {floor:.0f} ms", (50, 95))
            over = self.over_by_case[fault, stage].centile(50)
            emit(f"{name}.over_floor.p50", over, "ms", "0 ms")


async def resume_elsewhere(deployment: Deployment, draft: Observed) -> None:
    """Run a draft as a caller that goes to the other VM when its VM is lost.

    The caller takes its VM for lost at a reset or after 250 ms without a token.
    """
    caller = Caller("parish-token")
    first, second = (ports.callers for ports in deployment.ports_by_daemon.values())
    task = asyncio.create_task(
        caller.draft(first, draft.prompt, TOKENS, on_token=draft.note)
    )
    while not task.done():
        await asyncio.wait({task}, timeout=0.01)
        last = draft.arrivals[-1] if draft.arrivals else time.monotonic()
        if time.monotonic() - last > CALLER_SILENCE_SECONDS:
            task.cancel()
            break
    if draft.transcript.is_complete:
        return
    received = list(draft.transcript.tokens)

    def note(transcript: Transcript) -> None:
        whole = Transcript(tokens=received + transcript.tokens)
        draft.note(whole)

    rest = await caller.draft(
        second,
        draft.prompt,
        TOKENS,
        on_token=note,
        heathershunt={"received": received},
    )
    rest.tokens = received + rest.tokens
    draft.transcript = rest


async def lose_entry(deployment: Deployment, fault: str, rng: random.Random):
    """Strike the owner of some drafts; yield each draft with the time it took."""
    drafts = [Observed(prompt_of(rng)) for _ in range(DRAFTS)]
    running = [asyncio.create_task(resume_elsewhere(deployment, d)) for d in drafts]
    while len(drafts[0].arrivals) < rng.randint(EARLIEST_FAULT, LATEST_FAULT):
        await asyncio.sleep(0.002)
    process = deployment.processes_by_name["vm1"]
    struck_at = time.monotonic()
    (process.kill if fault == "kill" else process.pause)()
    await asyncio.gather(*running)
    if fault == "kill":
        await process.process.wait()
        await deployment.start_daemon("vm1")
    else:
        process.resume()
    await deployment.wait_ready()
    await deployment.wait_runners(STAGES * REPLICAS)
    return [(draft, struck_at) for draft in drafts]


async def measure_entry(deployment: Deployment, rng: random.Random) -> int:
    """Measure the loss of the owner; return the number of answers lost."""
    lost = 0
    for fault in ("kill", "pause"):
        times, floors = Latencies(), Latencies()
        for _ in range(REPEATS):
            for draft, struck_at in await lose_entry(deployment, fault, rng):
                if not draft.is_whole():
                    lost += 1
                    continue
                taken, position, waited_ms = draft.recovery_ms(struck_at)
                times.add(taken)
                floors.add(floor_ms(fault, STAGES - 1, position, waited_ms))
        floor = floors.centile(50)
        emit(f"recovery.entry_{fault}.samples", times.count, "drafts")
        emit_centiles(
            f"recovery.entry_{fault}", times, f"floor {floor:.0f} ms", (50, 95)
        )
    return lost


async def measure_baseline(loss: StageLoss, rng: random.Random) -> None:
    """Measure a router that restarts from the first token."""
    bound = f"restart, {BASELINE_TIMEOUT_MS} ms time-out"
    for fault in ("kill", "pause"):
        times = Latencies()
        for _ in range(BASELINE_REPEATS):
            router = RestartingRouter(loss.deployment)
            drafts = [Observed(prompt_of(rng)) for _ in range(DRAFTS)]
            struck, victim = await router.run(drafts, fault, EARLIEST_FAULT, TOKENS)
            await loss.repair(fault, victim)
            for draft in drafts:
                if victim not in draft.runners:
                    continue
                taken, _, _ = draft.recovery_ms(struck)
                times.add(taken)
        emit_centiles(f"recovery.baseline_{fault}", times, bound, (50, 95))


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
    async with deployment_of(specs, 2, proxy_seed=SEED) as deployment:
        loss = StageLoss(deployment, rng)
        for fault in FAULTS:
            for _ in range(REPEATS):
                for stage in range(STAGES):
                    await loss.strike(fault, stage)
        loss.emit()
        lost = loss.lost + await measure_entry(deployment, rng)
        emit("recovery.lost", lost, "answers", "0")
        await measure_baseline(loss, rng)


if __name__ == "__main__":
    run_measurement(main())
