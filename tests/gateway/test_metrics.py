from heathershunt.gateway.metrics import GatewayMetrics
from heathershunt.http import Address
from heathershunt.logs.request_events import CallEnded


async def test_metrics_export_outcomes_and_gauges(site):
    await site.call("POST", "/orders/7", b"order")
    await site.call("POST", "/orders/7", authorization="Token wrong")
    stream = await site.open_stream(events=3)
    await stream.read()
    config = site.gateways["vm-1"].config
    address = Address(config.listeners.callers.host, config.metrics_port)
    outcome = await site.client.exchange(address, "GET", "/metrics")
    status, raw = outcome.unwrap()
    text = raw.decode()
    assert status == 200
    assert 'events_total{event="call_ended",outcome="200"} 1' in text
    assert 'events_total{event="refused",outcome="401"} 1' in text
    assert 'events_total{event="stream_ended",outcome="complete"} 1' in text
    assert "heathershunt_gateway_targets 8" in text
    assert "heathershunt_gateway_configuration_version 1" in text


def test_number_of_series_does_not_grow_with_requests():
    metrics = GatewayMetrics()
    for number in range(100):
        metrics.on_event(CallEnded(f"r{number}", 200, True, 1, 0, ("t",), number))
    text = metrics.render()[0].decode()
    assert text.count("events_total{") == 1
    assert "r99" not in text
