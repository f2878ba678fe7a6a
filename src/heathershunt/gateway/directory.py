"""Answers for callers that ask which addresses to use, and readiness checks."""

import hashlib
from collections.abc import Iterable

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
    :param own_domain: failure domain of this VM.
    :param ttl_s: time in seconds for which callers may keep an answer.

    .. versionadded:: 0.2
    """

    def __init__(
        self, members: MemberList, own: str, own_domain: str, ttl_s: float
    ) -> None:
        self._members = members
        self._own = own
        self._own_domain = own_domain
        self._ttl_s = ttl_s
        self.takes_callers = False

    def addresses(self, domain: str) -> list[str]:
        """Return the addresses for callers, this VM's among them if it takes any.

        Where there are more than an answer may list, callers of one failure domain get
        the VMs of theirs and some of the others: the same at every VM and every time,
        since callers leave addresses that they no longer find.

        :param domain: failure domain of the callers.
        """
        domain_by_address = {m.callers: m.domain for m in self._members.members()}
        if self.takes_callers:
            domain_by_address.setdefault(self._own, self._own_domain)
        else:
            domain_by_address.pop(self._own, None)
        inside = [a for a, place in domain_by_address.items() if place == domain]
        outside = [a for a, place in domain_by_address.items() if place != domain]
        ranked = _ranked(inside, domain) + _ranked(outside, domain)
        return sorted(ranked[:MAX_ADDRESSES])

    def answer(self, domain: str = "") -> Response:
        """Return the answer to a caller of a failure domain."""
        addresses = self.addresses(domain)
        if not addresses:
            return Response(503, JSON_TYPE, b'{"error":"no VM takes requests"}')
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": self._ttl_s})
        return Response(200, JSON_TYPE, body)

    def readiness(self) -> Response:
        """Return the answer to a readiness check."""
        return Response(200 if self.takes_callers else 503)


def _ranked(addresses: Iterable[str], domain: str) -> list[str]:
    """Return addresses in an order of their own for each domain of callers."""

    def rank(address: str) -> bytes:
        return hashlib.blake2b(f"{domain} {address}".encode()).digest()

    return sorted(addresses, key=rank)


def only_get(request: Request, path: str) -> Response | None:
    """Return a refusal unless the request is a GET of ``path``."""
    if request.path != path:
        return Response(404)
    if request.method not in ("GET", "HEAD"):
        return Response(405, {"allow": "GET"})
    return None
