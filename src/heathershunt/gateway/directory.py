"""Directory of the addresses that callers use, and readiness checks."""

import hashlib
from collections.abc import Iterable

import msgspec

from heathershunt.discovery import MemberList
from heathershunt.http import Request, Response

MAX_ADDRESSES = 64
JSON_TYPE = {"content-type": "application/json"}
# Callers cache an answer for up to three times this long. A short time makes them drop
# a VM that leaves well before the VM stops accepting requests.
ANSWER_TTL_S = 1.0


class Directory:
    """Lists the addresses of the VMs that accept callers.

    :param own_address: address of this VM for callers.
    :param own_domain: failure domain of this VM.
    :param ttl_s: time in seconds for which callers may cache an answer.
    :ivar accepts_callers: whether this VM accepts callers and lists itself.

    .. versionadded:: 0.2
    """

    def __init__(
        self, members: MemberList, own_address: str, own_domain: str, ttl_s: float
    ) -> None:
        self._members = members
        self._own_address = own_address
        self._own_domain = own_domain
        self._ttl_s = ttl_s
        self.accepts_callers = False

    def addresses(self, domain: str) -> list[str]:
        """Return the addresses for callers, with this VM's if it accepts callers.

        If the fleet exceeds :data:`MAX_ADDRESSES`, the answer lists VMs of the callers'
        failure domain first and fills up with others. The choice is the same at every
        VM and every time, since callers drop addresses that an answer no longer lists.

        :param domain: failure domain of the callers.
        """
        domain_by_address = {m.callers: m.domain for m in self._members.members()}
        if self.accepts_callers:
            domain_by_address.setdefault(self._own_address, self._own_domain)
        else:
            domain_by_address.pop(self._own_address, None)
        local = [a for a, d in domain_by_address.items() if d == domain]
        remote = [a for a, d in domain_by_address.items() if d != domain]
        ranked = _ranked(local, domain) + _ranked(remote, domain)
        return sorted(ranked[:MAX_ADDRESSES])

    def answer(self, domain: str = "") -> Response:
        """Return the response to a directory query from a failure domain."""
        addresses = self.addresses(domain)
        if not addresses:
            return Response(503, JSON_TYPE, b'{"error":"no VM takes requests"}')
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": self._ttl_s})
        return Response(200, JSON_TYPE, body)

    def readiness(self) -> Response:
        """Return the response to a readiness check."""
        return Response(200 if self.accepts_callers else 503)


def _ranked(addresses: Iterable[str], domain: str) -> list[str]:
    """Return addresses in a pseudorandom order that depends only on the domain."""

    def rank(address: str) -> bytes:
        return hashlib.blake2b(f"{domain} {address}".encode()).digest()

    return sorted(addresses, key=rank)


def check_get(request: Request, path: str) -> Response | None:
    """Return a refusal unless the request is a GET of ``path``."""
    if request.path != path:
        return Response(404)
    if request.method not in ("GET", "HEAD"):
        return Response(405, {"allow": "GET"})
    return None
