from heathershunt.clock import ManualClock
from heathershunt.logs import RepeatLimiter


def test_each_subject_has_one_line_in_a_period():
    # Guards against a log that one odd entry fills, which is read again and again.
    clock = ManualClock()
    limiter = RepeatLimiter(clock, period_ms=1000)
    assert limiter.take("a")
    assert not limiter.take("a")
    assert limiter.take("b")
    clock.advance(1000)
    assert limiter.take("a")


def test_many_subjects_have_few_lines_in_a_period():
    # Guards against a log, and a memory, that grow with the number of odd entries.
    limiter = RepeatLimiter(ManualClock(), max_lines=3)
    assert sum(limiter.take(str(number)) for number in range(100)) == 3
