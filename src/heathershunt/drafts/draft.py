"""Drafts and their tokens, kept in memory so that callers can resume their streams."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.verdict import Refusal, may_have_run, not_run


@dataclass(frozen=True)
class DraftRequest:
    """A validated request for a draft.

    :param layers: number of layers of the model.
    :param priority: rank of the priority; lower goes first.
    :param received: texts of the tokens that the caller already got from another VM,
        which owned the draft and is no longer available.
    :param deadline: monotonic time by which the answer must be complete.
    """

    account: str
    model: str
    version: str
    adapter: str
    layers: int
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    deadline: Millis
    received: tuple[str, ...] = ()
    priority_name: str = "normal"


class Draft:
    """One draft: its request, its tokens so far, and its outcome.

    :param request_id: unique over VMs and restarts.
    :param created_at: monotonic time in milliseconds, as all times here.
    :ivar tokens: texts of all tokens so far, those in ``request.received`` included.
    :ivar failed_at: time of the first failed epoch that no token has followed yet.
    :ivar refusal: why the draft ended without a complete answer.
    :ivar may_have_started: whether a runner may have started work on the draft.
    :ivar unread_since: time from which no caller has read the running draft.
    :ivar is_delivered: whether a caller is known to have the complete answer or the
        refusal.

    .. versionadded:: 0.1
    """

    def __init__(
        self, request_id: str, request: DraftRequest, created_at: Millis
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.created_at = created_at
        self.first_token_at: Millis | None = None
        self.failed_at: Millis | None = None
        self.tokens: list[str] = list(request.received)
        self.epoch = 0
        self.is_complete = False
        self.refusal: Refusal | None = None
        self.may_have_started = False
        self.ended = asyncio.Event()
        self.ended_at: Millis | None = None
        self.unread_since: Millis | None = None
        self.is_delivered = False
        self._subscribers: list[Callable[[], None]] = []

    def accept(self, position: int, text: str, is_last: bool) -> bool:
        """Append the next token and notify the subscribers.

        :param is_last: whether the token completes the answer.
        :returns: ``False``, without a change, if the draft has ended or ``position`` is
            not the next one.
        """
        if self.ended.is_set() or position != len(self.tokens):
            return False
        self.tokens.append(text)
        if is_last:
            self.finish()
        self._notify()
        return True

    def finish(self) -> None:
        """End the draft with a complete answer; subscribers are not notified."""
        self.is_complete = True
        self.ended.set()

    def confirm_delivery(self) -> None:
        """Mark the draft as delivered if it has ended."""
        self.is_delivered = self.ended.is_set()

    def refuse(self, refusal: Refusal) -> None:
        """End the draft without a complete answer; no effect if it has ended."""
        if not self.ended.is_set():
            self.refusal = refusal
            self.ended.set()
            self._notify()

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call ``callback`` after each change; return a function that unsubscribes."""
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    @property
    def has_reader(self) -> bool:
        """Return whether a caller's connection is reading the answer."""
        return bool(self._subscribers)

    def _notify(self) -> None:
        for callback in list(self._subscribers):
            callback()


class DraftTable:
    """All drafts that this VM owns, by request id.

    :param incarnation: number that differs for each start of this VM's process, so that
        ids differ as well.
    :param resume_window_ms: how long an ended draft is kept, and how long a running one
        continues without a reader.

    .. versionadded:: 0.1
    """

    def __init__(
        self, vm: str, incarnation: int, clock: Clock, resume_window_ms: int
    ) -> None:
        self._prefix = f"{vm}.{incarnation}"
        self._clock = clock
        self._resume_window_ms = resume_window_ms
        self._counter = itertools.count(1)
        self.drafts_by_request: dict[str, Draft] = {}

    def add(self, request: DraftRequest) -> Draft:
        """Create a draft with a new request id."""
        request_id = f"{self._prefix}.{next(self._counter)}"
        draft = Draft(request_id, request, self._clock.now())
        self.drafts_by_request[request_id] = draft
        return draft

    def get(self, request_id: str, account: str) -> Draft | None:
        """Return a draft of ``account``; ``None`` also for other accounts' drafts."""
        draft = self.drafts_by_request.get(request_id)
        if draft is None or draft.request.account != account:
            return None
        return draft

    def is_owner(self, request_id: str) -> bool:
        """Return whether this incarnation of the VM issued the id."""
        return request_id.rpartition(".")[0] == self._prefix

    def remove_expired(self) -> None:
        """Remove ended drafts and refuse unread ones after the resume window.

        Call it periodically: a window begins with the first call that sees the draft
        ended or unread.
        """
        now = self._clock.now()
        for request_id, draft in list(self.drafts_by_request.items()):
            if not draft.ended.is_set():
                self._end_if_abandoned(draft, now)
            elif draft.ended_at is None:
                draft.ended_at = now
            elif now - draft.ended_at > self._resume_window_ms:
                del self.drafts_by_request[request_id]

    def refuse_running(self) -> None:
        """Refuse the drafts that have not ended, because this VM stops."""
        detail = "this VM stopped before the answer was complete"
        for draft in self.drafts_by_request.values():
            if draft.may_have_started:
                draft.refuse(may_have_run(503, "VM stopped", detail))
            else:
                draft.refuse(not_run(503, "VM stopped", detail))

    def _end_if_abandoned(self, draft: Draft, now: Millis) -> None:
        if draft.has_reader:
            draft.unread_since = None
        elif draft.unread_since is None:
            draft.unread_since = now
        elif now - draft.unread_since > self._resume_window_ms:
            detail = "the caller did not come back for the answer"
            draft.refuse(may_have_run(504, "Draft abandoned", detail))

    @property
    def running(self) -> int:
        """Return the number of drafts that have not ended."""
        return sum(not d.ended.is_set() for d in self.drafts_by_request.values())

    def undelivered(self, return_window_ms: int) -> int:
        """Return the number of drafts whose caller may still lack the complete answer.

        :param return_window_ms: time after a draft's end during which its caller is
            expected to reconnect for the rest.
        """
        now = self._clock.now()
        return sum(
            not draft.is_delivered
            and (draft.ended_at is None or now - draft.ended_at < return_window_ms)
            for draft in self.drafts_by_request.values()
        )
