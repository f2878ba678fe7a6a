"""Reading and checking of a settings file, with errors of one line."""

import re
import ssl
import tomllib
import typing
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

import msgspec

from heathershunt.schema import SchemaError, strict_convert
from heathershunt.settings.settings import Settings, TlsSettings
from heathershunt.settings.types import Rule

EXPECTED_PATTERN = re.compile(r"Expected (.*?)(, got .*)?")
MISSING_PATTERN = re.compile(r"Object missing required field `(.*)`")
MAX_VALUE_CHARACTERS = 80


class SettingsError(Exception):
    """Raised for an unusable settings file; the message is one line.

    .. versionadded:: 0.1
    """


class _Fault(Exception):
    """An error in a settings file; the message leaves out the name of the file."""


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with the file, the key, the value and what is accepted.
        Unprintable characters in them are replaced by ``?``.
    """
    try:
        raw = tomllib.loads(Path(path).read_bytes().decode())
        settings = _convert(raw)
        _check_rules(settings, "")
        _check_lists_and_listeners(settings)
        if settings.tls is not None:
            _check_tls(settings.tls)
    except OSError as error:
        raise _error(path, f"cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _error(path, f"not valid TOML: {error}") from None
    except _Fault as fault:
        raise _error(path, str(fault)) from None
    return settings


def _error(path: str | Path, detail: str) -> SettingsError:
    text = f"{path}: {detail}"
    return SettingsError("".join(c if c.isprintable() else "?" for c in text))


def _value_fault(key: str, value: Any, accepts: str) -> _Fault:
    value_text = repr(value)
    if len(value_text) > MAX_VALUE_CHARACTERS:
        value_text = value_text[:MAX_VALUE_CHARACTERS] + "..."
    return _Fault(f"{key} is {value_text}; {accepts} is accepted")


def _convert(raw: dict[str, Any]) -> Settings:
    try:
        return strict_convert(raw, Settings)
    except SchemaError as error:
        missing = MISSING_PATTERN.fullmatch(error.detail)
        if missing:
            key = f"{error.place}.{missing[1]}".lstrip(".")
            raise _Fault(f"{key} is missing; it has no default") from None
        if error.detail.startswith("unknown key; "):
            accepted = error.detail.removeprefix("unknown key; ")
            raise _Fault(f"{error.place} is unknown; {accepted}") from None
        expected = EXPECTED_PATTERN.fullmatch(error.detail)
        accepts = expected[1] if expected else error.detail
        raise _value_fault(error.place, error.value, accepts) from None


def find_rule(hint: Any) -> Rule | None:
    """Return the rule in the annotations of a type or of its arguments, if any."""
    for argument in getattr(hint, "__metadata__", ()):
        if isinstance(argument, msgspec.Meta) and argument.extra:
            return argument.extra["rule"]
    for argument in typing.get_args(hint):
        found = find_rule(argument)
        if found is not None:
            return found
    return None


def _strings_in(key: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, str):
        yield key, value
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield f"{key}[{index}]", item


def _check_rules(value: Any, place: str) -> None:
    hints = typing.get_type_hints(type(value), include_extras=True)
    for item in fields(value):
        field_value = getattr(value, item.name)
        key = f"{place}{item.name}"
        if is_dataclass(field_value):
            _check_rules(field_value, f"{key}.")
            continue
        rule = find_rule(hints[item.name])
        for name, text in _strings_in(key, field_value) if rule else ():
            if not rule.check(text):
                raise _value_fault(name, text, rule.accepts)


def _check_lists_and_listeners(settings: Settings) -> None:
    for key, values, min_count in (
        ("platform.store", settings.platform.store, 1),
        ("bundle.trusted_keys", settings.bundle.trusted_keys, 1),
        ("peers.seeds", settings.peers.seeds, 0),
        ("operators.key_sha256", settings.operators.key_sha256, 0),
    ):
        if len(values) < min_count:
            raise _value_fault(key, list(values), f"a list of {min_count} or more")
        # The same hexadecimal key in another case must not count as a second key.
        if len({value.lower() for value in values}) < len(values):
            raise _value_fault(key, list(values), "a list without duplicates")
    listen = settings.listen
    if len({listen.callers, listen.operators, listen.peers}) < 3:
        raise _value_fault(
            "listen.peers", listen.peers, "a different address per listener"
        )


def _check_tls(tls: TlsSettings) -> None:
    for item in fields(tls):
        path = getattr(tls, item.name)
        try:
            Path(path).read_bytes()
        except OSError as error:
            accepts = f"a readable PEM file ({error.strerror})"
            raise _value_fault(f"tls.{item.name}", path, accepts) from None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key, password=_no_password)
    except (ssl.SSLError, ValueError):
        accepts = "a PEM certificate chain that belongs to the unencrypted tls.key"
        raise _value_fault("tls.certificate", tls.certificate, accepts) from None
    try:
        context.load_verify_locations(tls.peer_authority)
    except ssl.SSLError:
        accepts = "a PEM file with certificates"
        raise _value_fault("tls.peer_authority", tls.peer_authority, accepts) from None


def _no_password() -> str:
    """Refuse an encrypted key; by default, OpenSSL prompts for the password."""
    raise ValueError("the key is encrypted")
