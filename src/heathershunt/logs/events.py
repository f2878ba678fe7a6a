"""Events that a gateway logs, with their fields and a sentence for the reader."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Event:
    """Base of the events; a log line holds one event.

    :cvar name: name of the event in the log and the metrics.
    :cvar sentence: text for a person, with placeholders for the fields.
    :cvar outcome_field: field whose value labels the event in the metrics; it has few
        distinct values.
    :cvar concerns_all_vms: whether the event may affect requests at other VMs.

    .. versionadded:: 0.3
    """

    name: ClassVar[str]
    sentence: ClassVar[str]
    outcome_field: ClassVar[str | None] = None
    concerns_all_vms: ClassVar[bool] = False


# The process


@dataclass(frozen=True)
class Started(Event):
    """The process started and its listeners are bound.

    :param callers: address that accepts callers.
    """

    name: ClassVar[str] = "started"
    sentence: ClassVar[str] = "started; callers connect to {callers}"
    callers: str


@dataclass(frozen=True)
class Stopping(Event):
    """The process began to shut down.

    :param running: requests in progress.
    """

    name: ClassVar[str] = "stopping"
    sentence: ClassVar[str] = "stopping with {running} requests running"
    running: int


@dataclass(frozen=True)
class Stopped(Event):
    """The process is about to exit.

    :param cut: requests in progress that were cut off.
    """

    name: ClassVar[str] = "stopped"
    sentence: ClassVar[str] = "stopped; {cut} requests cut off"
    cut: int


@dataclass(frozen=True)
class ReloadIgnored(Event):
    """The process ignored a request to reload settings: it reads them at startup."""

    name: ClassVar[str] = "reload_ignored"
    sentence: ClassVar[str] = "reload ignored: settings are read only at startup"


@dataclass(frozen=True)
class LinesDropped(Event):
    """Lines of the log were dropped.

    :param count: lines dropped since the last event of this type.
    """

    name: ClassVar[str] = "lines_dropped"
    sentence: ClassVar[str] = "{count} log lines dropped"
    count: int


# Configuration, store, members and targets


@dataclass(frozen=True)
class ConfigurationInForce(Event):
    """A newer configuration came into force.

    :param version: version of the configuration.
    :param written_at: store revision at which the configuration was written.
    """

    name: ClassVar[str] = "configuration_in_force"
    sentence: ClassVar[str] = "configuration {version} in force"
    version: int
    written_at: int


@dataclass(frozen=True)
class Readiness(Event):
    """The VM began or stopped accepting requests of callers.

    :param view_age_ms: age of the view of the store; ``None`` without a view.
    """

    name: ClassVar[str] = "readiness"
    sentence: ClassVar[str] = (
        "accepts requests: {is_ready}; the view of the store is {view_age_ms} ms old"
    )
    is_ready: bool
    view_age_ms: int | None


@dataclass(frozen=True)
class StoreFailed(Event):
    """A store call failed after a successful one.

    :param detail: reason of the failure.
    :param view_age_ms: age of the view of the store; ``None`` without a view.
    """

    name: ClassVar[str] = "store_lost"
    sentence: ClassVar[str] = "store call failed: {detail}"
    detail: str
    view_age_ms: int | None


@dataclass(frozen=True)
class StoreRecovered(Event):
    """The store answered a call again after an outage.

    :param away_ms: time since the previous answer of the store.
    """

    name: ClassVar[str] = "store_regained"
    sentence: ClassVar[str] = "store recovered after {away_ms} ms"
    away_ms: int


@dataclass(frozen=True)
class StoreRestored(Event):
    """The store came back from a copy: what was written since the copy is gone.

    :param era: number of the restorations so far, as the store counts them.
    """

    name: ClassVar[str] = "store_restored"
    sentence: ClassVar[str] = "the store was restored from a copy; its era is now {era}"
    concerns_all_vms: ClassVar[bool] = True
    era: int


@dataclass(frozen=True)
class MemberChanged(Event):
    """The member entry of an entry VM was added, changed or removed.

    :param member: name of the entry VM.
    """

    name: ClassVar[str] = "member"
    sentence: ClassVar[str] = "entry VM {member} listed: {is_listed}"
    member: str
    is_listed: bool


@dataclass(frozen=True)
class TargetListed(Event):
    """The entry of a target was added or changed.

    :param layers: range of layers that a runner holds; ``None`` for other targets.
    """

    name: ClassVar[str] = "target_listed"
    sentence: ClassVar[str] = (
        "target {target} of service {service} listed, layers {layers}, "
        "draining: {is_draining}"
    )
    target: str
    service: str
    layers: str | None
    is_draining: bool


@dataclass(frozen=True)
class TargetRemoved(Event):
    """The entry of a target was removed."""

    name: ClassVar[str] = "target_gone"
    sentence: ClassVar[str] = "target {target} is no longer listed"
    target: str


@dataclass(frozen=True)
class TargetEjected(Event):
    """A target failed and is ejected: it is avoided for some time.

    :param failures: consecutive failures of the target.
    :param pause_ms: duration of the ejection.
    """

    name: ClassVar[str] = "target_ejected"
    sentence: ClassVar[str] = (
        "target {target} ejected for {pause_ms} ms after {failures} failures"
    )
    target: str
    failures: int
    pause_ms: int


@dataclass(frozen=True)
class TargetReadmitted(Event):
    """A target that had failed answered a request and is used again."""

    name: ClassVar[str] = "target_readmitted"
    sentence: ClassVar[str] = "target {target} readmitted after it answered a request"
    target: str


@dataclass(frozen=True)
class PaceChanged(Event):
    """The pace in the reports of a runner changed.

    :param pace: time of the runner's work as a multiple of the usual time.
    """

    name: ClassVar[str] = "pace_changed"
    sentence: ClassVar[str] = "runner {target} takes {pace} times as long as usual"
    target: str
    pace: float


@dataclass(frozen=True)
class NoteReceived(Event):
    """Other VMs sent a note that a runner is slow or has failed.

    :param pace: time of the runner's work as a multiple of the usual time.
    :param is_failed: whether several VMs detected a failure of the runner.
    """

    name: ClassVar[str] = "note_taken"
    sentence: ClassVar[str] = (
        "other VMs report runner {target}: pace {pace}, failed: {is_failed}"
    )
    target: str
    pace: float
    is_failed: bool


@dataclass(frozen=True)
class PartBlocked(Event):
    """Requests of an account with a part of a prompt are refused: it crashes runners.

    :param account: client account; empty on public routes.
    """

    name: ClassVar[str] = "part_blocked"
    sentence: ClassVar[str] = (
        "requests of account {account} with the part {part} are refused: runners "
        "crashed when they began to write on it"
    )
    part: str
    account: str


@dataclass(frozen=True)
class PartTrusted(Event):
    """Requests with a part that was blocked are sent again.

    :param account: client account; empty on public routes.
    """

    name: ClassVar[str] = "part_trusted"
    sentence: ClassVar[str] = (
        "requests of account {account} with the part {part} are sent again"
    )
    part: str
    account: str


@dataclass(frozen=True)
class LimitNamed(Event):
    """A target named how many requests it takes from all VMs together.

    :param per_s: requests a second.
    :param answer: kind of the answer that named the limit.
    """

    name: ClassVar[str] = "limit_named"
    sentence: ClassVar[str] = (
        "target {target} takes at most {per_s} requests a second from all VMs"
    )
    target: str
    per_s: float
    answer: str


@dataclass(frozen=True)
class LimitWithdrawn(Event):
    """A target that had named a limit answered without one.

    :param answer: kind of the answer that named none.
    """

    name: ClassVar[str] = "limit_withdrawn"
    sentence: ClassVar[str] = "target {target} names no limit any more"
    target: str
    answer: str


@dataclass(frozen=True)
class LeadershipTaken(Event):
    """The VM became leader: it may order placements.

    :param token: fencing token of the leader.
    """

    name: ClassVar[str] = "leadership_taken"
    sentence: ClassVar[str] = "became leader with fencing token {token}"
    concerns_all_vms: ClassVar[bool] = True
    token: int


@dataclass(frozen=True)
class LeadershipLost(Event):
    """The VM is no longer leader: it may not order placements.

    :param token: fencing token of the lost leadership.
    """

    name: ClassVar[str] = "leadership_lost"
    sentence: ClassVar[str] = "leadership lost; the fencing token was {token}"
    concerns_all_vms: ClassVar[bool] = True
    token: int


@dataclass(frozen=True)
class OrderAnswered(Event):
    """An order to hold layers was sent to a runner.

    :param layers: first layer and the layer after the last one.
    :param outcome: value of the ``OrderOutcome``.
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
    """An order is no longer pending.

    :param outcome: ``done``, ``void`` if the runner left or restarted, or ``overdue``.
    """

    name: ClassVar[str] = "order_settled"
    sentence: ClassVar[str] = "order to {target} to hold layers {layers} is {outcome}"
    outcome_field: ClassVar[str | None] = "outcome"
    concerns_all_vms: ClassVar[bool] = True
    target: str
    layers: str
    outcome: str
