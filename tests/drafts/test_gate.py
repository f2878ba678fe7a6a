import asyncio

from heathershunt.admission import ShareConfig, ShareSplitter, Ticket
from heathershunt.bundle import ClientAccount, bundle_from_mapping
from heathershunt.clock import ManualClock, Millis
from heathershunt.drafts import AdmissionGate
from heathershunt.routing import InFlight
from heathershunt.runners import RunnerRegistry
from heathershunt.verdict import Verdict
from standins.bundles import demo_bundle

ACCOUNT = ClientAccount("parish", ())


# Guards against requests that wait to their deadline for a model that a bundle has left
# out in the meantime.
async def test_draft_that_waits_for_a_removed_model_is_refused_at_once(monkeypatch):
    clock = ManualClock()
    splitter = ShareSplitter.from_config(ShareConfig(), "vm1")
    registry = RunnerRegistry(InFlight())
    gate = AdmissionGate(registry, splitter, clock, lambda: frozenset({"vm1"}))
    monkeypatch.setattr(gate, "_refresh_capacity", lambda name, queue: None)
    gate.set_bundle(bundle_from_mapping(demo_bundle(1)))
    gate._queues_by_model["m"].set_limit(1)

    def admit(number):
        ticket = Ticket(f"vm1.1.{number}", "parish", 1, Millis(30_000), 10)
        return asyncio.create_task(gate.admit(ticket, "m", ACCOUNT))

    running, waiting = admit(1), admit(2)
    await asyncio.sleep(0.01)
    assert running.done() and not waiting.done()
    gate.set_bundle(bundle_from_mapping(demo_bundle(2) | {"models": []}))
    async with asyncio.timeout(1):
        refusal = (await waiting).err_value
    assert (refusal.status, refusal.verdict) == (404, Verdict.NOT_RUN)
    assert (await running).ok_value.id == "vm1.1.1"
