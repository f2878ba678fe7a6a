"""All types of events and their names, for programs that read logs."""

from heathershunt.logs import events, request_events
from heathershunt.logs.events import Event

EVENT_TYPES: tuple[type[Event], ...] = (
    events.Started,
    events.Stopping,
    events.Stopped,
    events.ReloadIgnored,
    events.LinesDropped,
    events.ConfigurationInForce,
    events.Readiness,
    events.StoreFailed,
    events.StoreRecovered,
    events.MemberChanged,
    events.TargetListed,
    events.TargetRemoved,
    events.TargetEjected,
    events.TargetReadmitted,
    events.PaceChanged,
    events.NoteReceived,
    events.LeadershipTaken,
    events.LeadershipLost,
    events.OrderAnswered,
    events.OrderSettled,
    request_events.Admitted,
    request_events.Refused,
    request_events.Sent,
    request_events.SendFailed,
    request_events.SendRejected,
    request_events.RetryDenied,
    request_events.PauseExamined,
    request_events.ChainReplaced,
    request_events.ChainNotReplaced,
    request_events.StreamBroken,
    request_events.StreamResumed,
    request_events.StreamRefused,
    request_events.StreamEnded,
    request_events.CallEnded,
    request_events.CallerDisconnected,
)
EVENT_TYPES_BY_NAME = {event_type.name: event_type for event_type in EVENT_TYPES}
