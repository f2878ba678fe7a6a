"""Handler of ``/v1/completions``: validates requests and answers them from drafts."""

import asyncio
import re
from dataclasses import dataclass

import logbook
import msgspec
from result import Err, Ok, Result

from heathershunt.admission import Ticket
from heathershunt.bundle import Bundle, ClientAccount
from heathershunt.clock import Clock, Millis
from heathershunt.drafts.draft import Draft, DraftRequest, DraftTable
from heathershunt.drafts.execution import DraftExecutor
from heathershunt.drafts.gate import AdmissionGate
from heathershunt.drafts.observer import DraftObserver
from heathershunt.drafts.sse import json_answer, stream_answer
from heathershunt.http import Request, Response, StreamResponse, problem_response
from heathershunt.verdict import Refusal, may_have_run, not_run

log = logbook.Logger("heathershunt.drafts")

DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
MAX_PROMPT_CHARACTERS = 200_000
MAX_DEADLINE_MS = 3_600_000
FIRST_TOKEN_WAIT_MS = 1000
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")


@dataclass(frozen=True)
class CallerExtension:
    """Extension of the OpenAI format, in the field ``heathershunt`` of a request.

    :param received: texts of the tokens that the caller already has.
    """

    received: tuple[str, ...] = ()


@dataclass(frozen=True)
class CompletionBody:
    """Body of a request in the OpenAI completions format."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    seed: int = 0
    adapter: str = ""
    heathershunt: CallerExtension = CallerExtension()


_decode_body = msgspec.json.Decoder(CompletionBody).decode


class DraftHandler:
    """Validates requests, starts their drafts and answers from them.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        table: DraftTable,
        executor: DraftExecutor,
        gate: AdmissionGate,
        clock: Clock,
        observer: DraftObserver,
    ) -> None:
        self._table = table
        self._gate = gate
        self._observer = observer
        self._executor = executor
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    async def complete(
        self, request: Request, account: ClientAccount, bundle: Bundle
    ) -> Response | StreamResponse:
        """Answer ``POST /v1/completions``, as an event stream if the body requests one.

        An invalid request is answered with a problem document and starts no draft.
        """
        body = _parse_body(request.body)
        if isinstance(body, Err):
            return problem_response(body.err_value)
        draft_request = self._validate(request, body.ok_value, account, bundle)
        if isinstance(draft_request, Err):
            return problem_response(draft_request.err_value)
        draft = self.start(draft_request.ok_value, account)
        if body.ok_value.stream:
            received_count = len(draft.request.received)
            await self._wait_first_token(draft, received_count)
            if draft.refusal is not None and len(draft.tokens) == received_count:
                return json_answer(draft)
            return stream_answer(draft, received_count - 1)
        unsubscribe = draft.subscribe(lambda: None)
        await draft.ended.wait()
        unsubscribe()
        return json_answer(draft)

    def resume_local(
        self, request_id: str, after: int, account: str
    ) -> Response | StreamResponse:
        """Return the events after ``after`` of a draft that this VM owns, as a stream.

        :param after: id of the last event that the caller has, -1 for none.
        :param account: name of the caller's account; other accounts' drafts get 404.
        """
        draft = self._table.get(request_id, account)
        if draft is None:
            detail = f"no draft {request_id!r} of this account is kept here"
            return problem_response(not_run(404, "Unknown draft", detail))
        return stream_answer(draft, max(-1, after))

    def start(self, draft_request: DraftRequest, account: ClientAccount) -> Draft:
        """Start a draft; it continues if its caller disconnects."""
        draft = self._table.add(draft_request)
        if len(draft_request.received) == draft_request.max_tokens:
            # The caller has all tokens and lacks only the final event: nothing to run.
            draft.finish()
            return draft
        task = asyncio.create_task(self._run(draft, account))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return draft

    async def _run(self, draft: Draft, account: ClientAccount) -> None:
        try:
            await self._admit_and_execute(draft, account)
        except Exception:
            # A draft that never ends would keep its callers waiting until a time-out.
            log.exception("draft {} failed", draft.request_id)
            draft.refuse(_failure_refusal(draft))

    async def _admit_and_execute(self, draft: Draft, account: ClientAccount) -> None:
        request = draft.request
        cost = request.max_tokens - len(request.received)
        ticket = Ticket(
            draft.request_id, account.name, request.priority, request.deadline, cost
        )
        admitted = await self._gate.admit(ticket, request.model, account)
        if isinstance(admitted, Err):
            draft.refuse(admitted.err_value)
            self._observer.refused(draft, admitted.err_value)
            return
        try:
            self._observer.admitted(draft, self._clock.now())
            await self._executor.run(draft)
        finally:
            self._gate.release(ticket, request.model, is_complete=draft.is_complete)

    async def _wait_first_token(self, draft: Draft, received_count: int) -> None:
        """Wait up to ``FIRST_TOKEN_WAIT_MS`` for a new token or the end of the draft.

        A refusal within that time is answered with its own HTTP status. After it the
        stream begins with status 200, and its keep-alive comments let the caller tell a
        slow answer from a dead connection.

        :param received_count: tokens that the caller sent with its request.
        """
        changed = asyncio.Event()
        unsubscribe = draft.subscribe(changed.set)
        try:
            async with asyncio.timeout(FIRST_TOKEN_WAIT_MS / 1000):
                while len(draft.tokens) == received_count and not draft.ended.is_set():
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            unsubscribe()

    def _validate(
        self,
        request: Request,
        body: CompletionBody,
        account: ClientAccount,
        bundle: Bundle,
    ) -> Result[DraftRequest, Refusal]:
        model = bundle.models_by_name.get(body.model)
        if model is None:
            return _refused(404, f"the model {body.model!r} is not in the bundle")
        if not 1 <= body.max_tokens <= model.max_tokens:
            return _refused(400, f"max_tokens of 1 to {model.max_tokens} is accepted")
        if not body.prompt or len(body.prompt) > MAX_PROMPT_CHARACTERS:
            return _refused(
                400, f"a prompt of 1 to {MAX_PROMPT_CHARACTERS} characters is accepted"
            )
        if body.adapter and body.adapter not in model.adapters:
            return _refused(404, f"the adapter {body.adapter!r} is not in the bundle")
        if len(body.heathershunt.received) > body.max_tokens:
            return _refused(400, "more tokens were received than max_tokens")
        name = request.headers.get(PRIORITY_HEADER, account.priority)
        priority = bundle.priorities_by_name.get(name)
        account_priority = bundle.priorities_by_name[account.priority]
        if priority is None or priority.rank < account_priority.rank:
            return _refused(400, f"the priority {name!r} is not open to this account")
        deadline_text = request.headers.get(DEADLINE_HEADER, str(priority.deadline_ms))
        if DEADLINE_PATTERN.fullmatch(deadline_text) is None or not (
            0 < int(deadline_text) <= MAX_DEADLINE_MS
        ):
            return _refused(
                400, f"{DEADLINE_HEADER}: 1 to {MAX_DEADLINE_MS} is accepted"
            )
        return Ok(
            DraftRequest(
                account.name,
                model.name,
                model.version,
                body.adapter,
                model.layers,
                body.prompt,
                body.max_tokens,
                body.seed,
                priority.rank,
                Millis(self._clock.now() + int(deadline_text)),
                body.heathershunt.received,
                priority.name,
            )
        )


def _failure_refusal(draft: Draft) -> Refusal:
    """Return the refusal of a draft that ends by an error of this process."""
    detail = "the draft ended by a fault of this VM"
    if draft.may_have_started:
        return may_have_run(500, "Draft not finished", detail)
    return not_run(500, "Draft not started", detail)


def _parse_body(data: bytes) -> Result[CompletionBody, Refusal]:
    try:
        return Ok(_decode_body(data))
    except RecursionError:
        return _refused(400, "the JSON is nested too deeply")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _refused(400, str(error))


def _refused(status: int, detail: str) -> Err[Refusal]:
    return Err(not_run(status, "Request refused", detail))
