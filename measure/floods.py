"""Cost of a target that sends endless data until the client closes the connection.

For each flood it prints the processor time of the client process, the growth of its
peak resident memory, and the bytes that the target sent. The target and each client
are separate processes.
"""

import asyncio
import json
import resource
import subprocess
import sys
import time

from heathershunt.http import Address, HttpClient
from heathershunt.relay.events import EventSplitter

BLOCK = b"x" * 65_536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
TIMEOUT_MS = 10_000
KILOBYTE = 1024


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


# By name of the flood: data sent once, and data that is then sent repeatedly.
FLOODS = {
    "header value": (OK + b"x-flood: ", BLOCK),
    "header fields": (OK, b"x-flood: y\r\n" * 4096),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1024),
    "no answer": (b"", BLOCK),
    "body in chunks": (CHUNKED, _chunk(BLOCK)),
    "body in chunks of a byte": (CHUNKED, _chunk(b"x") * 8192),
    "body to the end of the connection": (OK + b"connection: close\r\n\r\n", BLOCK),
    "size line of a chunk": (CHUNKED, b"0" * 65_536),
    "trailer": (CHUNKED + b"0\r\n", b"x-flood: y\r\n" * 4096),
    "event without end": (CHUNKED, _chunk(b"data: " + BLOCK)),
    "comments in place of events": (CHUNKED, _chunk(b": x\n\n" * 8192)),
}
EVENT_STREAMS = {"event without end", "comments in place of events"}


async def _serve():
    """Serve the flood whose number is the request path, and print the bytes sent.

    The first line printed is the port of the server.
    """

    async def flood(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        once, repeated = list(FLOODS.values())[int(head.split()[1].removeprefix(b"/"))]
        sent = 0
        try:
            writer.write(once)
            while True:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
        except OSError:
            print(sent, flush=True)

    server = await asyncio.start_server(flood, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def _receive(client, address, number, name):
    """Request one flood and return the reason why the client closed the connection."""
    if name not in EVENT_STREAMS:
        outcome = await client.exchange(
            address, "GET", f"/{number}", timeout_ms=TIMEOUT_MS, limit=len(BLOCK) * 64
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


def _print_figure(name, value, unit):
    print(name, value, unit, "-", sep="\t", flush=True)


def measure_one(number, name, port):
    """Print processor milliseconds, memory growth and close reason as JSON."""

    async def run():
        client = HttpClient()
        address = Address("127.0.0.1", port)
        before_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KILOBYTE
        start = time.process_time()
        reason = await _receive(client, address, number, name)
        cpu_ms = 1000 * (time.process_time() - start)
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KILOBYTE
        client.close()
        print(json.dumps([cpu_ms, peak_mb - before_mb, reason]), flush=True)

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
            cpu_ms, growth_mb, reason = json.loads(done.stdout)
            sent = int(target.stdout.readline())
            _print_figure(f"{name}: processor time", f"{cpu_ms:.1f}", "ms")
            _print_figure(f"{name}: memory", f"{growth_mb:.1f}", "MB")
            _print_figure(f"{name}: sent", f"{sent / KILOBYTE**2:.1f}", "MB")
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
