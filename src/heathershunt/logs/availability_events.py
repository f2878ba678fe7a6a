"""Events about targets that leave or pause by what their answers say."""

from dataclasses import dataclass
from typing import ClassVar

from heathershunt.logs.events import Event


@dataclass(frozen=True)
class TargetLeaving(Event):
    """A target said in an answer that it leaves; it is sent nothing new.

    :param answer: kind of the answer.
    """

    name: ClassVar[str] = "target_leaving"
    sentence: ClassVar[str] = (
        "target {target} is leaving by its answer to a {answer}; it is sent nothing new"
    )
    target: str
    answer: str


@dataclass(frozen=True)
class TargetPaused(Event):
    """A target asked this VM for a pause in an answer.

    :param until: end of the pause, in milliseconds since the Unix epoch.
    :param answer: kind of the answer.
    """

    name: ClassVar[str] = "target_paused"
    sentence: ClassVar[str] = (
        "target {target} is paused until {until}: it asked for {pause_ms} ms"
    )
    target: str
    pause_ms: int
    until: int
    answer: str


@dataclass(frozen=True)
class TargetsPassedOver(Event):
    """Requests passed over targets that leave or pause by their answers.

    :param count: number of these targets.
    :param reasons: some of them, each with the reason.
    """

    name: ClassVar[str] = "passed_over"
    sentence: ClassVar[str] = (
        "{count} targets of service {service} were passed over: {reasons}"
    )
    service: str
    count: int
    reasons: tuple[str, ...]
