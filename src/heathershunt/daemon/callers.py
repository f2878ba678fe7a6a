"""Routes of the callers' listener."""

import re
from typing import TYPE_CHECKING

from heathershunt.bundle import ClientAccount
from heathershunt.http import (
    Request,
    Response,
    StreamResponse,
    json_response,
    problem_response,
)
from heathershunt.services import SERVICES_PREFIX
from heathershunt.verdict import Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon

RETRY_AFTER_MS = 1000
BEARER_PREFIX = "bearer "
RESUME_PREFIX = "/v1/completions/"
ADDRESS_PATH = "/v1/address"
REQUEST_ID = re.compile(r"[^/]{1,64}\.[0-9]{1,16}\.[0-9]{1,16}")
EVENT_ID = re.compile(r"-1|[0-9]{1,9}")


class CallerRoutes:
    """Routes callers' requests to their handlers.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon

    async def handle(self, request: Request) -> Response | StreamResponse:
        """Return the response to one request."""
        path = request.path
        if path == "/healthz":
            return json_response(200, {"status": "ok"})
        if path == "/metrics":
            return self._daemon.operations.metrics_response()
        if path == ADDRESS_PATH and request.method == "GET":
            return self._address_response(request)
        if self._daemon.keeper.bundle is not None and self._is_follow_up(request):
            # Served even if this VM is leaving or its bundle is not confirmed.
            return await self._authenticate_and_handle(request)
        refusal = self._new_work_refusal()
        if path == "/readyz":
            return self._readiness_response(refusal)
        if refusal is not None:
            return self._refuse(refusal)
        return await self._authenticate_and_handle(request)

    def _readiness_response(self, refusal: Refusal | None) -> Response:
        if refusal is not None:
            return problem_response(refusal)
        daemon = self._daemon
        return json_response(
            200,
            {
                "version": daemon.keeper.version,
                "runners": len(daemon.registry.states_by_runner),
                "vms": len(daemon.fleet.live_vms()),
            },
        )

    def _address_response(self, request: Request) -> Response:
        """Return the entry VM to use; a known account gets an idempotency key too."""
        answer = self._daemon.fleet.address_for(request.peer)
        if answer is None:
            detail = "no VM takes new work at present"
            return self._refuse(not_run(503, "No VM", detail, RETRY_AFTER_MS))
        payload = {
            "vm": answer.vm,
            "address": answer.address,
            "keep_ms": answer.keep_ms,
            "alternatives": list(answer.alternatives),
        }
        account = self._authenticate(request)
        if account is not None and not self._daemon.is_leaving:
            payload["idempotency_key"] = self._daemon.services.issue_key(account)
        headers = {"cache-control": f"max-age={answer.keep_ms // 1000}"}
        return json_response(200, payload, headers)

    def _is_follow_up(self, request: Request) -> bool:
        """Return whether a request resumes a draft or repeats a keyed call.

        Only keyed calls count that run on this VM or whose outcome it stores.
        """
        if self._is_resume(request):
            return True
        key = request.headers.get("idempotency-key")
        if key is None or not request.path.startswith(SERVICES_PREFIX):
            return False
        account = self._authenticate(request)
        return account is not None and self._daemon.services.has_call(account, key)

    def _is_resume(self, request: Request) -> bool:
        return request.method == "GET" and request.path.startswith(RESUME_PREFIX)

    async def _authenticate_and_handle(
        self, request: Request
    ) -> Response | StreamResponse:
        account = self._authenticate(request)
        if account is None:
            detail = "the bearer token is missing or unknown"
            return self._refuse(not_run(401, "Unauthorized", detail))
        return await self._handle_account(request, account)

    def _new_work_refusal(self) -> Refusal | None:
        """Return why this VM cannot take new work, or ``None`` if it can."""
        daemon = self._daemon
        other = daemon.fleet.other_address()
        if daemon.is_leaving:
            detail = "this VM is leaving"
            return not_run(503, "Leaving", detail, RETRY_AFTER_MS, other)
        if daemon.keeper.bundle is None:
            detail = "no bundle is in force here yet"
            return not_run(503, "Not ready", detail, RETRY_AFTER_MS, other)
        if not daemon.fleet.tracker.is_confirmed(daemon.clock.now()):
            detail = "neither the store nor a peer confirms the bundle in force here"
            return not_run(503, "Not ready", detail, RETRY_AFTER_MS)
        return None

    def _refuse(self, refusal: Refusal) -> Response:
        """Count a refusal under no client account and return its response."""
        self._daemon.operations.metrics.count_request(refusal.verdict, "")
        return problem_response(refusal)

    def _authenticate(self, request: Request) -> ClientAccount | None:
        """Return the client account of the bearer token, if it is known."""
        value = request.headers.get("authorization", "")
        bundle = self._daemon.keeper.bundle
        if bundle is None or not value.lower().startswith(BEARER_PREFIX):
            return None
        return bundle.account_for_token(value[len(BEARER_PREFIX) :])

    async def _handle_account(
        self, request: Request, account: ClientAccount
    ) -> Response | StreamResponse:
        drafts = self._daemon.drafts
        route = (request.method, request.path)
        if route == ("POST", "/v1/completions"):
            return await drafts.complete(request, account, self._daemon.keeper.bundle)
        if self._is_resume(request):
            return await self._resume(request, account)
        if request.path.startswith(SERVICES_PREFIX):
            bundle = self._daemon.keeper.bundle
            return await self._daemon.services.handle(request, account, bundle)
        detail = f"there is no {request.method} {request.path}"
        return problem_response(not_run(404, "Not found", detail))

    async def _resume(
        self, request: Request, account: ClientAccount
    ) -> Response | StreamResponse:
        """Stream the rest of a draft, from this VM or through the VM that owns it."""
        request_id = request.path.removeprefix(RESUME_PREFIX)
        text = request.headers.get("last-event-id", "-1")
        if REQUEST_ID.fullmatch(request_id) is None or EVENT_ID.fullmatch(text) is None:
            detail = "the request id or Last-Event-ID is malformed"
            return problem_response(not_run(400, "Request refused", detail))
        after = int(text)
        if self._daemon.draft_table.is_owner(request_id):
            return self._daemon.drafts.resume_local(request_id, after, account.name)
        return await self._daemon.peer_requests.resume(request_id, after, account)
