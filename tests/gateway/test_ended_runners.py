"""Streams whose first runners end one after the other."""

from tests.gateway.test_streams import ids


# Guards against streams that are broken off as they may go to two first runners only,
# and two have ended: these run nothing any more.
async def test_stream_outlives_more_first_runners_than_its_attempts(site):
    await site.add_target("first-0", "engine", "a", "large", (0, 40))
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("engine")) == 7)
    response = await site.open_stream(events=100)
    body = b""
    for number in (1, 2):
        body += await response.read_some()
        await site.until(lambda number=number: len(site.runs()) == number)
        run = site.runs()[-1] if number == 1 else _latest(site)
        await site.until(lambda run=run: run.events)
        await site.targets[run.runner].stop()
    body += await response.read()
    assert ids(body) == list(range(1, 101))
    assert len({run.runner for run in site.runs()}) == 3


def _latest(site):
    """Return the run that is still going on."""
    runs = (run for run in site.runs())
    return next(run for run in runs if not site.targets[run.runner].is_unresponsive)
