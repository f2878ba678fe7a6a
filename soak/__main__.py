"""Runs the soak: ``python -m soak FIRST [LAST [SECONDS]]``.

``regressions`` instead of numbers runs the seeds that failed once, ``fresh COUNT``
seeds that are drawn just now.
"""

import asyncio
import random
import sys
from pathlib import Path

from soak.callers import Callers, broken_promises
from soak.faults import FaultPlan
from soak.seeds import MISBEHAVING_FROM_SEED, chosen
from soak.site import SoakSite

START_SECONDS = 10.0
# After the last repair, this long until requests are served again.
RECOVERY_SECONDS = 6.0
SERVED_AT_LEAST = 0.9
RECOVERY_REQUESTS = 20
EXIT_BAD_USAGE = 2


async def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed and return what went wrong."""
    site = SoakSite(seed)
    await site.start()
    callers = Callers(site, random.Random(f"{seed}-callers"))
    plan = FaultPlan(
        site,
        random.Random(f"{seed}-faults"),
        misbehaves=seed >= MISBEHAVING_FROM_SEED,
    )
    try:
        found = await _until_served(callers, START_SECONDS)
        calling = asyncio.create_task(callers.run())
        await plan.run(seconds)
        callers.is_stopping = True
        await calling
        callers.is_stopping = False
        found += await _until_served(callers, RECOVERY_SECONDS)
        found += broken_promises(site, callers, plan)
        found += _crashes(site)
        served = sum(seen.status == 200 and seen.is_whole for seen in callers.seen)
        print(f"seed {seed}: {len(callers.seen)} requests, {served} served", end="")
        print(f", {len(plan.told)} faults, {len(found)} failures", flush=True)
        if found:
            print("\n".join([*found, *plan.told]), flush=True)
            _keep_logs(site, seed)
        return found
    finally:
        callers.client.close()
        await site.stop()


async def _until_served(callers: Callers, seconds: float) -> list[str]:
    """Return a failure unless nearly all of some requests are served in time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    share = 0.0
    while loop.time() < until:
        share = await _served_share(callers)
        if share >= SERVED_AT_LEAST:
            return []
        await asyncio.sleep(0.2)
    last = [(s.id, s.kind, s.status, s.is_whole) for s in callers.seen[-20:]]
    return [f"only {share:.2f} are served after {seconds} s without faults: {last}"]


async def _served_share(callers: Callers) -> float:
    async def one() -> bool:
        address = await callers.resolve()
        if address is None:
            return False
        seen = await callers.send(address)
        return seen.status == 200 and seen.is_whole

    served = await asyncio.gather(*(one() for _ in range(RECOVERY_REQUESTS)))
    return sum(served) / RECOVERY_REQUESTS


def _keep_logs(site: SoakSite, seed: int) -> None:
    """Keep the gateways' logs of a run that failed, for tracing."""
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
    """Run the seeds of the command line; return 1 if one failed."""
    try:
        seeds, seconds = chosen(sys.argv[1:])
    except ValueError as error:
        print(f"not a command line of the soak: {error}", file=sys.stderr)
        return EXIT_BAD_USAGE
    failed = [seed for seed in seeds if asyncio.run(run_seed(seed, seconds))]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
