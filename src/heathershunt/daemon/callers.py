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
from heathershunt.services import SERVICES_PREFIX
from heathershunt.verdict import Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon

RETRY_AFTER_MS = 1000
BEARER = "bearer "


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
        refusal = self._refusal()
        if path == "/readyz":
            if refusal is not None:
                return problem_response(refusal)
            runners = len(self._daemon.board.states_by_runner)
            version = self._daemon.keeper.version
            return json_response(200, {"version": version, "runners": runners})
        if refusal is not None:
            return problem_response(refusal)
        account = self._account(request)
        if account is None:
            detail = "the bearer token is missing or unknown"
            return problem_response(not_run(401, "Unauthorized", detail))
        return await self._handle_account(request, account)

    def _refusal(self) -> Refusal | None:
        if self._daemon.is_leaving:
            return not_run(503, "Leaving", "this VM is leaving", RETRY_AFTER_MS)
        if self._daemon.keeper.bundle is None:
            detail = "no bundle is in force here yet"
            return not_run(503, "Not ready", detail, RETRY_AFTER_MS)
        return None

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
        if request.method == "GET" and request.path.startswith("/v1/completions/"):
            request_id = request.path.removeprefix("/v1/completions/")
            return await drafts.resume(request, request_id, account)
        if request.path.startswith(SERVICES_PREFIX):
            bundle = self._daemon.keeper.bundle
            return await self._daemon.services.handle(request, account, bundle)
        if route == ("GET", "/v1/address"):
            key = self._daemon.services.issue_key(account)
            return json_response(200, {"idempotency_key": key})
        detail = f"there is no {request.method} {request.path}"
        return problem_response(not_run(404, "Not found", detail))
