"""Admission of drafts: one queue for each model, capacity split between the VMs."""

import asyncio
import math
from collections.abc import Callable

from result import Err, Ok, Result

from heathershunt.admission import (
    AccountLimits,
    AdmissionConfig,
    AdmissionQueue,
    ShareSplitter,
    Ticket,
)
from heathershunt.bundle import Bundle, ClientAccount
from heathershunt.clock import Clock
from heathershunt.ratelimits import RateLimit
from heathershunt.routing import pipeline_capacity
from heathershunt.runners import RunnerRegistry
from heathershunt.verdict import Refusal, not_run

CHECK_INTERVAL_MS = 50
REFRESH_INTERVAL_MS = 500
BURST_MS = 2000
INITIAL_TOKEN_MS = 34
RETRY_AFTER_MS = 1000
# Admitting more runs than the capacity keeps the slowest stage busy between two steps.
CAPACITY_MARGIN = 1.1
CAPACITY_KEY = "capacity/"


class AdmissionGate:
    """Admits drafts in fair order, up to the capacity of the runners.

    The cost of a draft is the number of its tokens. The capacity and the account limits
    are split between the VMs by demand.

    :param live_vms: returns the names of the VMs that are alive.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        registry: RunnerRegistry,
        splitter: ShareSplitter,
        clock: Clock,
        live_vms: Callable[[], frozenset[str]],
    ) -> None:
        self._registry = registry
        self._splitter = splitter
        self._clock = clock
        self._live_vms = live_vms
        self._bundle: Bundle | None = None
        self._queues_by_model: dict[str, AdmissionQueue] = {}
        self._waiters_by_id: dict[str, asyncio.Future] = {}
        self._has_waiter = asyncio.Event()
        self._rate_limits_by_account: dict[str, RateLimit] = {}
        self._vms = frozenset()

    def set_bundle(self, bundle: Bundle) -> None:
        """Apply the models of a bundle that came into force; call before ``admit``.

        Drafts that wait for a model that the bundle leaves out are refused.
        The limits of an account are applied by ``admit``.
        """
        self._bundle = bundle
        for model in bundle.models_by_name:
            if model not in self._queues_by_model:
                config = AdmissionConfig(hold_ms=INITIAL_TOKEN_MS)
                self._queues_by_model[model] = AdmissionQueue.from_config(config)
        for model in self._queues_by_model.keys() - bundle.models_by_name.keys():
            detail = f"the model {model!r} is no longer in the bundle"
            refusal = not_run(404, "Model removed", detail)
            for ticket in self._queues_by_model[model].cancel_all():
                self._refuse(ticket, refusal)
        self._refresh_capacities()

    async def admit(
        self, ticket: Ticket, model: str, account: ClientAccount
    ) -> Result[Ticket, Refusal]:
        """Wait until ``ticket`` may run; return the refusal if it may not.

        An admitted ticket must be given back with ``release``. If the wait is
        cancelled or raises, the ticket leaves the queue or frees its place.
        """
        now = self._clock.now()
        self._splitter.record(account.name)
        self._splitter.record(CAPACITY_KEY + model)
        refusal = self._check_rate(account)
        if refusal is not None:
            return Err(refusal)
        queue = self._queues_by_model[model]
        if queue.limit == 0:
            self._refresh_capacity(model, queue)
        queue.set_account_limits(account.name, self._account_limits(account), now)
        offered = queue.offer(ticket, now)
        if isinstance(offered, Err):
            return offered
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_id[ticket.id] = waiter
        self._has_waiter.set()
        try:
            self._admit_ready(queue)
            return await waiter
        except BaseException:
            if not queue.cancel(ticket.id):
                queue.release(ticket, self._clock.now(), measured=False)
            raise
        finally:
            self._waiters_by_id.pop(ticket.id, None)

    def release(self, ticket: Ticket, model: str, *, is_complete: bool) -> None:
        """Free the place of a draft that has ended and admit what may run now.

        :param is_complete: whether the answer is complete; only then is the run time
            used for the queue's estimates.
        """
        queue = self._queues_by_model[model]
        queue.release(ticket, self._clock.now(), measured=is_complete)
        self._admit_ready(queue)

    async def run(self) -> None:
        """Refuse late tickets and update the capacities until cancelled."""
        refresh_at = self._clock.now()
        while True:
            await self._wait_for_check()
            if self._clock.now() >= refresh_at:
                refresh_at = self._clock.now() + REFRESH_INTERVAL_MS
                self._refresh_capacities()
            for queue in self._queues_by_model.values():
                self._refuse_late(queue)
                self._admit_ready(queue)

    async def _wait_for_check(self) -> None:
        """Wait until the next check is due.

        While no ticket waits, checks are only needed to refresh the capacities; a new
        ticket ends the longer wait.
        """
        if self._waiters_by_id:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            return
        self._has_waiter.clear()
        try:
            async with asyncio.timeout(REFRESH_INTERVAL_MS / 1000):
                await self._has_waiter.wait()
        except TimeoutError:
            pass

    def _check_rate(self, account: ClientAccount) -> Refusal | None:
        now = self._clock.now()
        rate = self._splitter.share(
            account.name, account.requests_per_second, now, self._vms
        )
        limit = self._rate_limits_by_account.get(account.name)
        if limit is None:
            limit = self._rate_limits_by_account[account.name] = RateLimit(
                BURST_MS, rate, now
            )
        wait = limit.wait_ms(rate, now)
        if wait:
            detail = f"{account.requests_per_second:g} requests a second are accepted"
            return not_run(429, "Rate limit reached", detail, wait)
        limit.take()
        return None

    def _account_limits(self, account: ClientAccount) -> AccountLimits:
        concurrent = self._splitter.integer_share(
            account.name, account.concurrent, self._clock.now(), self._vms
        )
        # ``_check_rate`` limits the rate over all models, before a model's queue.
        return AccountLimits(account.share, max(1, concurrent), math.inf)

    def _refresh_capacities(self) -> None:
        self._vms = self._live_vms()
        for model, queue in self._queues_by_model.items():
            self._refresh_capacity(model, queue)

    def _refresh_capacity(self, name: str, queue: AdmissionQueue) -> None:
        model = self._bundle.models_by_name.get(name)
        if model is None:
            queue.set_limit(0)
            return
        views = [
            view
            for view in self._registry.views_by_runner.values()
            if view.model == name and view.version == model.version
        ]
        runs = math.ceil(pipeline_capacity(views, model.layers).runs * CAPACITY_MARGIN)
        now = self._clock.now()
        key = CAPACITY_KEY + name
        own_share = self._splitter.integer_share(key, runs, now, self._vms)
        queue.set_limit(max(own_share, min(runs, 1)))

    def _admit_ready(self, queue: AdmissionQueue) -> None:
        while (ticket := queue.next(self._clock.now())) is not None:
            waiter = self._waiters_by_id.get(ticket.id)
            if waiter is None or waiter.done():
                queue.release(ticket, self._clock.now(), measured=False)
            else:
                waiter.set_result(Ok(ticket))

    def _refuse_late(self, queue: AdmissionQueue) -> None:
        for ticket in queue.expire(self._clock.now()):
            self._refuse(ticket, queue.late_refusal())

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> None:
        waiter = self._waiters_by_id.get(ticket.id)
        if waiter is not None and not waiter.done():
            waiter.set_result(Err(refusal))
