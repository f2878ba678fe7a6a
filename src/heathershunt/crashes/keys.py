"""Keys of evidence for requests that have no parts of a prompt."""

import hashlib

# Ids of parts contain no colon, so no caller can name such a key as a part.
REQUEST_PREFIX = "request:"
DIGEST_CHARACTERS = 32


def request_key(method: str, target: str, account: str | None, body: bytes) -> str:
    """Return a key that is equal whenever an account repeats a request.

    Only a hash is kept of the request.

    :param target: path and query as sent.
    :param account: name of the client account; ``None`` on public routes.
    """
    digest = hashlib.sha256()
    for field in (method, target, account or ""):
        digest.update(field.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return REQUEST_PREFIX + digest.hexdigest()[:DIGEST_CHARACTERS]


def is_request_key(key: str) -> bool:
    """Return whether a key stands for a single request, not for a part of prompts."""
    return key.startswith(REQUEST_PREFIX)
