from heathershunt.logs import HeldLines


def test_lines_of_a_request_are_given_back_in_order_and_once():
    held = HeldLines()
    held.add("r1", b"a")
    held.add("r2", b"b")
    held.add("r1", b"c")
    assert held.take("r1") == [b"a", b"c"]
    assert held.take("r1") == []
    assert "r2" in held


def test_oldest_request_makes_way_when_there_are_too_many_lines():
    # Guards against memory that grows with requests that never end.
    held = HeldLines(most=3)
    dropped = [held.add(request, b"x") for request in ("r1", "r1", "r2", "r3")]
    assert dropped == [0, 0, 0, 2]
    assert "r1" not in held
    assert list(held.take_all()) == [b"x", b"x"]
