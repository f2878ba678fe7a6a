"""Reasons for which targets are left out of a choice."""

from collections.abc import Collection

from heathershunt.discovery import Target
from heathershunt.relay import RelayContext


class TargetReasons:
    """Tells why a target is left out; changes nothing.

    .. versionadded:: 0.10
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context

    def is_avoided(self, target: Target) -> bool:
        """Return whether a target is used only if no other can be."""
        context = self._context
        is_missing = context.registry.is_missing(target.id)
        return is_missing or context.suspects.is_suspect(target)

    def away(self, target: Target, usable: Collection[str]) -> list[str]:
        """Return why a target gets nothing new by its own word.

        :param usable: ids of the targets that may be sent something new.
        """
        availability = self._context.availability
        if target.is_draining:
            return ["leaving by its entry"]
        if availability.is_leaving(target):
            return ["leaving by its answer"]
        if target.id in usable:
            return []
        wait_ms = availability.wait_ms(target)
        if wait_ms:
            return [f"paused for {wait_ms} ms"]
        return ["paused until a short time ago"]

    def suspected(self, target: Target) -> list[str]:
        """Return why a target is avoided, whatever it says itself."""
        context, reasons = self._context, []
        suspects = context.suspects
        if suspects.is_ejected(target):
            reasons.append("ejected after a failure")
        if suspects.is_backed_off(target):
            reasons.append("backed off after a rejection")
        if not reasons and suspects.is_suspect(target):
            reasons.append("failed by notes of other VMs")
        if context.registry.is_missing(target.id):
            reasons.append("missing in the store")
        return reasons

    def limited(self, target: Target, spent: Collection[str]) -> list[str]:
        """Return whether the limit of a target leaves nothing for this VM now.

        :param spent: ids of the targets of which that holds.
        """
        if target.id not in spent:
            return []
        wait_ms = self._context.limits.wait_ms([target])
        return [f"limited for {wait_ms} ms by the requests per second that it takes"]
