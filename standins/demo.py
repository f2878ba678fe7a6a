"""The demo: stand-ins and four daemons, drafts and bookings of two accounts."""

import asyncio
import sys

from standins.caller import Caller
from standins.launch import Deployment, demo_bundle, pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
TOKENS = 24
DRAFTS_PER_ACCOUNT = 4


async def _draft(deployment: Deployment, token: str, index: int) -> bool:
    names = list(deployment.ports_by_daemon)
    address = deployment.ports_by_daemon[names[index % len(names)]].callers
    prompt = f"Describe the crest number {index} of {token}"
    got = await Caller(token).draft(address, prompt, TOKENS)
    expected = expected_tokens("m", "v1", LAYERS, prompt, TOKENS)
    whole = got.is_whole and got.tokens == expected
    text = "".join(got.tokens)[:60]
    print(f"  {token} draft {index}: {'whole' if whole else 'WRONG'}: {text}...")
    return whole


async def run_demo() -> bool:
    """Run the demo; return whether every answer was checked complete."""
    deployment = Deployment()
    try:
        await deployment.start_platform()
        await deployment.start_engines(pipeline_specs("m", "v1", LAYERS, 3, 2))
        await deployment.start_service("orders")
        await deployment.publish_vms()
        await deployment.start_daemons(4)
        await deployment.roll(demo_bundle(1, layers=LAYERS))
        await deployment.wait_ready()
        await deployment.wait_runners(6)
        print("four daemons are ready under bundle 1")
        checks = await asyncio.gather(
            *(
                _draft(deployment, token, index)
                for token in ("parish-token", "notary-token")
                for index in range(DRAFTS_PER_ACCOUNT)
            )
        )
        return all(checks)
    finally:
        await deployment.stop()


def main() -> None:
    """Run the demo and exit 0 only if every answer was complete."""
    ok = asyncio.run(run_demo())
    print("all answers complete" if ok else "an answer was not complete")
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
