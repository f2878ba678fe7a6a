"""Drafts and their tokens, kept in memory for the caller to come back to."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.verdict import Refusal, may_have_run


@dataclass(frozen=True)
class DraftRequest:
    """A checked request for a draft.

    :param received: texts that the caller already has from an owner that is gone.
    :param deadline: monotonic time by which the answer is wanted.
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
    """One draft: its request, its tokens so far, and its end.

    ``is_delivered`` is set once a caller is known to have the whole answer or its
    refusal.

    :param request_id: unique over VMs and restarts.

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
        self.is_whole = False
        self.refusal: Refusal | None = None
        self.may_have_started = False
        self.ended = asyncio.Event()
        self.ended_at: Millis | None = None
        self.left_at: Millis | None = None
        self.is_delivered = False
        self._subscribers: list[Callable[[], None]] = []

    def accept(self, position: int, text: str, last: bool) -> bool:
        """Take the next token; ``False`` if ``position`` is not the next one."""
        if self.ended.is_set() or position != len(self.tokens):
            return False
        self.tokens.append(text)
        if last:
            self.finish()
        self._notify()
        return True

    def finish(self) -> None:
        """End a draft whose last token is there."""
        self.is_whole = True
        self.ended.set()

    def confirm_delivery(self) -> None:
        """Note that a caller has the whole answer, if the draft has ended."""
        self.is_delivered = self.ended.is_set()

    def refuse(self, refusal: Refusal) -> None:
        """End the draft without its whole answer."""
        if not self.ended.is_set():
            self.refusal = refusal
            self.ended.set()
            self._notify()

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call ``callback`` after each change; return how to stop that."""
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    @property
    def has_reader(self) -> bool:
        """Return whether a caller's connection takes the answer now."""
        return bool(self._subscribers)

    def _notify(self) -> None:
        for callback in list(self._subscribers):
            callback()


class DraftTable:
    """All drafts that this VM owns, by request id.

    :param incarnation: of this VM, so that ids differ across restarts.
    :param window_ms: how long an ended draft is kept.

    .. versionadded:: 0.1
    """

    def __init__(self, vm: str, incarnation: int, clock: Clock, window_ms: int) -> None:
        self._prefix = f"{vm}.{incarnation}"
        self._clock = clock
        self._window_ms = window_ms
        self._counter = itertools.count(1)
        self.drafts_by_request: dict[str, Draft] = {}

    def add(self, request: DraftRequest) -> Draft:
        """Create a draft with a new request id."""
        request_id = f"{self._prefix}.{next(self._counter)}"
        draft = Draft(request_id, request, self._clock.now())
        self.drafts_by_request[request_id] = draft
        return draft

    def get(self, request_id: str, account: str) -> Draft | None:
        """Return a draft of ``account``; drafts of others do not exist for it."""
        draft = self.drafts_by_request.get(request_id)
        if draft is None or draft.request.account != account:
            return None
        return draft

    def is_owner(self, request_id: str) -> bool:
        """Return whether this incarnation issued the id."""
        return request_id.rpartition(".")[0] == self._prefix

    def remove_old(self) -> None:
        """Drop drafts that ended, and end drafts left, longer ago than the window."""
        now = self._clock.now()
        for request_id, draft in list(self.drafts_by_request.items()):
            if not draft.ended.is_set():
                self._end_if_left(draft, now)
            elif draft.ended_at is None:
                draft.ended_at = now
            elif now - draft.ended_at > self._window_ms:
                del self.drafts_by_request[request_id]

    def _end_if_left(self, draft: Draft, now: Millis) -> None:
        if draft.has_reader:
            draft.left_at = None
        elif draft.left_at is None:
            draft.left_at = now
        elif now - draft.left_at > self._window_ms:
            detail = "the caller did not come back for the answer"
            draft.refuse(may_have_run(504, "Draft abandoned", detail))

    @property
    def running(self) -> int:
        """Return the number of drafts that have not ended."""
        return sum(not d.ended.is_set() for d in self.drafts_by_request.values())

    def undelivered(self, return_window_ms: int) -> int:
        """Return the number of drafts whose caller may still lack the whole answer.

        :param return_window_ms: how long a caller may take to come back.
        """
        now = self._clock.now()
        return sum(
            not draft.is_delivered
            and (draft.ended_at is None or now - draft.ended_at < return_window_ms)
            for draft in self.drafts_by_request.values()
        )
