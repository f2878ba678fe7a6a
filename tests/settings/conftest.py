import pytest

from standins.certificates import Authority

SETTINGS = f"""
[vm]
name = "vm1"
domain = "a"
[listen]
callers = "127.0.0.1:8001"
operators = "127.0.0.1:8002"
peers = "127.0.0.1:8003"
[platform]
store = ["127.0.0.1:9000"]
vm_list = "127.0.0.1:9000"
[bundle]
trusted_keys = ["{"ab" * 32}"]
[drafts]
drain_limit_ms = 1000
[tls]
certificate = "CERTIFICATE"
key = "KEY"
peer_authority = "AUTHORITY"
"""


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
def settings_text(authority):
    certificate, key = authority.issue("vm1")
    return (
        SETTINGS.replace("CERTIFICATE", certificate)
        .replace("KEY", key)
        .replace("AUTHORITY", authority.path)
    )
