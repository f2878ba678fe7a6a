"""Stand-in for a plain service with a ledger of every call that it ran.

Start with ``python -m standins.service [PORT]``. ``POST /orders`` places an order,
``GET /orders/<n>`` reads its status, ``GET /ledger`` returns all calls that ran. The
header ``x-delay-ms`` delays the answer after the call ran; ``x-cut: 1`` breaks the
connection instead of an answer.
"""

import asyncio
import json
import sys

from heathershunt.http import (
    HttpServer,
    Request,
    Response,
    StreamResponse,
    json_response,
)

HOST = "127.0.0.1"


class OrderService:
    """Accepts orders and records each call in a ledger."""

    def __init__(self) -> None:
        self.ledger: list[dict] = []
        self.http = HttpServer(self.handle)

    async def handle(self, request: Request) -> Response | StreamResponse:
        """Record one call and answer it."""
        if request.path == "/ledger":
            return json_response(200, {"calls": self.ledger})
        number = len(self.ledger) + 1
        body = request.body.decode("utf-8", "replace")
        self.ledger.append(
            {"number": number, "method": request.method, "path": request.path}
            | {"body": body, "account": request.headers.get("x-client-account")}
            | {"target": request.target, "headers": sorted(request.headers)}
        )
        await asyncio.sleep(int(request.headers.get("x-delay-ms", "0")) / 1000)
        if request.headers.get("x-cut"):
            return StreamResponse(200, {}, _break_connection)
        return json_response(200, {"number": number, "order": body})


async def _break_connection(stream) -> None:
    raise ConnectionResetError("injected fault")


async def run_service(port: int) -> None:
    """Run the service until the process ends; print its address as JSON."""
    service = OrderService()
    await service.http.start(HOST, port)
    print(json.dumps({"address": f"{HOST}:{service.http.port}"}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the service on the port named on the command line, or on a free one."""
    asyncio.run(run_service(int(sys.argv[1]) if len(sys.argv) > 1 else 0))


if __name__ == "__main__":
    main()
