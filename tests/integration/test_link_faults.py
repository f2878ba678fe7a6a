import asyncio

from heathershunt.http import Address
from standins.caller import Caller
from standins.demo import demo_bundle
from standins.launch import pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
TOKENS = 40


async def runner_of(deployment, request_id, stage):
    """Return the runner of a stage that knows the run."""
    for replica in (0, 1):
        name = f"m-s{stage}-r{replica}"
        bound = deployment.processes_by_name[name].info["engines"][0]
        outcome = await deployment.http.request_json(
            Address.from_text(bound["address"]), "GET", f"/v1/runs/{request_id}"
        )
        if outcome.unwrap()[0] == 200:
            return name
    raise AssertionError("no runner of the stage knows the run")


async def test_answer_is_whole_when_all_links_of_a_stage_go_silent(deployment):
    """A stalled new epoch must not be taken for a silent stream again and again.

    The last stage answers probes over fresh connections; its old stream and the
    fabric link to it are silent. The fault was an epoch loop until the draft was given
    up, since an opened run reported its next position as finished.
    """
    proxy = await deployment.start_proxy()
    await deployment.start_platform()
    specs = pipeline_specs("m", "v1", LAYERS, 3, 2, step_ms=10.0)
    for spec in await proxy.before_fabric(specs):
        await deployment.start_engines([spec], spec.runner)
    await proxy.before_engines()
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(6)
    strikes = []

    def strike(transcript):
        if len(transcript.tokens) >= 10 and not strikes:
            strikes.append(asyncio.create_task(silence(transcript.request_id)))

    async def silence(request_id):
        victim = await runner_of(deployment, request_id, 2)
        await proxy.silence(f"engine:{victim}")
        # The stage finishes a token or two that only the silent stream carries.
        await asyncio.sleep(0.1)
        await proxy.silence(f"fabric:{victim}")

    address = deployment.ports_by_daemon["vm1"].callers
    got = await Caller("parish-token").draft(
        address, "A crest", TOKENS, on_token=strike
    )
    await strikes[0]
    assert got.is_whole, got.problem
    assert got.tokens == expected_tokens("m", "v1", LAYERS, "A crest", TOKENS)
    counts = await proxy.counts()
    assert sum(c.get("silenced_connections", 0) for c in counts.values()) >= 2
