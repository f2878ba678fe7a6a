"""Tracks whether the bundle in force has been confirmed recently enough."""

from heathershunt.clock import Millis


class ConfirmationTracker:
    """Records the last contact with the store and with any peer.

    After longer than the limit without contact to either, a newer bundle may be in
    force on other VMs, so this VM is not ready. It is not ready before the first
    contact either.

    :param confirm_limit_ms: longest time without contact, in milliseconds.

    .. versionadded:: 0.1
    """

    def __init__(self, confirm_limit_ms: int) -> None:
        self._limit_ms = confirm_limit_ms
        self._store_at: Millis | None = None
        self._peer_at: Millis | None = None

    def record_store_contact(self, now: Millis) -> None:
        """Record a reply of the store, whatever it holds."""
        self._store_at = now

    def record_peer_contact(self, now: Millis) -> None:
        """Record a heartbeat of any peer."""
        self._peer_at = now

    def is_confirmed(self, now: Millis) -> bool:
        """Return whether the last contact with store or peers is within the limit."""
        contacts = (self._store_at, self._peer_at)
        return any(at is not None and now - at <= self._limit_ms for at in contacts)
