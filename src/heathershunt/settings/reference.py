"""Reference page of the settings, generated from their dataclasses.

``python -m heathershunt.settings.reference`` prints ``docs/settings.md``.
"""

import re
import types
import typing
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any

import msgspec

from heathershunt.settings.load import find_rule
from heathershunt.settings.settings import Settings

PAGE_HEAD = """\
# Settings

`heathershuntd` reads one TOML file. An unknown or missing key, a value of another type
or out of range, or an unreadable file stops the daemon at startup with one line that
names the file, the key, the value and what is accepted. `heathershuntd --check FILE`
checks a file without starting the daemon.

This page is printed by `python -m heathershunt.settings.reference`.
"""
PARAM_PATTERN = re.compile(r":param (\w+): (.*?)(?=\n:param|\n\n|\Z)", re.DOTALL)


def _section_class(hint: Any) -> type | None:
    for candidate in (hint, *typing.get_args(hint)):
        if is_dataclass(candidate):
            return candidate
    return None


def _parse_docstring(cls: type) -> tuple[str, dict[str, str]]:
    """Return the summary of a docstring and its ``:param`` texts by name."""
    text = re.sub(r"\n +", "\n", cls.__doc__ or "")
    meanings = {name: " ".join(d.split()) for name, d in PARAM_PATTERN.findall(text)}
    return text.split("\n\n")[0].strip(), meanings


def _is_list(hint: Any) -> bool:
    return typing.get_origin(hint) is tuple


def _type_text(hint: Any) -> str:
    """Return the description of the values that a type accepts."""
    if typing.get_origin(hint) is types.UnionType or typing.get_origin(hint) in (
        typing.Union,
    ):
        inner = [a for a in typing.get_args(hint) if a is not type(None)]
        return _type_text(inner[0])
    if _is_list(hint):
        return f"list of: {_type_text(typing.get_args(hint)[0])}"
    rule = find_rule(hint)
    if rule is not None:
        return f"text: {rule.accepts}"
    for meta in getattr(hint, "__metadata__", ()):
        if isinstance(meta, msgspec.Meta):
            kind = "number" if hint.__origin__ is float else "integer"
            return f"{kind}, {meta.ge} to {meta.le}"
    return {int: "integer", str: "text", bool: "true or false"}[hint]


def _default_text(item: Field) -> str:
    if item.default is MISSING:
        return "required"
    if item.default is None:
        return "none"
    if isinstance(item.default, str):
        return f'`"{item.default}"`'
    if isinstance(item.default, tuple):
        return f"`{list(item.default)}`"
    return f"`{item.default}`"


def _section(name: str, cls: type, required: bool) -> Iterator[str]:
    summary, meanings = _parse_docstring(cls)
    hints = typing.get_type_hints(cls, include_extras=True)
    yield f"\n## `[{name}]`\n"
    yield summary + (" The section is required." if required else "") + "\n"
    yield "| key | accepted | default | meaning |"
    yield "|---|---|---|---|"
    for item in fields(cls):
        accepted = _type_text(hints[item.name]).replace("|", "\\|")
        cells = (
            f"`{item.name}`",
            accepted,
            _default_text(item),
            meanings[item.name],
        )
        yield f"| {' | '.join(cells)} |"


def reference_page() -> str:
    """Return the reference page as Markdown."""
    hints = typing.get_type_hints(Settings)
    lines = [PAGE_HEAD.rstrip("\n")]
    for item in fields(Settings):
        required = item.default is MISSING and item.default_factory is MISSING
        lines += _section(item.name, _section_class(hints[item.name]), required)
    return "\n".join(lines).replace("``", "`") + "\n"


if __name__ == "__main__":
    print(reference_page(), end="")
