"""What identifies a request in the evidence on crashes: its own key and its parts."""

import hashlib
from dataclasses import dataclass

from heathershunt.crashes.evidence import Evidence

# Ids of parts contain no colon, so no caller can name such a key as a part.
REQUEST_PREFIX = "request:"
DIGEST_CHARACTERS = 32
# Time from a run's first event to the end of its runner for which the parts of its
# prompt may be why. Later ends count against the request itself only.
MAX_WRITING_MS = 2000


def request_key(method: str, target: str, account: str | None, body: bytes) -> str:
    """Return a key that is equal whenever an account repeats a request.

    Only a hash is kept of the request.

    :param target: path and query as sent.
    :param account: name of the client account; ``None`` on public routes.
    """
    digest = hashlib.sha256()
    for field in (method, target, account or ""):
        digest.update(field.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return REQUEST_PREFIX + digest.hexdigest()[:DIGEST_CHARACTERS]


def is_request_key(key: str) -> bool:
    """Return whether a key stands for a single request, not for a part of prompts."""
    return key.startswith(REQUEST_PREFIX)


@dataclass(frozen=True, slots=True)
class RequestKeys:
    """All keys of evidence of one request, each of which may be why targets crash.

    :param own: key of the request itself; an answer to another request says nothing
        about it.
    :param parts: ids of the parts of its prompt, in order; empty without a prompt.
        Other requests share them, except for the last one.

    .. versionadded:: 0.9
    """

    own: str
    parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Return all keys, that of the request itself first."""
        return (self.own, *self.parts)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests have too."""
        return self.parts[:-1]

    def suspected_by(self, evidence: Evidence, wrote_ms: int = 0) -> tuple[str, ...]:
        """Return the keys against which the end of a target counts.

        Of a run that was waiting only what comes again counts. The last part does not:
        it comes again with the request itself, whose key does.

        :param wrote_ms: time from the run's first event to that end.
        """
        if evidence is Evidence.WAITING:
            return (self.own, *self.shared_parts)
        if wrote_ms > MAX_WRITING_MS:
            return (self.own,)
        return self.all
