"""Time in milliseconds: one type, one clock, and estimates of gaps."""

from heathershunt.clock.clock import Clock, ManualClock, Millis, SystemClock
from heathershunt.clock.gaps import GapEstimator

__all__ = ["Clock", "GapEstimator", "ManualClock", "Millis", "SystemClock"]
