"""What an answer of a target says of the rate of requests that it takes."""

from dataclasses import dataclass
from enum import Enum

from heathershunt.clock import Millis


@dataclass(frozen=True, slots=True)
class TargetProcess:
    """A process that takes requests, where no :class:`Target` describes it.

    :param incarnation: wall time in milliseconds when it started; 0 if unknown.

    .. versionadded:: 0.7
    """

    id: str
    incarnation: int = 0


class AnswerKind(Enum):
    """Kind of the answer that a statement came with.

    .. versionadded:: 0.7
    """

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Statement:
    """What one answer of a target said of its limit.

    :param per_s: requests a second that it takes from all VMs together; ``None`` if the
        answer named no limit.
    :param sent_at: time when the answered request was sent.

    .. versionadded:: 0.7
    """

    per_s: float | None
    sent_at: Millis
    kind: AnswerKind = AnswerKind.REQUEST
