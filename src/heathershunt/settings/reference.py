"""The settings reference, from the dataclasses.

``python -m heathershunt.settings.reference`` prints ``docs/settings.md``.
"""

import re
import types
import typing
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any

import msgspec

from heathershunt.settings.load import rule_of
from heathershunt.settings.settings import Settings

HEAD = """\
# Settings

`heathershuntd` reads one TOML file. An unknown or missing key, a value of another type
or out of range, or a file that cannot be read ends the start with one line that names
the file, the key, the value and what is accepted. `heathershuntd --check FILE` checks a
file without starting.

This page is printed by `python -m heathershunt.settings.reference`.
"""
PARAM_PATTERN = re.compile(r":param (\w+): (.*?)(?=\n:param|\n\n|\Z)", re.DOTALL)


def _section_class(hint: Any) -> type | None:
    for candidate in (hint, *typing.get_args(hint)):
        if is_dataclass(candidate):
            return candidate
    return None


def _docs(cls: type) -> tuple[str, dict[str, str]]:
    """Return the summary and the descriptions of the parameters."""
    text = re.sub(r"\n +", "\n", cls.__doc__ or "")
    described = {name: " ".join(d.split()) for name, d in PARAM_PATTERN.findall(text)}
    return text.split("\n\n")[0].strip(), described


def _is_list(hint: Any) -> bool:
    return typing.get_origin(hint) is tuple


def _type_text(hint: Any) -> str:
    """Return what a key accepts, in words."""
    if typing.get_origin(hint) is types.UnionType or typing.get_origin(hint) in (
        typing.Union,
    ):
        inner = [a for a in typing.get_args(hint) if a is not type(None)]
        return _type_text(inner[0])
    if _is_list(hint):
        return f"list of: {_type_text(typing.get_args(hint)[0])}"
    rule = rule_of(hint)
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
    summary, described = _docs(cls)
    hints = typing.get_type_hints(cls, include_extras=True)
    yield f"\n## `[{name}]`\n"
    yield summary + (" The section is required." if required else "") + "\n"
    yield "| key | accepted | default | meaning |"
    yield "|---|---|---|---|"
    for item in fields(cls):
        accepted = _type_text(hints[item.name]).replace("|", "\\|")
        cells = (f"`{item.name}`", accepted, _default_text(item), described[item.name])
        yield f"| {' | '.join(cells)} |"


def reference() -> str:
    """Return the text of the page."""
    hints = typing.get_type_hints(Settings)
    lines = [HEAD.rstrip("\n")]
    for item in fields(Settings):
        required = item.default is MISSING and item.default_factory is MISSING
        lines += _section(item.name, _section_class(hints[item.name]), required)
    return "\n".join(lines).replace("``", "`") + "\n"


if __name__ == "__main__":
    print(reference(), end="")
