"""Whether this VM may still trust the bundle in force."""

from heathershunt.clock import Millis


class ConfirmationTracker:
    """Tracks contact with the store and with peers.

    Without any contact for longer than the limit, a newer bundle may be in force
    elsewhere, so the VM is not ready. Before the first contact it is not ready
    either.

    :param confirm_limit_ms: longest time without contact.

    .. versionadded:: 0.1
    """

    def __init__(self, confirm_limit_ms: int) -> None:
        self._limit_ms = confirm_limit_ms
        self._store_at: Millis | None = None
        self._peer_at: Millis | None = None

    def store_answered(self, now: Millis) -> None:
        """Take note of any answer of the store."""
        self._store_at = now

    def peer_heard(self, now: Millis) -> None:
        """Take note of a heartbeat of any peer."""
        self._peer_at = now

    def is_confirmed(self, now: Millis) -> bool:
        """Return whether the last contact is recent enough."""
        contacts = (self._store_at, self._peer_at)
        return any(at is not None and now - at <= self._limit_ms for at in contacts)
