"""A call of a plain service, and its outcome."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from heathershunt.clock import Millis
from heathershunt.http import Response, problem_response
from heathershunt.verdict import Progress, Refusal, verdict_for

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REPLACED_IN_REQUEST = frozenset(
    {"authorization", "content-length", "expect", "host", "x-client-account"}
)
ACCOUNT_HEADER = "x-client-account"


@dataclass(frozen=True)
class ServiceCall:
    """One call as the caller requested it; its plain fields are serialized for peers.

    :param account: name of the caller's account.
    :param path: decoded path that follows the name of the service.
    :param target: path and query as they are sent to the service.
    :param headers: headers for the service, without hop-by-hop headers.

    .. versionadded:: 0.1
    """

    account: str
    service: str
    method: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    def request_hash(self) -> bytes:
        """Return a hash that is equal for repeats of the same request.

        The service, the method, the path with its query and the body are hashed.
        """
        digest = hashlib.sha256()
        for part in (self.service, self.method, self.target):
            digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
        digest.update(hashlib.sha256(self.body).digest())
        return digest.digest()[:16]


@dataclass(frozen=True)
class CallOutcome:
    """The final response of a call, and how far the call got.

    :param progress: ``ANSWERED`` if the service itself answered.
    :param is_kept: whether this VM stores the outcome for repeats with the same key;
        false for an outcome from another VM, which is requested for each repeat.

    .. versionadded:: 0.1
    """

    response: Response
    progress: Progress
    is_kept: bool = True


class Forwarder(Protocol):
    """Forwards a keyed call to the VM that owns its key.

    .. versionadded:: 0.1
    """

    async def call(
        self, vm: str, incarnation: int, call: ServiceCall, key: str, timeout_ms: int
    ) -> Result[Response, Progress]:
        """Return the owner's response, or how far the call got if none came."""


def problem_outcome(
    progress: Progress,
    status: int,
    title: str,
    detail: str,
    retry_after: int | None = None,
) -> CallOutcome:
    """Return the outcome of a call that ends with a problem document."""
    after = None if retry_after is None else Millis(retry_after)
    refusal = Refusal(status, title, detail, verdict_for(progress), after)
    return CallOutcome(problem_response(refusal), progress)


def _connection_headers(headers: Mapping[str, str]) -> frozenset[str]:
    named = headers.get("connection", "").lower().split(",")
    return HOP_BY_HOP | {name.strip() for name in named}


def request_headers(headers: Mapping[str, str], account: str) -> dict[str, str]:
    """Return the caller's headers as they are sent to the service."""
    dropped = _connection_headers(headers) | REPLACED_IN_REQUEST
    kept = {name: value for name, value in headers.items() if name not in dropped}
    return {**kept, ACCOUNT_HEADER: account}


def response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the service's headers as they are sent to the caller."""
    dropped = _connection_headers(headers) | {"content-length"}
    return {name: value for name, value in headers.items() if name not in dropped}
