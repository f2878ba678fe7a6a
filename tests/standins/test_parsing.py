"""The parser of Python that the test tools use."""

import ast
import gc
import inspect


class Garbage:
    """Garbage whose finalizer parses, as the report of an error in it does."""

    def __init__(self, source):
        self.source = source
        self.itself = self

    def __del__(self):
        ast.parse(self.source)


def test_finalizers_do_not_break_the_parser_of_test_tools():
    # Guards against sound tests that fail in ast.parse, as garbage of earlier tests is
    # collected meanwhile.
    source = inspect.getsource(inspect)
    before = gc.get_threshold()
    gc.set_threshold(5, 1, 1)
    try:
        for _ in range(50):
            Garbage(source)
        assert ast.parse(source).body
    finally:
        gc.set_threshold(*before)
