import itertools

import pytest

from tests.pipelines import engines


@pytest.fixture
def engine():
    return engines.engine()


@pytest.fixture
def runner():
    """Return a function that creates runners; ``held`` is ``(first, end)``."""
    numbers = itertools.count(1)

    def make(kind="small", domain="a", held=None, **options):
        return engines.runner(next(numbers), kind, domain, held, **options)

    return make
