import io
import json

import logbook
import pytest

from heathershunt.logs import log_handler

log = logbook.Logger("heathershunt.test")


def written(log_format, level="info"):
    stream = io.StringIO()
    with log_handler(level, log_format, "vm1", stream).applicationbound():
        log.debug("hidden")
        log.info("took {} of {}", 1, "a\nb")
        try:
            raise ValueError("no\nway")
        except ValueError:
            log.exception("failed")
    return stream.getvalue()


def test_json_record_with_line_breaks_or_traceback_is_one_line():
    """A line break in a message must not look like a second record."""
    took, failed = map(json.loads, written("json").splitlines())
    assert took["message"] == "took 1 of a\nb"
    assert (took["level"], took["logger"], took["vm"]) == (
        "info",
        "heathershunt.test",
        "vm1",
    )
    assert "ValueError" in failed["exception"]


@pytest.mark.parametrize("level, shown", [("debug", True), ("error", False)])
def test_records_below_the_level_are_not_written(level, shown):
    assert ("took" in written("text", level)) is shown
