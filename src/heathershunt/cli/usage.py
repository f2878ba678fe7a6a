"""Usage and help, from the signatures and docstrings of the commands."""

import inspect
from collections.abc import Iterator, Sequence
from typing import Any

USAGE = "usage: heathershunt [--config FILE] [--json] COMMAND [ARGUMENTS]"


def _public_members(component: Any) -> Iterator[tuple[str, Any]]:
    for name, member in inspect.getmembers(component):
        if not name.startswith("_"):
            yield name, member


def _commands(component: Any, path: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """Yield the full name and the method of every command in ``component``."""
    if inspect.ismethod(component):
        yield " ".join(path), component
        return
    for name, member in _public_members(component):
        yield from _commands(member, (*path, name))


def _usage_line(path: str, command: Any) -> str:
    words = [path]
    for name, parameter in inspect.signature(command).parameters.items():
        required = parameter.default is parameter.empty
        words.append(name.upper() if required else f"[--{name}={name.upper()}]")
    return " ".join(words)


def usage(root: Any, arguments: Sequence[str]) -> str:
    """Return the usage of the command or group that ``arguments`` begin with.

    :param root: object with the commands as methods and the groups as attributes.
    """
    component, path = root, ()
    for argument in arguments:
        found = dict(_public_members(component)).get(argument)
        if inspect.ismethod(component) or found is None:
            break
        component, path = found, (*path, argument)
    lines = [USAGE, "commands:"]
    found = list(_commands(component, path))
    for text, command in found:
        lines.append(f"  {_usage_line(text, command)}")
        if len(found) > 1:
            lines.append(f"      {inspect.getdoc(command).splitlines()[0]}")
        else:
            lines += [f"      {line}" for line in inspect.getdoc(command).splitlines()]
    lines.append("options:")
    lines.append("  --config FILE  configuration (default $HEATHERSHUNT_CONFIG or")
    lines.append("                 heathershunt.toml); --json prints JSON")
    return "\n".join(line.rstrip() for line in lines)
