"""Plain calls whose target falls silent for a second or so and goes on."""

import pytest

SILENCE_SECONDS = 1.3
# Half of it passes before the target goes on.
DEADLINE_MS = "2200"


async def call_a_silent_service(site, vm):
    for target in site.targets.values():
        target.fall_silent(SILENCE_SECONDS)
    return await site.call(
        "POST", "/status/x", b"order", vm=vm, heathershunt_deadline_ms=DEADLINE_MS
    )


async def test_call_is_answered_after_a_silence_if_no_retry_is_left(site):
    # Guards against a call that is taken from its silent target before it is known
    # whether it may be sent to another one.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    status, _, body = await call_a_silent_service(site, "vm-2")
    assert (status, body) == (200, b"done")


@pytest.mark.parametrize("state", ["draining", "gone"])
async def test_call_is_answered_after_a_silence_if_no_other_target_is_there(
    site, state
):
    # Guards against a call that is taken from its silent target though there is no
    # other one to send it to.
    registry = site.gateways["vm-1"].state.registry
    names = [name for name, target in site.targets.items() if target.service == "desk"]
    for name in names[1:]:
        target = site.targets[name]
        if state == "gone":
            site.store.remove(f"servers/{name}")
        else:
            target.is_draining = True
            target.register()
    await site.until(lambda: len(registry.of_service("desk")) == 1)
    status, _, body = await call_a_silent_service(site, "vm-1")
    assert (status, body) == (200, b"done")
