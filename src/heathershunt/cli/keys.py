"""Implementation of the key commands."""

import hashlib
import secrets

from heathershunt.bundle import new_key_pair
from heathershunt.cli.context import Output
from heathershunt.cli.files import write_file

TOKEN_BYTES = 32


def new_key(out: str) -> Output:
    """Generate an Ed25519 key pair; write the private key to a file."""
    private, public = new_key_pair()
    write_file(out, private.encode() + b"\n", secret=True)
    return Output({"public_key": public, "private_key_file": out}, public)


def new_token(out: str) -> Output:
    """Generate a bearer token; print it, or write it to a file and print its hash."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    if out:
        write_file(out, token.encode() + b"\n", secret=True)
        return Output({"token_file": out, "token_sha256": digest}, digest)
    value = {"token": token, "token_sha256": digest}
    return Output(value, f"token        {token}\ntoken_sha256 {digest}")
