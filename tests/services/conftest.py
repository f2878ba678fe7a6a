import pytest

from tests.services.doubles import Vm


@pytest.fixture
def vm(clock):
    return Vm("vm1", clock)
