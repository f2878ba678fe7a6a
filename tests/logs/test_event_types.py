"""The operators' page lists exactly the events and fields that exist."""

import re
from dataclasses import fields
from pathlib import Path

import pytest

from heathershunt.logs import Event, RequestEvent
from heathershunt.logs.event_types import EVENT_TYPES

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| `(\w+)` \| (.*?) \|", re.MULTILINE)
FIELD = re.compile(r"`(\w+)`")
PLACEHOLDER = re.compile(r"\{(\w+)\}")


def subclasses(event_type):
    for child in event_type.__subclasses__():
        yield child
        yield from subclasses(child)


@pytest.fixture
def fields_by_event():
    """Return the fields of each event as the page lists them."""
    section = PAGE.read_text().partition("## Events")[2]
    return {name: set(FIELD.findall(cell)) for name, cell in ROW.findall(section)}


def test_all_events_are_registered():
    found = {child for child in subclasses(Event) if child is not RequestEvent}
    assert found == set(EVENT_TYPES)


def test_page_lists_all_events_with_their_fields(fields_by_event):
    expected = {
        event_type.name: {field.name for field in fields(event_type)} - {"request"}
        for event_type in EVENT_TYPES
    }
    assert fields_by_event == expected


@pytest.mark.parametrize("event_type", EVENT_TYPES, ids=lambda item: item.name)
def test_sentence_and_outcome_field_use_existing_fields(event_type):
    names = {field.name for field in fields(event_type)}
    used = set(PLACEHOLDER.findall(event_type.sentence))
    used |= {event_type.outcome_field} - {None}
    assert used <= names
    assert not names & {"time_ms", "vm", "event", "boot", "number", "revision"}
