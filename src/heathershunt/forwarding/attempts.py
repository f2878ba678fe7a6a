"""Division of a request's attempts among the VMs that it is forwarded to."""

from heathershunt.relay.earlier import EarlierSends


class HopAttempts:
    """Counts to how many targets other VMs may send one request.

    A VM that is lost may have used all attempts that it was given. So a request that
    may run twice keeps one of them for another VM.

    :param earlier: sends of the request so far.
    :param may_repeat: whether the request may run twice.
    :param may_reuse: whether it may be sent again to targets that received it.

    .. versionadded:: 0.10
    """

    def __init__(
        self, earlier: EarlierSends, may_repeat: bool, may_reuse: bool
    ) -> None:
        self._target_ids = earlier.target_ids
        self._sends = earlier.sends
        self._left = earlier.attempts or 0
        self._is_counted = earlier.is_counted
        self._may_repeat = may_repeat
        self._may_reuse = may_reuse
        self.may_have_run = earlier.may_have_run

    @property
    def may_ask(self) -> bool:
        """Return whether the request may be given to a VM."""
        if self.may_have_run and not self._may_repeat:
            return False
        return self._left > 0 or (self._may_reuse and bool(self._target_ids))

    def give(self) -> EarlierSends:
        """Return what the next VM is told, with the attempts that it may use."""
        given = self._left
        if self._may_repeat and given > 1:
            given -= 1
        self._left -= given
        earlier = EarlierSends(
            self._target_ids, self._sends, self.may_have_run, given, self._is_counted
        )
        self._is_counted = True
        return earlier

    def take_back(self, given: EarlierSends) -> None:
        """Take back the attempts of a VM that did not take the request."""
        self._left += given.attempts or 0
        self._is_counted = given.is_counted

    def record_lost(self) -> None:
        """Record that a VM is lost, or late, which may have run the request."""
        self.may_have_run = True
        self._sends += 1

    def record_sent(self, given: EarlierSends, target_ids: frozenset[str]) -> bool:
        """Record the targets to which a VM that refused the request has sent it.

        :return: whether the VM has used all its attempts.
        """
        new_ids = target_ids - self._target_ids
        attempts = given.attempts or 0
        self._target_ids |= new_ids
        self._sends += len(new_ids)
        self._left += max(0, attempts - len(new_ids))
        return len(new_ids) >= attempts
