"""Verdict on a failed request and the refusal that reports it.

``verdict_for`` is the only function that derives a verdict from the progress of a
request towards its target.
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
    """Furthest step that a request may have reached on its way to a target.

    .. versionadded:: 0.1
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    ANSWERED = "answered"


def verdict_for(progress: Progress, *, target_declined: bool = False) -> Verdict:
    """Return the verdict on a request that reached ``progress``.

    :param progress: ``NOT_SENT`` only if no byte was written to a socket.
    :param target_declined: whether the target answered that it did not run the request.
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
    :param detail: reason why this request was refused, as a text for people.
    :param verdict: whether the request may have run.
    :param retry_after: time after which the caller may retry, in milliseconds.
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
    """Return a refusal of a request that did not run.

    :param retry_after: time after which the caller may retry, in milliseconds.
    :param address: base address of another VM to use, if one is known.
    """
    after = None if retry_after is None else Millis(retry_after)
    return Refusal(status, title, detail, Verdict.NOT_RUN, after, address)


def may_have_run(status: int, title: str, detail: str) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(status, title, detail, Verdict.MAY_HAVE_RUN)
