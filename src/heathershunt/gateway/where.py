"""Answers where a request would go now, without sending it."""

from collections.abc import Callable

import msgspec

from heathershunt.catalog import WeightedService
from heathershunt.gateway.directory import JSON_TYPE
from heathershunt.gateway.request_handler import Admission, RequestHandler
from heathershunt.gateway.where_calls import explain_call
from heathershunt.gateway.where_messages import (
    KEY_HEADER,
    RefusalRow,
    ServiceRow,
    WhereAnswer,
    WhereQuery,
    decode_query,
)
from heathershunt.gateway.where_streams import StreamExplanation
from heathershunt.http import Request, Response
from heathershunt.relay import CallerRequest, RelayContext, StreamSpec
from heathershunt.schema.decoding import MalformedError
from heathershunt.verdict import Refusal


class Where:
    """Answers ``GET /where`` from the state of a gateway, which it only reads.

    :param vm: name of this VM.
    :param view_age_ms: returns the age of the view of the store; ``None`` before the
        first answer of the store.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        vm: str,
        context: RelayContext,
        handler: RequestHandler,
        view_age_ms: Callable[[], int | None],
    ) -> None:
        self._vm = vm
        self._context = context
        self._handler = handler
        self._view_age_ms = view_age_ms

    async def handle(self, request: Request) -> Response:
        """Return the answer as JSON, or status 400 if the query is malformed."""
        if request.method != "GET":
            return Response(405, {"allow": "GET"})
        try:
            query = decode_query(request.query)
        except MalformedError as error:
            body = msgspec.json.encode({"error": str(error)})
            return Response(400, JSON_TYPE, body)
        answer = self.answer(query, request.headers.get(KEY_HEADER))
        return Response(200, JSON_TYPE, msgspec.json.encode(answer))

    def answer(self, query: WhereQuery, api_key: str | None) -> WhereAnswer:
        """Return where a request would go now."""
        request = CallerRequest(
            id="",
            method=query.method,
            host=query.host,
            target=query.path,
            fields=(),
            body=b"",
            received_at=self._context.clock.now(),
            api_key=api_key,
            prompt_tokens=query.prompt_tokens,
            max_tokens=query.max_tokens,
        )
        admission = self._handler.check(request)
        answer = WhereAnswer(
            vm=self._vm,
            vms=self._context.vm_count(),
            view_age_ms=self._view_age_ms(),
            version=None,
        )
        if isinstance(admission, Refusal):
            row = RefusalRow(admission.status, admission.detail)
            return msgspec.structs.replace(answer, refusal=row)
        route, account = admission.route, admission.account
        return msgspec.structs.replace(
            answer,
            version=admission.catalog.version,
            route=route.name,
            kind=route.kind.value,
            account=account.name if account else None,
            rank=admission.rank,
            services=tuple(
                self._explain(admission, request, item) for item in route.services
            ),
        )

    def _explain(
        self, admission: Admission, request: CallerRequest, item: WeightedService
    ) -> ServiceRow:
        service = admission.catalog.services_by_name.get(item.service)
        route = admission.route
        deadline = self._handler.deadline(request, route)
        refusal = ""
        if service is None:
            refusal = "the route has no service"
        elif not self._handler.gate.may_take(route.name, deadline):
            refusal = "the VM is about to stop"
        if refusal:
            return ServiceRow(
                service=item.service,
                weight=item.weight,
                outcome="refuse",
                detail=refusal,
            )
        if service.engine is None:
            calls = self._handler.calls
            return explain_call(self._context, calls, item.service, item.weight)
        account = admission.account
        spec = StreamSpec(
            request,
            route,
            item.service,
            service.engine,
            account.name if account else None,
            deadline,
        )
        waiting = self._handler.streams.waiting(item.service)
        return StreamExplanation(self._context, spec, waiting).row(item.weight)
