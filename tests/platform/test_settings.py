"""Limits in the settings file of a gateway."""

import math

import pytest

from heathershunt.platform.settings import decode_settings


def settings(section, **fields):
    raw = {
        "node": "vm-1",
        "zone": "a",
        "ip": "127.0.0.1",
        "internal_ports": [7000, 7001],
        "listen": {
            name: f"127.0.0.1:{port}"
            for port, name in enumerate(("front", "ready", "directory"), start=8000)
        },
        "platform": {"address": "127.0.0.1:9000"},
    }
    raw[section] = raw.get(section, {}) | fields
    return raw


@pytest.mark.parametrize(
    "section, field, value",
    [
        ("bounds", "retry_budget_ratio", -0.1),
        ("bounds", "retry_budget_ratio", math.nan),
        ("bounds", "retry_budget_slack", -1),
        ("bounds", "retry_budget_slack", math.inf),
        ("bounds", "budget_window_s", 0),
        ("bounds", "grace_s", -1),
        ("bounds", "grace_s", math.inf),
        ("bounds", "config_apply_ms", 0),
        ("bounds", "revoke_ms", -5),
        ("bounds", "ttl_max_s", -1),
        ("limits", "max_fds", 0),
        ("platform", "min_ttl_ms", -1),
    ],
)
def test_invalid_limit_is_refused_with_its_field(section, field, value):
    # Guards against a process that starts with a budget of no requests or with times
    # in the past; an infinite time ended it with a traceback.
    with pytest.raises(ValueError, match=rf"{section}\.{field}`"):
        decode_settings(settings(section, **{field: value}))


def test_sound_limits_are_accepted():
    bounds = decode_settings(settings("bounds", grace_s=0, retry_budget_ratio=0)).bounds
    assert (bounds.grace_ms, bounds.retry_ratio) == (0, 0)
