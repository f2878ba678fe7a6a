import asyncio

from heathershunt.http import Address
from standins.caller import Caller
from standins.demo import demo_bundle
from standins.launch import pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
TOKENS = 40


async def runner_of(deployment, request_id, stage):
    """Return the runner that runs a stage of a draft."""
    for replica in (0, 1):
        name = f"m-s{stage}-r{replica}"
        bound = deployment.processes_by_name[name].info["engines"][0]
        outcome = await deployment.http.request_json(
            Address.from_text(bound["address"]), "GET", f"/v1/runs/{request_id}"
        )
        if outcome.unwrap()[0] == 200:
            return name
    raise AssertionError("no runner of the stage has the run")


async def test_answer_is_complete_when_all_links_of_a_stage_go_silent(deployment):
    """Stalled epochs must not be taken for silent streams in an endless loop.

    The last stage answers probes over new connections, while its old stream and the
    fabric link to it are silent. A run that was only opened reported its next position
    as finished, so one epoch followed another until the draft was given up.
    """
    proxy = await deployment.start_proxy()
    await deployment.start_platform()
    specs = pipeline_specs("m", "v1", LAYERS, 3, 2, step_ms=10.0)
    for spec in await proxy.intercept_fabric(specs):
        await deployment.start_engines([spec], spec.runner)
    await proxy.intercept_engines()
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(6)
    fault_tasks = []

    def inject_fault(transcript):
        if len(transcript.tokens) >= 10 and not fault_tasks:
            fault_tasks.append(
                asyncio.create_task(silence_last_stage(transcript.request_id))
            )

    async def silence_last_stage(request_id):
        runner = await runner_of(deployment, request_id, 2)
        await proxy.silence(f"engine:{runner}")
        # The stage finishes one or two tokens and sends them on the silent stream only.
        await asyncio.sleep(0.1)
        await proxy.silence(f"fabric:{runner}")

    address = deployment.ports_by_daemon["vm1"].callers
    got = await Caller("parish-token").draft(
        address, "A crest", TOKENS, on_token=inject_fault
    )
    await fault_tasks[0]
    assert got.is_complete, got.problem
    assert got.tokens == expected_tokens("m", "v1", LAYERS, "A crest", TOKENS)
    counts = await proxy.counts()
    assert sum(c.get("silenced_connections", 0) for c in counts.values()) >= 2
