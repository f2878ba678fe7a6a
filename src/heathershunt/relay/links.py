"""State of this VM's links to the targets, as the relays need it."""

from typing import Protocol

from heathershunt.clock import Millis


class LinkState(Protocol):
    """Tells whether failures of this VM say anything about targets.

    .. versionadded:: 0.10
    """

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM reaches no target."""

    @property
    def is_sound(self) -> bool:
        """Return whether no connection failed since one succeeded."""

    @property
    def sends_locally(self) -> bool:
        """Return whether requests are sent to targets over the links of this VM."""

    async def has_reached_other(self, target_id: str, since: Millis) -> bool:
        """Return whether another target was reached after a time, or is reached now."""


class SoundLinks:
    """State of links that never fail.

    .. versionadded:: 0.10
    """

    is_cut_off = False
    is_sound = True
    sends_locally = True

    async def has_reached_other(self, target_id: str, since: Millis) -> bool:
        """Return ``True``."""
        return True


SOUND_LINKS = SoundLinks()
