"""Demo: drafts and orders of two client accounts at four daemons with stand-ins."""

import asyncio
import json
import sys

from heathershunt.timeline import event_from_mapping, explain, merge_events
from standins.bundles import demo_bundle
from standins.caller import Caller, Transcript
from standins.launch import Deployment, pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
TOKENS = 24
DRAFTS_PER_ACCOUNT = 4
TOKENS_BY_CALLER = ("parish-token", "notary-token")


async def _draft(deployment: Deployment, token: str, index: int) -> Transcript | None:
    """Stream one draft; return its transcript if the answer is complete and right."""
    names = list(deployment.ports_by_daemon)
    address = deployment.ports_by_daemon[names[index % len(names)]].callers
    prompt = f"Describe the crest number {index} of {token}"
    got = await Caller(token).draft(address, prompt, TOKENS)
    expected = expected_tokens("m", "v1", LAYERS, prompt, TOKENS)
    is_right = got.is_complete and got.tokens == expected
    text = "".join(got.tokens)[:48]
    print(f"  {token} draft {index}: {'whole' if is_right else 'WRONG'}: {text}...")
    return got if is_right else None


async def _place_order(deployment: Deployment, token: str) -> bool:
    """Send one order twice with one idempotency key; return whether it ran once."""
    caller = Caller(token)
    first, second = list(deployment.ports_by_daemon.values())[:2]
    _, _, body = await caller.call(first.callers, "GET", "/v1/address")
    key = json.loads(body)["idempotency_key"]
    order = f"one seal die for {token}".encode()
    answers = [
        await caller.call(
            ports.callers,
            "POST",
            "/v1/services/orders/orders",
            order,
            **{"idempotency-key": key},
        )
        for ports in (first, second)
    ]
    service = deployment.processes_by_name["orders"].address
    ledger = await deployment.call(service, "GET", "/ledger")
    runs = sum(call["body"] == order.decode() for call in ledger["calls"])
    statuses = [status for status, _, _ in answers]
    print(f"  {token} order sent twice, answers {statuses}, executions {runs}")
    return statuses == [200, 200] and runs == 1 and answers[0][2] == answers[1][2]


async def _print_timeline(deployment: Deployment, request: str) -> None:
    """Print the events of one request from the timelines of all daemons."""
    timelines = []
    headers = {"authorization": f"Bearer {deployment.operator_key}"}
    for ports in deployment.ports_by_daemon.values():
        outcome = await deployment.http.request_json(
            ports.operators, "GET", "/v1/operator/timeline", headers=headers
        )
        events = outcome.unwrap()[1]["events"]
        timelines.append([event_from_mapping(event) for event in events])
    print(f"timeline of {request}:")
    for line in explain(merge_events(*timelines), request):
        print(f"  {line}")


async def run_demo() -> bool:
    """Run the demo; return whether every draft was right and every order ran once."""
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
        drafts = await asyncio.gather(
            *(
                _draft(deployment, token, index)
                for token in TOKENS_BY_CALLER
                for index in range(DRAFTS_PER_ACCOUNT)
            )
        )
        orders = [await _place_order(deployment, token) for token in TOKENS_BY_CALLER]
        if drafts[0] is not None:
            await _print_timeline(deployment, drafts[0].request_id)
        return None not in drafts and all(orders)
    finally:
        await deployment.stop()


def main() -> None:
    """Run the demo; exit with 0 if every answer was right, else with 1."""
    ok = asyncio.run(run_demo())
    print("all answers complete" if ok else "an answer was not complete")
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
