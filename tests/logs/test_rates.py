from heathershunt.logs import LineRates


def test_burst_is_taken_at_once_and_then_the_rate(clock):
    rates = LineRates(clock, per_s=10, burst=5)
    assert [rates.take("a") for _ in range(6)] == [True] * 5 + [False]
    clock.advance(200)
    assert [rates.take("a") for _ in range(3)] == [True, True, False]


def test_events_do_not_share_their_rates(clock):
    rates = LineRates(clock, per_s=10, burst=1)
    assert [rates.take("a"), rates.take("a"), rates.take("b")] == [True, False, True]
