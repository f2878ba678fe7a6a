"""Retries of one request: taken, waited for, and logged."""

from heathershunt.logs.request_events import RetryDenied, RetryGranted
from heathershunt.relay.context import RelayContext


class RequestRetries:
    """Takes the retries of one request from the budget of its service.

    .. versionadded:: 0.10
    """

    def __init__(self, context: RelayContext, request: str, service: str) -> None:
        self._context = context
        self._request = request
        self._service = service
        self._waited_ms = 0
        self._waits_until: float | None = None
        self._is_denied = False

    def may_take(self, has_begun: bool) -> bool:
        """Return whether a retry is left."""
        context = self._context
        return context.budget.may_take(
            self._service, context.vm_count(), has_begun=has_begun
        )

    def take(self, has_begun: bool) -> bool:
        """Take a retry and log it; return whether one was left."""
        context = self._context
        vms = context.vm_count()
        origin = context.budget.take(self._service, vms, has_begun=has_begun)
        if origin is None:
            return False
        balance = context.budget.balance(self._service, vms, has_begun=has_begun)
        context.events.emit(
            RetryGranted(
                self._request,
                service=self._service,
                origin=origin.value,
                used=balance.used,
                allowed=round(balance.allowed, 2),
                granted=balance.granted,
                waited_ms=self._waited_ms,
            )
        )
        self._end_wait()
        return True

    async def wait(self, limit_ms: float, has_begun: bool) -> bool:
        """Wait until a retry may be left; return whether to try to take it.

        Another request may have taken it then, and this one may wait again.

        :param limit_ms: longest wait in all until a retry is taken or denied.
        """
        context = self._context
        started = context.clock.now()
        if self._waits_until is None:
            self._waits_until = started + limit_ms
        left_ms = self._waits_until - started
        try:
            return await context.budget.wait(
                self._service, context.vm_count(), left_ms, has_begun=has_begun
            )
        finally:
            self._waited_ms += context.clock.now() - started

    def record_denial(self, has_begun: bool) -> None:
        """Log once that no retry is left; one that keeps a silent run tries again."""
        if not self._is_denied:
            self._is_denied = True
            self._log_denial(has_begun)
        self._end_wait()

    def _end_wait(self) -> None:
        self._waited_ms = 0
        self._waits_until = None

    def _log_denial(self, has_begun: bool) -> None:
        context = self._context
        balance = context.budget.balance(
            self._service, context.vm_count(), has_begun=has_begun
        )
        context.events.emit(
            RetryDenied(
                self._request,
                service=self._service,
                pool=context.budget.pool.last_reason(self._service),
                used=balance.used,
                allowed=round(balance.allowed, 2),
                granted=balance.granted,
                waited_ms=self._waited_ms,
            )
        )
