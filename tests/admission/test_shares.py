import pytest

from heathershunt.admission import Demand, ShareConfig, ShareSplitter

CONFIG = ShareConfig(reserve=0.2)
VMS = ["v0", "v1", "v2", "v3"]
KNOWN = frozenset(VMS)


def splitters(rates, count=4):
    """Return splitters that measured ``rates`` for 20 s and told each other."""
    found = [ShareSplitter.from_config(CONFIG, vm) for vm in VMS[:count]]
    for second in range(20):
        for splitter, rate in zip(found, rates, strict=True):
            splitter.record("a", rate)
            demand = splitter.measure(second * 1000)
            for other in found:
                other.observe(demand)
    return found


def shares(found, now, limit=100.0):
    return [splitter.share("a", limit, now, KNOWN) for splitter in found]


@pytest.mark.parametrize("rates", [(10, 10, 10, 10), (90, 5, 5, 0), (0, 0, 0, 0)])
def test_shares_add_up_to_the_limit_and_follow_demand(rates):
    """Guards against exceeding a limit and against a VM without any share."""
    found = shares(splitters(rates), 19_500)
    assert sum(found) == pytest.approx(100)
    assert min(found) >= 5 - 1e-9
    assert found.index(max(found)) == rates.index(max(rates))


@pytest.mark.parametrize("age", [0, 5_000, 8_000, 60_000])
def test_a_partition_never_raises_the_sum(age):
    """Guards against both sides of a partition taking the part of the other."""
    found = splitters((60, 30, 5, 5))
    now = 19_000 + age
    for side in (found[:2], found[2:]):
        for splitter in side:
            demand = splitter.measure(now)
            for other in side:
                other.observe(demand)
    assert sum(shares(found, now)) <= 100 * (1 + 1e-9)


def test_a_vm_that_hears_nobody_uses_an_equal_part():
    """Guards against a lone VM using the whole limit or none of it."""
    lone = splitters((50, 0, 0, 0))[0]
    lone.measure(60_000)
    assert lone.share("a", 100.0, 60_000, KNOWN) == pytest.approx(25)
    assert lone.share("a", 100.0, 60_000, frozenset({"v0"})) == pytest.approx(100)


def test_whole_shares_add_up():
    """Guards against rounding that gives every VM one more."""
    for limit in (1, 3, 7, 64):
        found = splitters((70, 20, 5, 5))
        parts = [s.whole_share("a", limit, 19_500, KNOWN) for s in found]
        assert sum(parts) == limit
        assert min(parts) >= 0


def test_only_newer_messages_count_and_are_worth_relaying():
    """Guards against messages that overtake each other or circle in the mesh."""
    splitter = ShareSplitter.from_config(CONFIG, "v0")
    splitter.measure(0)
    news = Demand("v1", 10, {"a": 50.0})
    others = [news, Demand("v1", 5, {}), Demand("v0", 99, {"a": 9.0})]
    assert splitter.observe(news)
    assert not any(splitter.observe(message) for message in others)
    known = frozenset({"v0", "v1"})
    assert splitter.share("a", 100.0, 10, known) == pytest.approx(10)
    splitter.forget("v1")
    assert splitter.share("a", 100.0, 10, known) == pytest.approx(50)
