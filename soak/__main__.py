"""Runs the soak: ``python -m soak FIRST [LAST [SECONDS]]``.

``regressions`` instead of numbers runs the seeds that failed in the past, ``fresh
[COUNT]`` newly drawn seeds. SECONDS is how long faults are injected in each run.
"""

import asyncio
import random
import sys
from pathlib import Path

from soak.callers import Callers, find_violations
from soak.configurations import ConfigurationChanges
from soak.cuts import CutPlan
from soak.faults import FaultPlan
from soak.lag import LagMeter
from soak.mixed_callers import MixedCallers
from soak.oracle import check
from soak.repeats import check_repeats
from soak.seeds import (
    FIRST_SEED_WITH_BAD_ANSWERS,
    FIRST_SEED_WITH_RESTORATIONS,
    parse_arguments,
)
from soak.silences import SilencePlan
from soak.site import SoakSite, draw_extent
from soak.stops import StopPlan

# Time limits for requests to be served, after the start and after the last repair.
START_SECONDS = 10.0
RECOVERY_SECONDS = 6.0
MIN_SERVED_SHARE = 0.9
RECOVERY_REQUESTS = 20
EXIT_BAD_USAGE = 2


async def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed; print a summary, and return its failures."""
    site = SoakSite(seed, draw_extent(seed))
    await site.start()
    callers = Callers(site, random.Random(f"{seed}-callers"))
    mixed = MixedCallers(site, random.Random(f"{seed}-mixed-callers"))
    plan = FaultPlan(
        site,
        random.Random(f"{seed}-faults"),
        bad_answers=seed >= FIRST_SEED_WITH_BAD_ANSWERS,
        restorations=seed >= FIRST_SEED_WITH_RESTORATIONS,
        signals=site.extent.is_wide,
    )
    changes = ConfigurationChanges(
        site.settings, random.Random(f"{seed}-changes"), site.publish
    )
    silences = SilencePlan(site, random.Random(f"{seed}-silences"))
    stops = StopPlan(site, random.Random(f"{seed}-stops"))
    plans = [plan, changes, silences] if site.extent.is_wide else [plan]
    if site.extent.has_stops:
        plans = [stops, changes, silences]
    cuts = CutPlan(site, callers, random.Random(f"{seed}-cuts"))
    if site.extent.has_cuts:
        plans = [cuts]
    lag = LagMeter(site)
    measuring = asyncio.create_task(lag.run())
    try:
        failures = await _wait_served(callers, START_SECONDS)
        sending = mixed if site.extent.is_wide else callers
        calling = asyncio.create_task(sending.run())
        await asyncio.gather(*(item.run(seconds) for item in plans))
        sending.is_stopping = True
        await calling
        sending.is_stopping = False
        failures += await _wait_served(callers, RECOVERY_SECONDS)
        findings = check(site, mixed.exchanges, mixed.channels)
        failures += findings.violations
        other_ids = {exchange.id for exchange in mixed.exchanges}
        failures += find_violations(site, callers, plan, other_ids)
        failures += check_repeats(site)
        failures += _crashes(site) + cuts.failures
        _print_summary(seed, callers, mixed, plans, failures)
        if mixed.exchanges:
            names = ["", *site.gateways]
            waited = {name or "soak": f"{site.waits.total(name):.1f}" for name in names}
            print(f"  largest lag of the soak {lag.largest_ms:.0f} ms", end="")
            print(f", seconds without a processor: {waited}", end="")
            print(f", without a whole answer: {dict(findings.excuses)}", flush=True)
        if failures:
            log = sorted(line for item in (*plans, lag) for line in item.log)
            print("\n".join([*failures, *log]), flush=True)
            _save_logs(site, seed)
        return failures
    finally:
        measuring.cancel()
        callers.client.close()
        await site.stop()


def _print_summary(seed, callers, mixed, plans, failures) -> None:
    served = sum(r.status == 200 and r.is_whole for r in callers.results)
    served += sum(e.status == 200 and e.end == "answer" for e in mixed.exchanges)
    requests = len(callers.results) + len(mixed.exchanges)
    faults = sum(len(item.log) for item in plans)
    print(f"seed {seed}: {requests} requests, {served} served", end="")
    print(f", {faults} faults, {len(failures)} failures", flush=True)


async def _wait_served(callers: Callers, seconds: float) -> list[str]:
    """Send requests until enough are served; return a failure after ``seconds``."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    share = 0.0
    while loop.time() < until:
        share = await _served_share(callers)
        if share >= MIN_SERVED_SHARE:
            return []
        await asyncio.sleep(0.2)
    last = [(s.id, s.kind, s.status, s.is_whole) for s in callers.results[-20:]]
    return [
        f"only {share:.2f} of requests served after {seconds} s without faults: {last}"
    ]


async def _served_share(callers: Callers) -> float:
    async def is_served() -> bool:
        address = await callers.resolve()
        if address is None:
            return False
        result = await callers.send(address)
        return result.status == 200 and result.is_whole

    served = await asyncio.gather(*(is_served() for _ in range(RECOVERY_REQUESTS)))
    return sum(served) / RECOVERY_REQUESTS


def _save_logs(site: SoakSite, seed: int) -> None:
    """Copy the gateway logs of a failed run to ``build/soak-SEED``."""
    folder = Path("build") / f"soak-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for name, gateway in site.gateways.items():
        (folder / f"{name}.log").write_text(gateway.log_text())


def _crashes(site: SoakSite) -> list[str]:
    return [
        f"{name} wrote a traceback: {text[text.index('Traceback') :][:2000]}"
        for name, gateway in site.gateways.items()
        if "Traceback" in (text := gateway.log_text())
    ]


def main() -> int:
    """Run the seeds given on the command line.

    :return: exit status: 0, 1 if a seed failed, 2 if the arguments are invalid.
    """
    try:
        seeds, seconds = parse_arguments(sys.argv[1:])
    except ValueError as error:
        print(f"invalid arguments: {error}", file=sys.stderr)
        return EXIT_BAD_USAGE
    failed = [seed for seed in seeds if asyncio.run(run_seed(seed, seconds))]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
