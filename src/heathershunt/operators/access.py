"""Operator keys: hashes in the settings, compared in constant time."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping

BEARER_PREFIX = "bearer "


class OperatorAccess:
    """Checks the operator keys of requests.

    :param key_sha256: SHA-256 hashes of the accepted keys, in hexadecimal.

    .. versionadded:: 0.1
    """

    def __init__(self, key_sha256: Iterable[str]) -> None:
        self._hashes = tuple(digest.lower().encode() for digest in key_sha256)

    def accepts(self, headers: Mapping[str, str]) -> bool:
        """Return whether ``authorization`` carries an accepted key.

        Every hash is compared, so that the duration does not reveal which one matched.
        """
        value = headers.get("authorization", "")
        if not value.lower().startswith(BEARER_PREFIX):
            return False
        key = value[len(BEARER_PREFIX) :].strip().encode("latin-1", "replace")
        digest = hashlib.sha256(key).hexdigest().encode()
        matches = [hmac.compare_digest(digest, accepted) for accepted in self._hashes]
        return any(matches)
