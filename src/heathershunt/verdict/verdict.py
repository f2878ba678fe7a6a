"""The verdict on a failed request and the refusal that carries it.

``verdict_for`` is the only place that turns the progress of a request towards its
target into a verdict.
"""

from dataclasses import dataclass
from enum import Enum

from heathershunt.clock import Millis


class Verdict(Enum):
    """Whether a request may have run.

    .. versionadded:: 0.1
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Progress(Enum):
    """How far the bytes of a request can have travelled.

    .. versionadded:: 0.1
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    ANSWERED = "answered"


def verdict_for(progress: Progress, *, target_declined: bool = False) -> Verdict:
    """Return what may be said of a request that reached ``progress``.

    :param progress: ``NOT_SENT`` only if no byte was handed to a socket.
    :param target_declined: the target itself answered that it did not run it.
    """
    if progress is Progress.NOT_SENT or target_declined:
        return Verdict.NOT_RUN
    if progress is Progress.ANSWERED:
        return Verdict.RAN
    return Verdict.MAY_HAVE_RUN


@dataclass(frozen=True)
class Refusal:
    """Final negative answer to one request.

    :param status: HTTP status code.
    :param title: short summary, the same for every refusal of its kind.
    :param detail: what happened to this request, in plain words.
    :param verdict: whether the request may have run.
    :param retry_after: when coming back makes sense, in milliseconds.
    :param address: base address of another VM to use, if one is known.

    .. versionadded:: 0.1
    """

    status: int
    title: str
    detail: str
    verdict: Verdict
    retry_after: Millis | None = None
    address: str | None = None


def not_run(
    status: int,
    title: str,
    detail: str,
    retry_after: int | None = None,
    address: str | None = None,
) -> Refusal:
    """Return a refusal of a request that was not run."""
    after = None if retry_after is None else Millis(retry_after)
    return Refusal(status, title, detail, Verdict.NOT_RUN, after, address)


def may_have_run(status: int, title: str, detail: str) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(status, title, detail, Verdict.MAY_HAVE_RUN)
