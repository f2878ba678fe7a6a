from heathershunt.logs import LineRateLimiter


def test_burst_is_allowed_and_then_the_sustained_rate(clock):
    limiter = LineRateLimiter(clock, per_s=10, burst=5)
    assert [limiter.take("a") for _ in range(6)] == [True] * 5 + [False]
    clock.advance(200)
    assert [limiter.take("a") for _ in range(3)] == [True, True, False]


def test_each_event_has_its_own_bucket(clock):
    limiter = LineRateLimiter(clock, per_s=10, burst=1)
    assert [limiter.take("a"), limiter.take("a"), limiter.take("b")] == [
        True,
        False,
        True,
    ]
