import time

import msgspec
import pytest

from standins.bundles import token_sha256
from standins.caller import Transcript
from standins.demo import demo_bundle
from standins.launch import pipeline_specs
from standins.load import LoadShard, run_load
from standins.load_plan import (
    MARKET_DAY,
    LoadPlan,
    account_names,
    arrivals,
    token_of,
)
from standins.oracle import expected_tokens

PLAN = LoadPlan(["127.0.0.1:1"], rate=200, seconds=8, seed=3)


def test_schedule_follows_from_the_seed():
    assert list(arrivals(PLAN)) == list(arrivals(PLAN))
    other = msgspec.structs.replace(PLAN, seed=4)
    assert list(arrivals(PLAN)) != list(arrivals(other))


@pytest.mark.parametrize("waves", [(1.0,), MARKET_DAY])
def test_mean_rate_matches_the_plan(waves):
    plan = msgspec.structs.replace(PLAN, waves=waves)
    assert len(list(arrivals(plan))) == pytest.approx(1600, rel=0.1)


def test_waves_shift_the_arrivals():
    plan = msgspec.structs.replace(PLAN, waves=(0.2, 1.8))
    in_second_wave = sum(arrival.at >= 4 for arrival in arrivals(plan))
    assert in_second_wave > 0.8 * len(list(arrivals(plan)))


def test_one_account_is_large_and_prefixes_are_shared():
    drawn = list(arrivals(PLAN))
    large = sum(arrival.account == "large" for arrival in drawn)
    assert large == pytest.approx(len(drawn) / 2, rel=0.15)
    drawn_prefixes = {" ".join(arrival.prompt.split()[:32]) for arrival in drawn}
    assert len(drawn_prefixes) == PLAN.prefixes


def test_wrong_text_is_not_counted_as_whole():
    """A generator that checks only the end marker would accept a wrong answer."""
    arrival = next(arrivals(PLAN))
    tokens = expected_tokens("m", "v1", 12, arrival.prompt, arrival.tokens)
    shard = LoadShard(PLAN)
    shard._record_outcome(arrival, Transcript(200, "", tokens, True), due=0)
    shard._record_outcome(arrival, Transcript(200, "", tokens[::-1], True), due=0)
    shard._record_outcome(arrival, Transcript(200, "", tokens, False), due=0)
    counts = shard.counts
    outcomes = ("whole", "wrong", "broken")
    assert [counts[f"all.draft.{name}"] for name in outcomes] == [1, 1, 1]


async def test_shards_send_the_whole_schedule_once(deployment):
    raw = demo_bundle(1)
    plan = LoadPlan(["-"], rate=20, seconds=1, seed=5, small_accounts=2)
    raw["accounts"] = [
        {
            "name": name,
            "token_sha256": [token_sha256(token_of(name))],
            "priority": "urgent",
        }
        for name in account_names(plan)
    ]
    await deployment.start_platform()
    await deployment.start_engines(pipeline_specs("m", "v1", 12, 3, 2))
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(raw)
    await deployment.wait_ready()
    await deployment.wait_runners(6)
    target = str(deployment.ports_by_daemon["vm1"].callers)
    plan = msgspec.structs.replace(plan, targets=[target], start=time.monotonic())
    result = await run_load(plan, 2)
    offered = len(list(arrivals(plan)))
    assert result.outcomes()["draft.whole"] == offered
    assert result.latencies["first_token"].count == offered
