import pytest

from heathershunt.settings import TlsSettings
from standins.certificates import Authority


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
def tls_settings(authority):
    return TlsSettings(*authority.issue("vm1"), authority.path)
