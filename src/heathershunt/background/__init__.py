"""Background loops of a process."""

from heathershunt.background.loops import keep_running

__all__ = ["keep_running"]
