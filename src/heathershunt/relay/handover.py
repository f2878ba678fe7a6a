"""Race between a silent run and another one that may take over from it.

Used for streams and for plain calls that may be repeated.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TypeVar

from heathershunt.http import Response, StreamResponse
from heathershunt.relay.events import StreamEvent
from heathershunt.verdict import Refusal

T = TypeVar("T")

# Pause after which a successor that was refused is tried again.
RETRY_MS = 300


@dataclass(frozen=True, slots=True)
class Produced:
    """The next events of a run.

    :param events: events; ``None`` at the end of the stream.

    .. versionadded:: 0.8
    """

    events: list[StreamEvent] | None


# What a run led to: events, a runner's failure for the caller, or no run at all; or the
# stream that another VM relays.
Outcome = Produced | Response | StreamResponse | Refusal


async def hand_over(
    held: Coroutine[None, None, T | None],
    produce: Callable[[], Coroutine[None, None, T | Refusal]],
    retry_ms: float = RETRY_MS,
) -> tuple[T | Refusal, bool]:
    """Return what a silent run or its successor leads to, whichever is first.

    Silence does not tell a dead target from one that goes on in a moment, so the silent
    run is kept until another one has delivered, and while no other one can be started.

    :param held: waits for the silent run; its result is ``None`` if that run failed.
    :param produce: starts a successor and waits for its first events.
    :return: the outcome, and whether it is that of the silent run.
    """
    waiting = asyncio.ensure_future(held)
    successor = asyncio.ensure_future(produce())
    try:
        while True:
            await asyncio.wait(
                {waiting, successor}, return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                outcome = waiting.result()
                if outcome is not None:
                    return outcome, True
                return await successor, False
            produced = successor.result()
            if not isinstance(produced, Refusal):
                return produced, False
            # The end of the silent run ends the pause: nothing else is left then.
            await asyncio.wait({waiting}, timeout=retry_ms / 1000)
            if not waiting.done() or waiting.result() is None:
                successor = asyncio.ensure_future(produce())
    finally:
        waiting.cancel()
        successor.cancel()
        await asyncio.wait({waiting, successor})
