"""Work of the key commands."""

import hashlib
import secrets

from heathershunt.bundle import new_key_pair
from heathershunt.cli.context import Output
from heathershunt.cli.files import write_file

TOKEN_BYTES = 32


def new_key(out: str) -> Output:
    """Make an Ed25519 key pair."""
    private, public = new_key_pair()
    write_file(out, private.encode() + b"\n", secret=True)
    return Output({"public_key": public, "private_key_file": out}, public)


def new_token(out: str) -> Output:
    """Make a bearer token."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    if out:
        write_file(out, token.encode() + b"\n", secret=True)
        return Output({"token_file": out, "token_sha256": digest}, digest)
    value = {"token": token, "token_sha256": digest}
    return Output(value, f"token        {token}\ntoken_sha256 {digest}")
