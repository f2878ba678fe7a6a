"""Events about links to the targets, and requests that pass through another VM."""

from dataclasses import dataclass
from typing import ClassVar

from heathershunt.logs.events import Event
from heathershunt.logs.request_events import (
    SERVER_ERROR,
    TOO_MANY_REQUESTS,
    RequestEvent,
)


@dataclass(frozen=True)
class CutOff(Event):
    """The VM found that its new connections reach no target.

    :param failed: targets to which connections failed, without a success since.
    :param after_ms: time from the first of these failures.

    .. versionadded:: 0.10
    """

    name: ClassVar[str] = "cut_off"
    sentence: ClassVar[str] = (
        "cut off from the targets: connections to {failed} of them failed in "
        "{after_ms} ms; requests are forwarded through other VMs"
    )
    failed: int
    after_ms: int


@dataclass(frozen=True)
class ReachedAgain(Event):
    """The VM that was cut off established a connection to a target again.

    :param cut_ms: time since the first failed connection.

    .. versionadded:: 0.10
    """

    name: ClassVar[str] = "reached_again"
    sentence: ClassVar[str] = "target {target} reached again after {cut_ms} ms"
    target: str
    cut_ms: int


@dataclass(frozen=True)
class Forwarded(RequestEvent):
    """Another VM answered a request of a VM that is cut off.

    :param through: name of the VM that answered.
    :param status: HTTP status of the answer.
    :param asked: number of VMs that were asked.
    :param elapsed_ms: time since the request was received.

    .. versionadded:: 0.10
    """

    name: ClassVar[str] = "forwarded"
    sentence: ClassVar[str] = (
        "forwarded through VM {through}, which answered {status} after {elapsed_ms} "
        "ms; VMs asked: {asked}"
    )
    outcome_field: ClassVar[str | None] = "status"
    ends_request: ClassVar[bool] = True
    through: str
    status: int
    asked: int
    elapsed_ms: int

    @property
    def is_failure(self) -> bool:
        """Return whether the request was refused or failed."""
        return self.status >= SERVER_ERROR or self.status == TOO_MANY_REQUESTS


@dataclass(frozen=True)
class ForwardNotTaken(RequestEvent):
    """Another VM did not take a forwarded request, or did not answer it.

    :param through: name of that VM.
    :param progress: ``declined`` if it said so, ``not_sent`` if it was not reached,
        ``lost`` if it may have taken the request, ``late`` if its answer is overdue.

    .. versionadded:: 0.10
    """

    name: ClassVar[str] = "forward_not_taken"
    sentence: ClassVar[str] = (
        "VM {through} did not serve the forwarded request ({progress}): {detail}"
    )
    outcome_field: ClassVar[str | None] = "progress"
    through: str
    progress: str
    detail: str


@dataclass(frozen=True)
class ForwardReceived(RequestEvent):
    """Another VM, which is cut off, forwarded a request to this one.

    :param sender: name of that VM.
    :param left_ms: time until the deadline of the request.
    :param sent_to: targets that may already have received the request.

    .. versionadded:: 0.10
    """

    name: ClassVar[str] = "forward_received"
    sentence: ClassVar[str] = (
        "received from VM {sender}, which is cut off; {left_ms} ms left"
    )
    sender: str
    left_ms: int
    sent_to: tuple[str, ...]
