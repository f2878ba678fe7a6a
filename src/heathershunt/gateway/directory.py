"""Answers for callers that ask which addresses to use, and readiness checks."""

import msgspec

from heathershunt.discovery import MemberList
from heathershunt.http import Request, Response

MAX_ADDRESSES = 64
JSON_TYPE = {"content-type": "application/json"}
# Callers keep an answer up to three times as long, so a short one clears VMs that leave
# well within the time that they still take requests.
ANSWER_TTL_S = 1.0


class Directory:
    """Lists the addresses of the VMs that take callers.

    :param own: address of this VM for callers.
    :param ttl_s: time in seconds for which callers may keep an answer.

    .. versionadded:: 0.2
    """

    def __init__(self, members: MemberList, own: str, ttl_s: float) -> None:
        self._members = members
        self._own = own
        self._ttl_s = ttl_s
        self.takes_callers = False

    def addresses(self) -> list[str]:
        """Return the addresses for callers, this VM's among them if it takes any."""
        addresses = {member.callers for member in self._members.members()}
        if self.takes_callers:
            addresses.add(self._own)
        else:
            addresses.discard(self._own)
        return sorted(addresses)[:MAX_ADDRESSES]

    def answer(self) -> Response:
        """Return the answer to a caller."""
        addresses = self.addresses()
        if not addresses:
            return Response(503, JSON_TYPE, b'{"error":"no VM takes requests"}')
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": self._ttl_s})
        return Response(200, JSON_TYPE, body)

    def readiness(self) -> Response:
        """Return the answer to a readiness check."""
        return Response(200 if self.takes_callers else 503)


def only_get(request: Request, path: str) -> Response | None:
    """Return a refusal unless the request is a GET of ``path``."""
    if request.path != path:
        return Response(404)
    if request.method not in ("GET", "HEAD"):
        return Response(405, {"allow": "GET"})
    return None
