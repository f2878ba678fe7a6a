"""Time in milliseconds: a type, clocks, and an estimator of gaps between events."""

from heathershunt.clock.clock import Clock, ManualClock, Millis, SystemClock
from heathershunt.clock.gaps import GapEstimator

__all__ = ["Clock", "GapEstimator", "ManualClock", "Millis", "SystemClock"]
