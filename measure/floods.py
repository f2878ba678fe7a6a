"""What a target that sends without end costs until it is given up.

For each flood: processor time of this process, growth of its largest memory, and bytes
that the target could send. The target runs in a process of its own.
"""

import asyncio
import json
import resource
import subprocess
import sys
import time

from heathershunt.http import Address, HttpClient
from heathershunt.relay.events import EventSplitter

PIECE = b"x" * 65_536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
TIMEOUT_MS = 10_000
KILOBYTE = 1024


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


# What is sent once, and what is then sent without end.
FLOODS = {
    "header value": (OK + b"x-flood: ", PIECE),
    "header fields": (OK, b"x-flood: y\r\n" * 4096),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1024),
    "no answer": (b"", PIECE),
    "body in chunks": (CHUNKED, _chunk(PIECE)),
    "body in chunks of a byte": (CHUNKED, _chunk(b"x") * 8192),
    "body to the end of the connection": (OK + b"connection: close\r\n\r\n", PIECE),
    "size line of a chunk": (CHUNKED, b"0" * 65_536),
    "trailer": (CHUNKED + b"0\r\n", b"x-flood: y\r\n" * 4096),
    "event without end": (CHUNKED, _chunk(b"data: " + PIECE)),
    "comments in place of events": (CHUNKED, _chunk(b": x\n\n" * 8192)),
}
STREAMS = {"event without end", "comments in place of events"}


async def _serve():
    """Send the flood that the path names by its number."""

    async def flood(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, rest = list(FLOODS.values())[int(head.split()[1].removeprefix(b"/"))]
        sent = 0
        try:
            writer.write(first)
            while True:
                writer.write(rest)
                sent += len(rest)
                await writer.drain()
        except OSError:
            print(sent, flush=True)

    server = await asyncio.start_server(flood, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def _suffer(client, address, number, name):
    """Make the request and return why it was given up."""
    if name not in STREAMS:
        outcome = await client.exchange(
            address, "GET", f"/{number}", timeout_ms=TIMEOUT_MS, limit=len(PIECE) * 64
        )
        return outcome.unwrap_err().detail
    response = (await client.request(address, "GET", f"/{number}")).unwrap()
    splitter = EventSplitter()
    try:
        async for data in response.chunks():
            splitter.feed(data)
    except ConnectionError as error:
        return str(error)
    finally:
        response.close()


def _figure(name, value, unit):
    print(name, value, unit, "-", sep="\t", flush=True)


def measure_one(number, name, port):
    """Print processor time and memory of one flood as JSON."""

    async def run():
        client = HttpClient()
        address = Address("127.0.0.1", port)
        before_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KILOBYTE
        began = time.process_time()
        reason = await _suffer(client, address, number, name)
        spent_ms = 1000 * (time.process_time() - began)
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KILOBYTE
        client.close()
        print(json.dumps([spent_ms, peak_mb - before_mb, reason]), flush=True)

    asyncio.run(run())


def main():
    """Print the figures of all floods."""
    command = [sys.executable, "-m", "measure.floods"]
    target = subprocess.Popen([*command, "serve"], stdout=subprocess.PIPE, text=True)
    try:
        port = target.stdout.readline().strip()
        for number, name in enumerate(FLOODS):
            done = subprocess.run(
                [*command, str(number), port],
                capture_output=True,
                text=True,
                check=True,
            )
            spent_ms, grown_mb, reason = json.loads(done.stdout)
            sent = int(target.stdout.readline())
            _figure(f"{name}: processor time", f"{spent_ms:.1f}", "ms")
            _figure(f"{name}: memory", f"{grown_mb:.1f}", "MB")
            _figure(f"{name}: sent", f"{sent / KILOBYTE**2:.1f}", "MB")
            print(f"{name}: {reason}", file=sys.stderr)
    finally:
        target.kill()
        target.wait()


if __name__ == "__main__":
    if sys.argv[1:] == ["serve"]:
        asyncio.run(_serve())
    elif sys.argv[1:]:
        measure_one(int(sys.argv[1]), list(FLOODS)[int(sys.argv[1])], int(sys.argv[2]))
    else:
        main()
