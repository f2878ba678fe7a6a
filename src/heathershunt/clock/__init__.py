"""Time in milliseconds: one type, one clock."""

from heathershunt.clock.clock import Clock, ManualClock, Millis, SystemClock

__all__ = ["Clock", "ManualClock", "Millis", "SystemClock"]
