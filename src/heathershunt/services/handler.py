"""Callers' requests to plain services: ``/v1/services/{service}/{path}``."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence

from result import Result

from heathershunt.availability import AvailabilityTable
from heathershunt.bundle import Bundle, ClientAccount
from heathershunt.clock import Clock, Millis
from heathershunt.crashes import PartGuard
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.ratelimits import LimitGuard
from heathershunt.services.batches import ClaimBatcher, ClaimFailure, SwapStore
from heathershunt.services.calls import (
    CallOutcome,
    Forwarder,
    ServiceCall,
    problem_outcome,
    request_headers,
)
from heathershunt.services.claims import MAX_CALL_MS, Claim
from heathershunt.services.dispatch import Dispatcher
from heathershunt.services.home import ClaimRelay, ClaimRouter
from heathershunt.services.issuer import KeyIssuer
from heathershunt.services.keyed import KeyedCalls
from heathershunt.services.table import KeyTable
from heathershunt.verdict import Progress

SERVICES_PREFIX = "/v1/services/"
KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-ms"
MAX_KEY_CHARACTERS = 255
DOT_SEGMENTS = frozenset({".", ".."})


class ServiceHandler:
    """Checks calls of plain services, runs them at most once and answers them.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: KeyTable,
        issuer: KeyIssuer,
        claims: ClaimRouter,
        clock: Clock,
        forwarder: Forwarder | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._table = table
        self._issuer = issuer
        self._clock = clock
        self._keyed = KeyedCalls(dispatcher, table, issuer, claims, clock, forwarder)
        self._waiting_callers = 0
        self._stopped = asyncio.Event()

    @classmethod
    def create(
        cls,
        vm: str,
        incarnation: int,
        http: HttpClient,
        store: SwapStore,
        clock: Clock,
        addresses: Callable[[str], Sequence[Address]],
        limits: LimitGuard,
        guard: PartGuard,
        availability: AvailabilityTable,
    ) -> "ServiceHandler":
        """Return a handler with the default limits.

        :param addresses: gives the addresses of a service that are not leaving.
        :param limits: keeps to the limits that addresses name.
        :param guard: refuses calls that crash their targets.
        :param availability: addresses that leave or pause by what their answers said.
        """
        return cls(
            Dispatcher(http, clock, addresses, limits, guard, availability),
            KeyTable(),
            KeyIssuer(vm, incarnation, clock),
            ClaimRouter(ClaimBatcher(store, clock), clock, vm),
            clock,
        )

    def on_store_restored(self) -> None:
        """Write what this VM has claimed again, which the store may have lost."""
        self._keyed.claims.on_store_restored()

    @property
    def running(self) -> int:
        """Return the calls that a graceful shutdown waits for."""
        return self._waiting_callers + self._keyed.running

    def stop_waiting(self) -> None:
        """Refuse the calls that are waited for, because this VM stops."""
        self._stopped.set()

    def set_peers(
        self,
        forwarder: Forwarder,
        relay: ClaimRelay | None = None,
        vms: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        """Connect the handler to the VMs that own keys or are the home of a shard.

        :param vms: gives the names of the live VMs that are not leaving.
        """
        self._keyed.forwarder = forwarder
        self._keyed.claims.relay = relay
        self._keyed.claims.vms = vms

    async def claim_for_peer(
        self, claim: Claim, timeout_ms: int
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key for another VM, which takes this VM as the home of the shard."""
        deadline = Millis(self._clock.now() + timeout_ms)
        return await self._keyed.claims.claim_here(claim, deadline)

    def issue_key(self, account: ClientAccount) -> str:
        """Return a new idempotency key, for the answer of ``/v1/address``."""
        return self._issuer.issue(account.name)

    def has_call(self, account: ClientAccount, key: str) -> bool:
        """Return whether a keyed call runs on this VM or its outcome is stored here."""
        return self._table.find((account.name, key)) is not None

    def remove_expired(self) -> None:
        """Remove the stored outcomes of keyed calls that have expired."""
        self._table.remove_expired(self._clock.now())

    async def handle(
        self, request: Request, account: ClientAccount, bundle: Bundle
    ) -> Response:
        """Answer one request of a caller; refusals are problem documents."""
        call = _parse_call(request, account)
        if isinstance(call, CallOutcome):
            return call.response
        service = bundle.services_by_name.get(call.service)
        key = request.headers.get(KEY_HEADER)
        if service is None:
            return await self._count(self._answer_unknown(call, key))
        text = request.headers.get(DEADLINE_HEADER, str(service.timeout_ms))
        if not text.isascii() or not text.isdigit() or not 0 < len(text) <= 9:
            return _refusal_response(
                400, f"{DEADLINE_HEADER} is not a number of milliseconds"
            )
        wait_ms = min(int(text), service.timeout_ms, MAX_CALL_MS)
        deadline = Millis(self._clock.now() + wait_ms)
        if key is None:
            return await self._count(self._dispatcher.run(call, service, deadline))
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            limit = MAX_KEY_CHARACTERS
            return _refusal_response(
                400, f"an idempotency key of 1 to {limit} characters is needed"
            )
        return await self._count(self._keyed.answer(call, service, key, deadline))

    async def handle_forwarded(
        self, call: ServiceCall, key: str, timeout_ms: int, bundle: Bundle
    ) -> Response:
        """Answer a keyed call that another VM forwarded to this one.

        The call is never forwarded again.
        """
        service = bundle.services_by_name.get(call.service)
        if service is None:
            return await self._count(self._answer_unknown(call, key))
        wait_ms = min(timeout_ms, service.timeout_ms, MAX_CALL_MS)
        deadline = Millis(self._clock.now() + wait_ms)
        return await self._count(
            self._keyed.answer(call, service, key, deadline, forwarded=True)
        )

    async def _answer_unknown(self, call: ServiceCall, key: str | None) -> CallOutcome:
        """Answer a call of a service that is not in the bundle in force.

        A bundle may have left it out while calls ran: repeats get their outcome.
        """
        outcome = None if key is None else await self._keyed.join(call, key)
        detail = f"the service {call.service!r} is not in the bundle"
        return outcome or _refuse(404, detail)

    async def _count(self, work: Coroutine[None, None, CallOutcome]) -> Response:
        self._waiting_callers += 1
        running = asyncio.create_task(work)
        stopped = asyncio.create_task(self._stopped.wait())
        try:
            await asyncio.wait({running, stopped}, return_when="FIRST_COMPLETED")
            return (running.result() if running.done() else _stopped()).response
        finally:
            self._waiting_callers -= 1
            running.cancel()
            stopped.cancel()


def _parse_call(request: Request, account: ClientAccount) -> ServiceCall | CallOutcome:
    raw_path, _, query = request.target.partition("?")
    service, _, _ = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    path = request.path.removeprefix(SERVICES_PREFIX + service) or "/"
    raw = raw_path.removeprefix(SERVICES_PREFIX).partition("/")[2]
    # The service may resolve dot segments. The bundle's rule for the path as sent would
    # then be applied to a call of another path.
    if DOT_SEGMENTS & set(path.split("/")):
        return _refuse(400, "a path without the segments '.' and '..' is accepted")
    if not raw_path.startswith(SERVICES_PREFIX + service):
        return _refuse(400, "the name of the service must not be percent-encoded")
    return ServiceCall(
        account.name,
        service,
        request.method,
        path,
        f"/{raw}?{query}" if query else f"/{raw}",
        request_headers(request.headers, account.name),
        request.body,
    )


def _stopped() -> CallOutcome:
    detail = "this VM stopped before the service answered"
    return problem_outcome(Progress.SENT, 503, "VM stopped", detail)


def _refuse(status: int, detail: str) -> CallOutcome:
    return problem_outcome(Progress.NOT_SENT, status, "Request refused", detail)


def _refusal_response(status: int, detail: str) -> Response:
    return _refuse(status, detail).response
