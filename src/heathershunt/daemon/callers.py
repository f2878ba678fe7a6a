"""Routes of the callers' listener."""

from typing import TYPE_CHECKING

from heathershunt.bundle import ClientAccount
from heathershunt.http import (
    Request,
    Response,
    StreamResponse,
    json_response,
    problem_response,
)
from heathershunt.verdict import Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon

RETRY_AFTER_MS = 1000
BEARER = "bearer "
RESUME_PREFIX = "/v1/completions/"


class CallerRoutes:
    """Finds the handler of a caller's request.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon

    async def handle(self, request: Request) -> Response | StreamResponse:
        """Answer one request."""
        path = request.path
        if path == "/healthz":
            return json_response(200, {"status": "ok"})
        if path == "/metrics":
            return self._daemon.operations.metrics_response()
        if self._is_resume(request) and self._daemon.keeper.bundle is not None:
            # A leaving VM still hands out the answers that it owes.
            return await self._handle_authorized(request)
        refusal = self._refusal()
        if path == "/readyz":
            if refusal is not None:
                return problem_response(refusal)
            runners = len(self._daemon.board.states_by_runner)
            version = self._daemon.keeper.version
            return json_response(200, {"version": version, "runners": runners})
        if refusal is not None:
            return self._refuse(refusal)
        return await self._handle_authorized(request)

    def _is_resume(self, request: Request) -> bool:
        return request.method == "GET" and request.path.startswith(RESUME_PREFIX)

    async def _handle_authorized(self, request: Request) -> Response | StreamResponse:
        account = self._account(request)
        if account is None:
            detail = "the bearer token is missing or unknown"
            return self._refuse(not_run(401, "Unauthorized", detail))
        return await self._handle_account(request, account)

    def _refusal(self) -> Refusal | None:
        if self._daemon.is_leaving:
            return not_run(503, "Leaving", "this VM is leaving", RETRY_AFTER_MS)
        if self._daemon.keeper.bundle is None:
            detail = "no bundle is in force here yet"
            return not_run(503, "Not ready", detail, RETRY_AFTER_MS)
        return None

    def _refuse(self, refusal: Refusal) -> Response:
        """Refuse a request before its client account is known."""
        self._daemon.operations.metrics.count_request(refusal.verdict, "")
        return problem_response(refusal)

    def _account(self, request: Request) -> ClientAccount | None:
        value = request.headers.get("authorization", "")
        if not value.lower().startswith(BEARER):
            return None
        return self._daemon.keeper.bundle.account_for_token(value[len(BEARER) :])

    async def _handle_account(
        self, request: Request, account: ClientAccount
    ) -> Response | StreamResponse:
        drafts = self._daemon.drafts
        route = (request.method, request.path)
        if route == ("POST", "/v1/completions"):
            return await drafts.complete(request, account, self._daemon.keeper.bundle)
        if self._is_resume(request):
            request_id = request.path.removeprefix(RESUME_PREFIX)
            return await drafts.resume(request, request_id, account)
        detail = f"there is no {request.method} {request.path}"
        return problem_response(not_run(404, "Not found", detail))
