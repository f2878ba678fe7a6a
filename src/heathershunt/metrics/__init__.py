"""Counters and histograms of a daemon, in the Prometheus text format."""

from heathershunt.metrics.lag import LoopLag
from heathershunt.metrics.metrics import Metrics

__all__ = ["LoopLag", "Metrics"]
