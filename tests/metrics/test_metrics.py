import asyncio
import time

from heathershunt.metrics import LoopLag, Metrics
from heathershunt.verdict import Verdict


def lines(metrics):
    return metrics.render()[0].decode().splitlines()


def test_counts_are_rendered_with_their_labels():
    metrics = Metrics()
    metrics.tokens += 3
    metrics.count_request(Verdict.RAN, "normal")
    metrics.count_request(Verdict.RAN, "normal")
    metrics.count_epoch("opened")
    metrics.count_retry("reset")
    metrics.count_cut("stopped", True)
    metrics.add_gauge("bundle_version", "version in force", lambda: 7)
    text = lines(metrics)
    label = 'account_class="normal",verdict="ran"'
    assert f"heathershunt_requests_total{{{label}}} 2" in text
    assert "heathershunt_tokens_total 3" in text
    assert 'heathershunt_epochs_total{outcome="opened"} 1' in text
    assert 'heathershunt_retries_total{cause="reset"} 1' in text
    label = 'begun="true",cause="stopped"'
    assert f"heathershunt_answers_cut_total{{{label}}} 1" in text
    assert "heathershunt_bundle_version 7" in text
    assert lines(metrics) == text


def test_account_class_cannot_forge_a_sample():
    """A priority named with quotes or a line break must stay inside its label."""
    metrics = Metrics()
    metrics.count_request(Verdict.NOT_RUN, 'a"} 9\nforged 1')
    assert not any(line.startswith("forged") for line in lines(metrics))
    assert any('account_class="a\\"} 9\\nforged 1"' in line for line in lines(metrics))


def test_histograms_are_cumulative():
    metrics = Metrics()
    metrics.observe_first_token(390)
    metrics.observe_first_token(400)
    metrics.observe_mean_gap(1, 0)
    metrics.observe_mean_gap(11, 340)
    text = lines(metrics)
    assert 'heathershunt_first_token_seconds_bucket{le="0.39"} 1.0' in text
    assert 'heathershunt_first_token_seconds_bucket{le="+Inf"} 2.0' in text
    assert 'heathershunt_token_gap_seconds_bucket{le="0.034"} 1.0' in text
    assert "heathershunt_token_gap_seconds_count 1.0" in text


async def test_blocked_event_loop_is_observed_as_lag():
    """Guards against blocking handlers whose delay appears in no metric."""
    lags = []
    task = asyncio.create_task(LoopLag(lags.append).run())
    await asyncio.sleep(0)
    time.sleep(0.4)
    await asyncio.sleep(0.05)
    task.cancel()
    assert max(lags) > 50
