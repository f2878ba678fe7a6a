"""Idempotency keys that this process issues with its address answers."""

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass
from enum import Enum

from heathershunt.clock import Clock, Millis

SECRET_BYTES = 32
RANDOM_BYTES = 8
MAC_CHARACTERS = 32
KEY_LIFETIME_MS = 300_000
ISSUED_KEY = re.compile(
    r"(?P<vm>.+)\.(?P<incarnation>[0-9]{1,15})"
    r"\.(?P<random>[0-9a-f]{28})\.(?P<mac>[0-9a-f]{32})"
)


@dataclass(frozen=True)
class IssuedKey:
    """The parsed fields of an issued key, not verified.

    :param random: issue time (12 hexadecimal digits, ms) and random digits.
    """

    vm: str
    incarnation: int
    random: str
    mac: str

    @property
    def issued_at(self) -> Millis:
        """Return the time of issue on the issuer's monotonic clock."""
        return Millis(int(self.random[:12], 16))


class KeyState(Enum):
    """Result of verifying a key that names this incarnation as its issuer."""

    VALID = "valid"
    EXPIRED = "expired"
    FORGED = "forged"


def parse_issued_key(text: str) -> IssuedKey | None:
    """Return the fields of a key of the issued form, ``None`` for any other."""
    match = ISSUED_KEY.fullmatch(text)
    if match is None:
        return None
    vm, incarnation, random, mac = match.groups()
    return IssuedKey(vm, int(incarnation), random, mac)


class KeyIssuer:
    """Issues and verifies keys ``<vm>.<incarnation>.<random>.<mac>``.

    The secret exists only in this process, so no other incarnation accepts the keys.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Clock,
        lifetime_ms: int = KEY_LIFETIME_MS,
        secret: bytes | None = None,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.lifetime_ms = lifetime_ms
        self._clock = clock
        self._secret = secret or secrets.token_bytes(SECRET_BYTES)

    def issue(self, account: str) -> str:
        """Return a new key for one call of ``account``."""
        random = f"{self._clock.now():012x}{secrets.token_hex(RANDOM_BYTES)}"
        signed_part = f"{self.vm}.{self.incarnation}.{random}"
        return f"{signed_part}.{self._mac(signed_part, account)}"

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether the key names this incarnation as its issuer."""
        return (key.vm, key.incarnation) == (self.vm, self.incarnation)

    def check(self, key: IssuedKey, account: str, now: Millis) -> KeyState:
        """Verify a key that names this incarnation."""
        signed_part = f"{key.vm}.{key.incarnation}.{key.random}"
        if not hmac.compare_digest(self._mac(signed_part, account), key.mac):
            return KeyState.FORGED
        if now >= key.issued_at + self.lifetime_ms:
            return KeyState.EXPIRED
        return KeyState.VALID

    def _mac(self, signed_part: str, account: str) -> str:
        message = f"{signed_part}\0{account}".encode()
        digest = hmac.new(self._secret, message, hashlib.sha256).hexdigest()
        return digest[:MAC_CHARACTERS]
