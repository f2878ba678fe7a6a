"""Requests that were received and whose connection closed before their answer ended."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import logbook

from heathershunt.http.messages import Request

log = logbook.Logger("heathershunt.http")


class CutCause(Enum):
    """Why a connection closed before the end of an answer.

    :cvar CALLER_CLOSED: the caller closed or reset the connection.
    :cvar STREAM_FAILED: the streamed answer could not be completed.
    :cvar INVALID_ANSWER: the answer cannot be written as HTTP/1.1.
    :cvar NOT_READ: the connection closed with received bytes of a request unread.
    :cvar NOT_DELIVERED: the process stopped while bytes of a written answer had not
        reached the caller's host.
    :cvar STOPPED: the process stopped.

    .. versionadded:: 0.8
    """

    CALLER_CLOSED = "caller_closed"
    STREAM_FAILED = "stream_failed"
    INVALID_ANSWER = "invalid_answer"
    NOT_DELIVERED = "not_delivered"
    NOT_READ = "not_read"
    STOPPED = "stopped"


class AnswerError(Exception):
    """An answer that cannot be completed, so that its connection closes.

    A handler that raises it gives no answer, as a stand-in of a server that fails.

    .. versionadded:: 0.8
    """

    def __init__(self, cause: CutCause, detail: str) -> None:
        super().__init__(detail)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """A connection that closed after a request and before the end of its answer.

    :param request: the request; ``None`` if it was received but not read.
    :param has_begun: whether the head of the answer was written.
    :param detail: error message, empty without one.

    .. versionadded:: 0.8
    """

    request: Request | None
    cause: CutCause
    has_begun: bool
    detail: str


CutHandler = Callable[[AnswerCut], None]


def log_cut(cut: AnswerCut) -> None:
    """Log a cut answer; the default of servers without a handler of their own."""
    target = "a request" if cut.request is None else cut.request.target
    log.info("answer to {} cut: {} {}", target, cut.cause.value, cut.detail)


class AnswerWatch:
    """Tracks whether a connection owes an answer, and reports one that is cut.

    :param on_cut: called once for each answer that is cut.

    .. versionadded:: 0.8
    """

    def __init__(self, on_cut: CutHandler) -> None:
        self._on_cut = on_cut
        self._request: Request | None = None
        self._last: Request | None = None
        self._has_begun = False

    @property
    def is_owed(self) -> bool:
        """Return whether a request has been read whose answer has not ended."""
        return self._request is not None

    @property
    def has_begun(self) -> bool:
        """Return whether the head of the answer was written."""
        return self._has_begun

    def on_request(self, request: Request) -> None:
        """Record that a request was read whole."""
        self._request = self._last = request
        self._has_begun = False

    def on_answer(self) -> None:
        """Record that the head of the answer was written."""
        self._has_begun = True

    def on_end(self) -> None:
        """Record that the whole answer was written."""
        self._request = None

    def cut(self, cause: CutCause, detail: str = "") -> None:
        """Report that the connection closes, if an answer is owed."""
        if self._request is None:
            return
        cut = AnswerCut(self._request, cause, self._has_begun, detail)
        self._request = None
        self._on_cut(cut)

    def cut_undelivered(self, unsent_bytes: int) -> None:
        """Report that the end of an answer that was written is discarded."""
        detail = f"{unsent_bytes} bytes were not sent"
        self._on_cut(AnswerCut(self._last, CutCause.NOT_DELIVERED, True, detail))

    def cut_unread(self) -> None:
        """Report that received bytes of a request are discarded."""
        self._on_cut(AnswerCut(None, CutCause.NOT_READ, False, ""))
