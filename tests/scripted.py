"""An HTTP target whose answers are written by a script."""

import asyncio

from heathershunt.http import Address


def answer(body, head=b"", start=b"HTTP/1.1 200 OK"):
    """Return an HTTP response with ``body``.

    :param head: further header lines, each with its line end.
    :param start: status line without its line end.
    """
    return b"%b\r\n%bcontent-length: %d\r\n\r\n%b" % (
        start,
        head,
        len(body),
        body,
    )


class ScriptedTarget:
    """HTTP server on loopback that calls a script for each request.

    :param script: coroutine function that writes the answer; called with the target,
        the path of the request and the writer of its connection.
    :ivar connections: number of connections accepted.
    :ivar head: head of the last request.
    :ivar sent_bytes: bytes sent with :meth:`send`.
    """

    def __init__(self, script):
        self._script = script
        self.connections = 0
        self.head = b""
        self.sent_bytes = 0
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname())

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(_body_length(head))
                self.head = head
                await self._script(self, head.split()[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)

    def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()


def late_duplicates(answers):
    """Return a script that sends ``answers`` in order, with late duplicates.

    If a connection is used again, the script sends the previous answer a second time
    before the new one, when the next request has already been received.
    """
    remaining = iter(answers)
    last = {}

    async def script(target, path, writer):
        if writer in last:
            await target.send(writer, last[writer])
        last[writer] = next(remaining)
        await target.send(writer, last[writer])

    return script


def field_of(head, name):
    """Return the value of header ``name`` (lower case), ``None`` if it is absent."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return None


def _body_length(head):
    return int(field_of(head, b"content-length") or 0)
