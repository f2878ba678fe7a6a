from heathershunt.logs import HeldLines


def test_lines_of_a_request_are_taken_in_order_and_once():
    held = HeldLines()
    held.add("r1", b"a")
    held.add("r2", b"b")
    held.add("r1", b"c")
    assert held.take("r1") == [b"a", b"c"]
    assert held.take("r1") == []
    assert "r2" in held


def test_lines_of_the_oldest_request_are_dropped_over_the_limit():
    # Guards against unbounded memory use by requests that never end.
    held = HeldLines(max_lines=3)
    dropped = [held.add(request, b"x") for request in ("r1", "r1", "r2", "r3")]
    assert dropped == [0, 0, 0, 2]
    assert "r1" not in held
    assert list(held.take_all()) == [b"x", b"x"]
