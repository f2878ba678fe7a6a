import pytest

from heathershunt.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()
