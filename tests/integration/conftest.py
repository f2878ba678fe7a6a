import pytest

from standins.bundles import demo_bundle
from standins.launch import Deployment, pipeline_specs

LAYERS = 12


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    await deployment.stop()


@pytest.fixture
async def fleet(deployment):
    """Two daemons and three stages with two runners each, each in its own process."""
    await deployment.start_platform()
    for spec in pipeline_specs("m", "v1", LAYERS, 3, 2):
        await deployment.start_engines([spec], spec.runner)
    await deployment.start_service("orders")
    await deployment.publish_vms()
    await deployment.start_daemons(2)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(6)
    return deployment
