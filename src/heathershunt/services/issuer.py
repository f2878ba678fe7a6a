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
KEY_LIFE_MS = 300_000
ISSUED_KEY = re.compile(
    r"(?P<vm>.+)\.(?P<incarnation>[0-9]{1,15})"
    r"\.(?P<random>[0-9a-f]{28})\.(?P<mac>[0-9a-f]{32})"
)


@dataclass(frozen=True)
class IssuedKey:
    """An issued key taken apart; nothing in it is verified yet.

    :param random: issue time (12 hexadecimal digits) and random digits.
    """

    vm: str
    incarnation: int
    random: str
    mac: str

    @property
    def issued_at(self) -> Millis:
        """Return the issuer's monotonic time of issue."""
        return Millis(int(self.random[:12], 16))


class KeyState(Enum):
    """What the issuer says of a key that claims to be its own."""

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

    The secret is of this process only, so no other incarnation accepts the keys.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Clock,
        life_ms: int = KEY_LIFE_MS,
        secret: bytes | None = None,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.life_ms = life_ms
        self._clock = clock
        self._secret = secret or secrets.token_bytes(SECRET_BYTES)

    def issue(self, account: str) -> str:
        """Return a new key for one call of ``account``."""
        random = f"{self._clock.now():012x}{secrets.token_hex(RANDOM_BYTES)}"
        head = f"{self.vm}.{self.incarnation}.{random}"
        return f"{head}.{self._mac(head, account)}"

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether the key names this incarnation as its issuer."""
        return (key.vm, key.incarnation) == (self.vm, self.incarnation)

    def check(self, key: IssuedKey, account: str, now: Millis) -> KeyState:
        """Verify a key that names this incarnation."""
        head = f"{key.vm}.{key.incarnation}.{key.random}"
        if not hmac.compare_digest(self._mac(head, account), key.mac):
            return KeyState.FORGED
        if now >= key.issued_at + self.life_ms:
            return KeyState.EXPIRED
        return KeyState.VALID

    def _mac(self, head: str, account: str) -> str:
        message = f"{head}\0{account}".encode()
        digest = hmac.new(self._secret, message, hashlib.sha256).hexdigest()
        return digest[:MAC_CHARACTERS]
