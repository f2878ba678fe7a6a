"""Exchanges of one gateway with the other VMs, and their requests to it."""

from collections.abc import Awaitable, Callable

from heathershunt.clock import Clock
from heathershunt.crashes import CrashDigest, PartGuard
from heathershunt.gateway.news import CRASHES_PATH, LIMITS_PATH, NewsExchange
from heathershunt.gateway.topology import Topology
from heathershunt.http import HttpClient, Request, Response
from heathershunt.pipelines import (
    LOAD_PATH,
    LoadAggregator,
    LoadExchange,
    LoadLedger,
    PeerNotes,
)
from heathershunt.ratelimits import LimitDigest, LimitGuard
from heathershunt.retrybudget import RETRIES_PATH, RetryPool


class PeerExchanges:
    """Exchanges loads, evidence on crashes, limits of targets, and retries.

    :param vm: name of this VM.
    :param retries: answers the calls of VMs that need retries.

    .. versionadded:: 0.7
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        vm: str,
        topology: Topology,
        ledger: LoadLedger,
        notes: PeerNotes,
        guard: PartGuard,
        limits: LimitGuard,
        retries: RetryPool,
    ) -> None:
        self._retries = retries
        self._aggregator = LoadAggregator(clock, topology.fleet_factor, guard, limits)
        self._loads = LoadExchange(
            http,
            ledger,
            self._aggregator,
            vm,
            topology.aggregators,
            topology.fleet_factor,
            notes,
            guard,
            limits,
        )
        recipients = topology.news_recipients
        self._news_by_path = {
            CRASHES_PATH: NewsExchange(
                http, CRASHES_PATH, guard, CrashDigest, recipients
            ),
            LIMITS_PATH: NewsExchange(
                http, LIMITS_PATH, limits, LimitDigest, recipients
            ),
        }

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that run until they are cancelled."""
        news = self._news_by_path.values()
        return [self._loads.run, *(exchange.run for exchange in news)]

    async def handle(self, request: Request) -> Response | None:
        """Answer a request of another VM; ``None`` if it is not of an exchange."""
        if request.path.startswith(LOAD_PATH):
            return await self._aggregator.handle(request)
        if request.path == RETRIES_PATH:
            return await self._retries.handle(request)
        exchange = self._news_by_path.get(request.path)
        return None if exchange is None else await exchange.handle(request)
