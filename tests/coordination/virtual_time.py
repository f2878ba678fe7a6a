"""An event loop whose clock jumps to the next timer, so that no test waits."""

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Returns at once: a wait with a timeout advances the clock instead."""

    def __init__(self):
        super().__init__()
        self.seconds = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.seconds += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.seconds


def run(main):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
