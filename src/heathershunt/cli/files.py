"""Files that the command line reads and writes: configuration, keys, bundles."""

import os
import ssl
import tempfile
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heathershunt.bundle import Bundle, BundleError, SignedRoot, decode_file
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.http import Address
from heathershunt.schema import SchemaError, strict_convert

CONFIG_VARIABLE = "HEATHERSHUNT_CONFIG"
DEFAULT_CONFIG = "heathershunt.toml"
KEY_BYTES = 32
SECRET_MODE = 0o600
PUBLIC_MODE = 0o644
MIN_TIMEOUT_MS = 100


@dataclass(frozen=True)
class Config:
    """Configuration of the command line.

    :param daemons: operator listeners of daemons, as ``ip:port``.
    :param key_file: file with the operator key.
    :param tls_authority: PEM file with the authority of the daemons' certificates;
        without it, connections use plain TCP.
    :param timeout_ms: time limit for the connection and the head of a reply, and again
        for its body.

    .. versionadded:: 0.1
    """

    daemons: tuple[str, ...]
    key_file: str
    tls_authority: str | None = None
    timeout_ms: int = 10_000


def read_bytes(path: str) -> bytes:
    """Read a file.

    :raises CliError: with one line, if the file cannot be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise _bad_file(path, f"cannot be read: {error.strerror}") from None


def read_toml(path: str) -> dict[str, Any]:
    """Read a TOML file.

    :raises CliError: with one line, if the file cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(read_bytes(path).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_file(path, f"not valid TOML: {error}") from None


def load_config(path: str) -> Config:
    """Read and check the configuration file.

    :param path: path of the file; if empty, ``$HEATHERSHUNT_CONFIG`` or, without it,
        ``heathershunt.toml``.
    """
    path = path or os.environ.get(CONFIG_VARIABLE, "") or DEFAULT_CONFIG
    try:
        config = strict_convert(read_toml(path), Config)
        for text in config.daemons:
            Address.from_text(text)
    except (SchemaError, ValueError) as error:
        raise _bad_file(path, str(error)) from None
    if not config.daemons:
        raise _bad_file(path, "daemons: at least one address is expected")
    if config.timeout_ms < MIN_TIMEOUT_MS:
        raise _bad_file(path, f"timeout_ms: {MIN_TIMEOUT_MS} or higher is accepted")
    return config


def read_operator_key(path: str) -> str:
    """Read the operator key, one line of printable ASCII."""
    text = read_bytes(path).strip()
    if not text or not text.isascii() or not text.decode().isprintable():
        raise _bad_file(path, "one line of printable ASCII is expected")
    return text.decode()


def read_private_key(path: str) -> str:
    """Read an Ed25519 private key in hexadecimal."""
    text = read_bytes(path).strip()
    try:
        key = bytes.fromhex(text.decode("ascii"))
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise _bad_file(path, f"{2 * KEY_BYTES} hexadecimal digits are expected")
    return key.hex()


def read_tls(path: str | None) -> ssl.SSLContext | None:
    """Return the TLS context of a client that trusts the authority in ``path``."""
    if path is None:
        return None
    read_bytes(path)
    try:
        return ssl.create_default_context(cafile=path)
    except ssl.SSLError:
        raise _bad_file(path, "contains no PEM certificate") from None


def read_bundle(path: str) -> tuple[SignedRoot, dict[str, bytes], Bundle]:
    """Read a bundle file and check its contents, but not its signatures."""
    try:
        return decode_file(read_bytes(path))
    except BundleError as error:
        raise CliError(ExitCode.REFUSED, f"{path}: {error}") from None


def write_file(path: str, data: bytes, *, secret: bool = False) -> None:
    """Write a file atomically, so that no reader sees part of it.

    :param secret: whether only the owner may read the file; an existing file is then
        never overwritten.
    """
    target = Path(path)
    if secret and target.exists():
        raise _bad_file(path, "already exists; keys are never overwritten")
    temporary = ""
    try:
        handle, temporary = tempfile.mkstemp(dir=target.parent, prefix=".heathershunt")
        with os.fdopen(handle, "wb") as out:
            out.write(data)
        os.chmod(temporary, SECRET_MODE if secret else PUBLIC_MODE)
        os.replace(temporary, target)
    except OSError as error:
        with suppress(OSError):
            os.unlink(temporary)
        raise _bad_file(path, f"cannot be written: {error.strerror}") from None


def _bad_file(path: str, detail: str) -> CliError:
    return CliError(ExitCode.BAD_FILE, f"{path}: {detail}")
