import pytest

from heathershunt.admission import Demand, ShareConfig, ShareSplitter

CONFIG = ShareConfig(reserve=0.2)
VMS = ["v0", "v1", "v2", "v3"]
KNOWN = frozenset(VMS)


def splitters(rates, count=4):
    """Return splitters that sent each other their demand ``rates`` for 20 s."""
    vms = [ShareSplitter.from_config(CONFIG, vm) for vm in VMS[:count]]
    for second in range(20):
        for splitter, rate in zip(vms, rates, strict=True):
            splitter.record("a", rate)
            demand = splitter.measure(second * 1000)
            for other in vms:
                other.observe(demand)
    return vms


def shares(vms, now, limit=100.0):
    return [splitter.share("a", limit, now, KNOWN) for splitter in vms]


@pytest.mark.parametrize("rates", [(10, 10, 10, 10), (90, 5, 5, 0), (0, 0, 0, 0)])
def test_shares_add_up_to_the_limit_and_follow_demand(rates):
    """Guards against exceeding a limit and against a VM without any share."""
    parts = shares(splitters(rates), 19_500)
    assert sum(parts) == pytest.approx(100)
    assert min(parts) >= 5 - 1e-9
    assert parts.index(max(parts)) == rates.index(max(rates))


@pytest.mark.parametrize("age", [0, 5_000, 8_000, 60_000])
def test_a_partition_never_raises_the_sum_above_the_limit(age):
    """Guards against each side of a partition using the other side's part."""
    vms = splitters((60, 30, 5, 5))
    now = 19_000 + age
    for side in (vms[:2], vms[2:]):
        for splitter in side:
            demand = splitter.measure(now)
            for other in side:
                other.observe(demand)
    assert sum(shares(vms, now)) <= 100 * (1 + 1e-9)


def test_an_isolated_vm_uses_an_equal_part():
    """Guards against an isolated VM using the whole limit or none of it."""
    isolated = splitters((50, 0, 0, 0))[0]
    isolated.measure(60_000)
    assert isolated.share("a", 100.0, 60_000, KNOWN) == pytest.approx(25)
    assert isolated.share("a", 100.0, 60_000, frozenset({"v0"})) == pytest.approx(100)


def test_integer_shares_add_up_to_the_limit():
    """Guards against rounding up the share of every VM."""
    for limit in (1, 3, 7, 64):
        vms = splitters((70, 20, 5, 5))
        parts = [s.integer_share("a", limit, 19_500, KNOWN) for s in vms]
        assert sum(parts) == limit
        assert min(parts) >= 0


def test_only_newer_messages_count_and_are_worth_relaying():
    """Guards against reordered messages and against relaying one without end."""
    splitter = ShareSplitter.from_config(CONFIG, "v0")
    splitter.measure(0)
    latest = Demand("v1", 10, {"a": 50.0})
    ignored = [latest, Demand("v1", 5, {}), Demand("v0", 99, {"a": 9.0})]
    assert splitter.observe(latest)
    assert not any(splitter.observe(message) for message in ignored)
    known = frozenset({"v0", "v1"})
    assert splitter.share("a", 100.0, 10, known) == pytest.approx(10)
    splitter.remove("v1")
    assert splitter.share("a", 100.0, 10, known) == pytest.approx(50)
