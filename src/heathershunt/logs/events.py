"""Events that a gateway logs, each with its fields and the sentence that tells it."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Event:
    """What a line of the log tells.

    :cvar name: name of the event in the log and the metrics.
    :cvar sentence: text for a reader, filled from the fields.
    :cvar outcome_field: field that the metrics count by; its values are few.
    :cvar concerns_all_vms: whether other VMs' requests depend on it.

    .. versionadded:: 0.3
    """

    name: ClassVar[str]
    sentence: ClassVar[str]
    outcome_field: ClassVar[str | None] = None
    concerns_all_vms: ClassVar[bool] = False


# The process


@dataclass(frozen=True)
class Started(Event):
    """The listeners are bound.

    :param callers: address for callers.
    """

    name: ClassVar[str] = "started"
    sentence: ClassVar[str] = "started, callers at {callers}"
    callers: str


@dataclass(frozen=True)
class Stopping(Event):
    """The process was asked to stop.

    :param running: requests that are being served.
    """

    name: ClassVar[str] = "stopping"
    sentence: ClassVar[str] = "stopping with {running} requests running"
    running: int


@dataclass(frozen=True)
class Stopped(Event):
    """The process ends.

    :param cut: requests that were cut off.
    """

    name: ClassVar[str] = "stopped"
    sentence: ClassVar[str] = "stopped, {cut} requests cut"
    cut: int


@dataclass(frozen=True)
class ReloadIgnored(Event):
    """The process was told that its settings changed; it reads them at its start."""

    name: ClassVar[str] = "reload_ignored"
    sentence: ClassVar[str] = "settings are read at the start only"


@dataclass(frozen=True)
class LinesDropped(Event):
    """Lines were dropped.

    :param count: lines since the last such line.
    """

    name: ClassVar[str] = "lines_dropped"
    sentence: ClassVar[str] = "{count} lines dropped"
    count: int


# What the VM believes


@dataclass(frozen=True)
class ConfigurationInForce(Event):
    """A configuration was taken.

    :param version: its version.
    :param written_at: revision of the store at which it was written.
    """

    name: ClassVar[str] = "configuration_in_force"
    sentence: ClassVar[str] = "configuration {version} in force"
    version: int
    written_at: int


@dataclass(frozen=True)
class Readiness(Event):
    """The VM began or ceased to take callers.

    :param view_age_ms: age of the view of the store; ``None`` without one.
    """

    name: ClassVar[str] = "readiness"
    sentence: ClassVar[str] = "takes callers: {is_ready}, view {view_age_ms} ms old"
    is_ready: bool
    view_age_ms: int | None


@dataclass(frozen=True)
class StoreLost(Event):
    """A call of the store failed, and the one before it did not.

    :param detail: what went wrong.
    :param view_age_ms: age of the view of the store; ``None`` without one.
    """

    name: ClassVar[str] = "store_lost"
    sentence: ClassVar[str] = "store call failed: {detail}"
    detail: str
    view_age_ms: int | None


@dataclass(frozen=True)
class StoreRegained(Event):
    """The store answers again.

    :param away_ms: time since the answer before.
    """

    name: ClassVar[str] = "store_regained"
    sentence: ClassVar[str] = "store regained after {away_ms} ms"
    away_ms: int


@dataclass(frozen=True)
class MemberChanged(Event):
    """An entry VM is listed, or is no more.

    :param member: its name.
    """

    name: ClassVar[str] = "member"
    sentence: ClassVar[str] = "VM {member} listed: {is_listed}"
    member: str
    is_listed: bool


@dataclass(frozen=True)
class TargetListed(Event):
    """A target's entry came or changed.

    :param layers: layers that a runner holds; ``None`` for other targets.
    """

    name: ClassVar[str] = "target_listed"
    sentence: ClassVar[str] = (
        "target {target} of {service} listed, layers {layers}, leaving: {is_draining}"
    )
    target: str
    service: str
    layers: str | None
    is_draining: bool


@dataclass(frozen=True)
class TargetGone(Event):
    """A target is listed no more."""

    name: ClassVar[str] = "target_gone"
    sentence: ClassVar[str] = "target {target} gone"
    target: str


@dataclass(frozen=True)
class TargetEjected(Event):
    """A target failed and is avoided for a while.

    :param failures: failures in a row.
    :param pause_ms: time for which it is avoided.
    """

    name: ClassVar[str] = "target_ejected"
    sentence: ClassVar[str] = (
        "target {target} avoided for {pause_ms} ms after {failures} failures"
    )
    target: str
    failures: int
    pause_ms: int


@dataclass(frozen=True)
class TargetReadmitted(Event):
    """A target that had failed answered a request."""

    name: ClassVar[str] = "target_readmitted"
    sentence: ClassVar[str] = "target {target} works again"
    target: str


@dataclass(frozen=True)
class PaceChanged(Event):
    """A runner's report tells another pace.

    :param pace: time of its work relative to what is usual.
    """

    name: ClassVar[str] = "pace_changed"
    sentence: ClassVar[str] = "runner {target} takes {pace} times as long as usual"
    target: str
    pace: float


@dataclass(frozen=True)
class NoteTaken(Event):
    """Other VMs told that a runner is slow or failed.

    :param pace: time of its work relative to what is usual.
    :param is_failed: whether several of them found it failing.
    """

    name: ClassVar[str] = "note_taken"
    sentence: ClassVar[str] = (
        "other VMs tell of runner {target}: pace {pace}, failed: {is_failed}"
    )
    target: str
    pace: float
    is_failed: bool


@dataclass(frozen=True)
class LeadershipTaken(Event):
    """The VM may order placements.

    :param token: its fencing token.
    """

    name: ClassVar[str] = "leadership_taken"
    sentence: ClassVar[str] = "leads with token {token}"
    concerns_all_vms: ClassVar[bool] = True
    token: int


@dataclass(frozen=True)
class LeadershipLost(Event):
    """The VM may order no more placements.

    :param token: the fencing token that it had.
    """

    name: ClassVar[str] = "leadership_lost"
    sentence: ClassVar[str] = "leads no more; token was {token}"
    concerns_all_vms: ClassVar[bool] = True
    token: int


@dataclass(frozen=True)
class OrderAnswered(Event):
    """A runner was ordered to hold layers.

    :param layers: first layer and the one after the last.
    :param outcome: what is known of the order.
    :param token: fencing token of the order.
    """

    name: ClassVar[str] = "order_answered"
    sentence: ClassVar[str] = "order to {target} to hold layers {layers}: {outcome}"
    outcome_field: ClassVar[str | None] = "outcome"
    concerns_all_vms: ClassVar[bool] = True
    target: str
    layers: str
    outcome: str
    token: int


@dataclass(frozen=True)
class OrderSettled(Event):
    """An order is waited for no more.

    :param outcome: ``done``, ``void`` where the runner left, or ``overdue``.
    """

    name: ClassVar[str] = "order_settled"
    sentence: ClassVar[str] = "order to {target} to hold layers {layers} is {outcome}"
    outcome_field: ClassVar[str | None] = "outcome"
    concerns_all_vms: ClassVar[bool] = True
    target: str
    layers: str
    outcome: str
