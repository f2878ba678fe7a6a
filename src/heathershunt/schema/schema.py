"""Conversion by msgspec that also rejects unknown keys and reports the place."""

import re
import types
import typing
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, TypeVar

import msgspec

# A message of msgspec, such as "Expected `int`, got `str` - at `$.listen.peers`".
MESSAGE_PATTERN = re.compile(r"(?P<detail>.*?)( - at `(key in )?\$\.?(?P<place>.*)`)?")

T = TypeVar("T")


class SchemaError(Exception):
    """A value that does not have the expected shape.

    :param place: keys and indexes from the root to the wrong value; empty for the root.
    :param detail: why the value is wrong.
    :param value: wrong value; ``None`` if there is no value at the place.

    .. versionadded:: 0.1
    """

    def __init__(self, place: str, detail: str, value: Any = None) -> None:
        super().__init__(f"{place}: {detail}" if place else detail)
        self.place = place
        self.detail = detail
        self.value = value


def strict_convert(raw: Any, cls: type[T]) -> T:
    """Convert a decoded value into a dataclass, or a container of dataclasses.

    Bytes are accepted as bytes only, never as text in base64.

    :raises SchemaError: for a wrong type or value, and for a missing or unknown key.
    """
    _reject_unknown_keys(raw, cls, "")
    try:
        return msgspec.convert(raw, cls, strict=True, builtin_types=(bytes,))
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        match = MESSAGE_PATTERN.fullmatch(str(error))
        place = (match["place"] or "") if match else ""
        detail = match["detail"] if match else str(error)
        raise SchemaError(place, detail, _value_at(raw, place)) from None


def _value_at(raw: Any, place: str) -> Any:
    for step in re.findall(r"[^.\[\]]+", place):
        if isinstance(raw, Mapping):
            raw = raw.get(step)
        elif isinstance(raw, list | tuple) and step.isdigit() and int(step) < len(raw):
            raw = raw[int(step)]
        else:
            return None
    return raw


@cache
def _field_hints(cls: type) -> tuple[frozenset[str], tuple[tuple[str, Any], ...]]:
    """Return all field names, and the names and hints of fields with dataclasses."""
    hints = typing.get_type_hints(cls)
    names = frozenset(field.name for field in fields(cls))
    nested = tuple(
        (n, h) for n, h in hints.items() if n in names and _nested_dataclass(h)
    )
    return names, nested


@cache
def _nested_dataclass(hint: Any) -> type | None:
    """Return the dataclass inside ``hint``, if there is one."""
    if is_dataclass(hint):
        return hint
    for argument in typing.get_args(hint):
        found = _nested_dataclass(argument)
        if found is not None:
            return found
    return None


def _reject_unknown_keys(raw: Any, hint: Any, place: str) -> None:
    cls = _nested_dataclass(hint)
    if cls is None:
        return
    if hint is not cls and typing.get_origin(hint) not in (types.UnionType, None):
        # A list, or a tuple of any length, of dataclasses.
        if isinstance(raw, list | tuple):
            names, nested = _field_hints(cls)
            for index, item in enumerate(raw):
                # Most items are valid and not nested; the place is only formatted for
                # the others.
                if nested or type(item) is not dict or not names.issuperset(item):
                    _reject_unknown_keys(item, cls, f"{place}[{index}]")
        return
    if not isinstance(raw, Mapping):
        return
    names, nested = _field_hints(cls)
    dot = "." if place else ""
    if not names.issuperset(raw):
        key = next(key for key in raw if key not in names)
        accepted = ", ".join(sorted(names))
        raise SchemaError(
            f"{place}{dot}{key}", f"unknown key; {accepted} are accepted", raw[key]
        )
    for name, inner in nested:
        if name in raw:
            _reject_unknown_keys(raw[name], inner, f"{place}{dot}{name}")
