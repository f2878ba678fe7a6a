"""Cases of an independent review; none is part of the default tests."""
