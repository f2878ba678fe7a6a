"""Plain targets whose answers take every form, and may fall silent in the middle."""

import asyncio
import random

from heathershunt.http import Request, Response
from standins.layer_runner import TargetStandIn

# Last part of the path, which asks for one form of the answer.
EARLY, UNFRAMED, CHUNKED, LARGE, FAILURE = (
    "early",
    "unframed",
    "chunked",
    "large",
    "failure",
)
FORMS = ("x", EARLY, UNFRAMED, CHUNKED, LARGE, FAILURE)
FAILURE_STATUSES = (400, 409, 422, 500)
LARGE_BYTES = 300_000
MAX_WORK_SECONDS = 0.08
PIECES = 5
PIECE_PAUSE_SECONDS = 0.004
READ_BYTES = 65_536


class PlainTarget(TargetStandIn):
    """Target on raw connections, one request each.

    :ivar replies: status and body of each answer by the id of the request.
    """

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.replies: dict[str, tuple[int, bytes]] = {}
        self._raw: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._raw = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._raw.sockets[0].getsockname()[1]}"
        self._targets_by_address[self.address] = self
        self.register()

    async def stop(self) -> None:
        """Stop listening."""
        self.is_unresponsive = True
        self._raw.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await self._exchange(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The gateway, or a fault of its proxy, has closed the connection.
            pass
        finally:
            writer.close()

    async def _exchange(self, reader, writer) -> None:
        request, length = await _read_head(reader)
        is_early = request.path.endswith(EARLY)
        body = b"" if is_early else await reader.readexactly(length)
        response = await self._handle(_with_body(request, body))
        await self._work()
        await self._write(writer, request, response)
        if is_early:
            run = next((r for r in self.runs if r.request_id == _id_of(request)), None)
            while run is not None and len(run.body) < length:
                piece = await reader.read(READ_BYTES)
                if not piece:
                    break
                run.body += piece

    async def _work(self) -> None:
        await asyncio.sleep(random.uniform(0.0, MAX_WORK_SECONDS))
        await self.wait_out_silence()

    def _handle_call(self, request: Request) -> Response:
        if self.answer is not None:
            return super()._handle_call(request)
        self._record_run(request)
        status, body = _reply_to(request)
        self.replies[_id_of(request)] = status, body
        headers = {
            "heathershunt-request-id": _id_of(request),
            "heathershunt-response-signature": f"receipt-{self.id}",
        }
        return Response(status, headers, body)

    async def _write(self, writer, request: Request, response: Response) -> None:
        """Write the answer in pieces, with its silences between them."""
        form = request.path.rpartition("/")[2]
        lines = [f"HTTP/1.1 {response.status} Answer", "connection: close"]
        lines += [f"{name}: {value}" for name, value in response.headers.items()]
        if form == CHUNKED:
            lines.append("transfer-encoding: chunked")
        elif form != UNFRAMED or not response.body:
            lines.append(f"content-length: {len(response.body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        step = max(1, -(-len(response.body) // PIECES))
        for start in range(0, len(response.body), step):
            await self.wait_out_silence()
            piece = response.body[start : start + step]
            if form == CHUNKED:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_SECONDS)
        await self.wait_out_silence()
        if form == CHUNKED:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _read_head(reader) -> tuple[Request, int]:
    """Return a request without its body, and the length of the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    path = target.partition("?")[0]
    request = Request(method, path, {}, headers, b"", "", target)
    return request, int(headers.get("content-length", "0"))


def _with_body(request: Request, body: bytes) -> Request:
    return Request(
        request.method, request.path, {}, request.headers, body, "", request.target
    )


def _id_of(request: Request) -> str:
    return request.headers["heathershunt-request-id"]


def _reply_to(request: Request) -> tuple[int, bytes]:
    """Return status and body of the answer, which follow from the path and the id."""
    form, request_id = request.path.rpartition("/")[2], _id_of(request)
    if form == FAILURE:
        number = sum(request_id.encode())
        return FAILURE_STATUSES[number % len(FAILURE_STATUSES)], b"failed"
    if form == EARLY:
        return 422, f"rejected early: {request_id}".encode()
    if form == LARGE:
        return 200, request_id.encode().ljust(LARGE_BYTES, b".")
    return 200, b"done"
