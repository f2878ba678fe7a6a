"""Implementation of the bundle commands."""

import time
from typing import Any

from heathershunt.bundle import (
    Bundle,
    BundleError,
    SignedRoot,
    bundle_from_mapping,
    encode_file,
    encode_root,
    sign_root,
    split_bundle,
    verify_root,
)
from heathershunt.bundle.check import SHA256_PATTERN
from heathershunt.cli.contents import difference, summary
from heathershunt.cli.context import Context, Output
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.cli.files import (
    read_bundle,
    read_private_key,
    read_toml,
    write_file,
)
from heathershunt.cli.tables import table

NO_PREVIOUS = "none"


def create_bundle(context: Context, file: str, out: str, previous: str) -> Output:
    """Create an unsigned bundle file from a TOML description."""
    raw = read_toml(file)
    digest, version = _previous_root(context, previous)
    if "version" not in raw:
        if version is None:
            detail = "required if --previous is a root hash"
            raise CliError(ExitCode.BAD_FILE, f"{file}: version: {detail}")
        raw["version"] = version + 1
    try:
        bundle = bundle_from_mapping(raw)
        if version is not None and bundle.version <= version:
            raise BundleError(
                "version", f"{bundle.version} is not higher than the previous {version}"
            )
        root, parts = split_bundle(bundle, time.time_ns() // 1_000_000, digest)
        signed = SignedRoot(encode_root(root))
        write_file(out, encode_file(signed, parts))
    except BundleError as error:
        raise CliError(ExitCode.REFUSED, f"{file}: {error}") from None
    return _summary_output(summary(signed, bundle))


def _previous_root(context: Context, text: str) -> tuple[str, int | None]:
    """Return root hash and version, if known, of the previous bundle."""
    if text == NO_PREVIOUS:
        return "", 0
    if SHA256_PATTERN.fullmatch(text):
        return text, None
    if text:
        signed, _, bundle = read_bundle(text)
        return signed.sha256, bundle.version
    in_force = context.bundle_in_force()
    return (in_force[0].sha256, in_force[1].version) if in_force else ("", 0)


def check_bundle_file(file: str, trusted: str) -> Output:
    """Check a bundle file, and its signatures if trusted keys are given."""
    signed, _, bundle = read_bundle(file)
    if trusted:
        try:
            verify_root(signed, [key.strip() for key in trusted.split(",")])
        except BundleError as error:
            raise CliError(ExitCode.REFUSED, f"{file}: {error}") from None
        except ValueError:
            detail = "--trusted: keys must be hexadecimal"
            raise CliError(ExitCode.USAGE, detail) from None
    return _summary_output(summary(signed, bundle))


def add_signature(file: str, key: str, approve: bool) -> Output:
    """Sign or approve a bundle file in place."""
    signed, parts, bundle = read_bundle(file)
    private_key = read_private_key(key)
    updated = sign_root(signed, private_key, approve=approve)
    overlap = updated.signatures_by_key.keys() & updated.approvals_by_key.keys()
    if approve and overlap:
        detail = "a key that has signed the bundle cannot approve it"
        raise CliError(ExitCode.REFUSED, f"{file}: {detail}")
    write_file(file, encode_file(updated, parts))
    return _summary_output(summary(updated, bundle))


def roll_bundle(context: Context, file: str) -> Output:
    """Roll out a bundle file through a daemon."""
    signed, parts, bundle = read_bundle(file)
    data = encode_file(signed, parts)
    version, sha256 = bundle.version, signed.sha256
    context.run_with_daemons(lambda daemons: daemons.roll(data, version, sha256))
    value = {"version": version, "sha256": sha256}
    return Output(value, f"bundle {version} ({sha256[:12]}) is accepted")


def show_bundle(context: Context, file: str) -> Output:
    """Show a bundle file or the bundle in force."""
    if file:
        signed, _, bundle = read_bundle(file)
    else:
        in_force = context.bundle_in_force()
        if in_force is None:
            raise CliError(ExitCode.REFUSED, "no bundle is in force")
        signed, bundle = in_force
    return _summary_output(summary(signed, bundle))


def diff_bundle(context: Context, new: str, old: str) -> Output:
    """Show what a bundle file changes against another or the one in force."""
    after = read_bundle(new)[2]
    if old:
        before = read_bundle(old)[2]
    else:
        in_force = context.bundle_in_force()
        before = in_force[1] if in_force else Bundle(0)
    changes = difference(before, after)
    rows = [
        change | {"fields": _field_changes_text(change.get("fields", {}))}
        for change in changes
    ]
    text = table(("kind", "name", "change", "fields"), rows)
    return Output(changes, text if changes else "no difference")


def _field_changes_text(fields: dict[str, list[Any]]) -> str:
    return ", ".join(f"{name}: {a} -> {b}" for name, (a, b) in fields.items())


def _summary_output(value: dict[str, Any]) -> Output:
    rows = [{"field": name, "value": item} for name, item in value.items()]
    return Output(value, table(("field", "value"), rows))
