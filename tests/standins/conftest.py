import pytest

from standins.launch import Deployment


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    await deployment.stop()
