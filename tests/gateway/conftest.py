import pytest

from tests.gateway.site import Site


@pytest.fixture
async def site():
    """Return a running site: a store, targets in two domains and one gateway."""
    site = Site()
    await site.start()
    yield site
    await site.stop()
