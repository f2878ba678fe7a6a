"""Stream of JSON lines in which an engine stand-in reports the events of a run."""

import asyncio
import json

from standins.engine_state import Run


async def stream_lines(run: Run, first: dict, stream) -> None:
    """Write the events of a run until it ends or the connection closes.

    :param first: event written before those of the run.
    """
    stream.write(_line(first))
    closed = asyncio.create_task(stream.wait_closed())
    get = asyncio.create_task(run.outbox.get())
    try:
        while not closed.done():
            await asyncio.wait({closed, get}, return_when="FIRST_COMPLETED")
            if not get.done():
                continue
            lines = [get.result()]
            while not run.outbox.empty():
                lines.append(run.outbox.get_nowait())
            stream.write(b"".join(_line(line) for line in lines))
            if lines[-1]["event"] == "end":
                return
            get = asyncio.create_task(run.outbox.get())
    finally:
        closed.cancel()
        get.cancel()


def _line(value: dict) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"
