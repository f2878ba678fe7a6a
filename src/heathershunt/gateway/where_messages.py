"""Query and answer of ``GET /where``."""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from heathershunt.schema.decoding import MalformedError, decode_untrusted

WHERE_PATH = "/where"
# Header field with the API key of the request that is asked about.
KEY_HEADER = "x-api-key"
MAX_TOKENS = 1_000_000_000

Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class WhereQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request that is asked about, without its API key and its body.

    :param path: path, which may have a query.
    :param prompt_tokens: length of the prompt; 0 for plain calls.
    :param max_tokens: limit of the tokens to generate; 0 without one.

    .. versionadded:: 0.10
    """

    host: Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
    path: Annotated[str, msgspec.Meta(pattern="^/", max_length=8192)]
    method: Annotated[str, msgspec.Meta(pattern="^[A-Za-z]{1,20}$")] = "GET"
    prompt_tokens: Tokens = 0
    max_tokens: Tokens = 0


def decode_query(fields: Mapping[str, str]) -> WhereQuery:
    """Decode the query of a request; all values are texts.

    :raises MalformedError: with the name of the field that is missing or malformed.

    .. versionadded:: 0.10
    """

    def decode(raw: bytes) -> WhereQuery:
        return msgspec.json.decode(raw, type=WhereQuery, strict=False)

    try:
        return decode_untrusted(decode, msgspec.json.encode(dict(fields)))
    except UnicodeEncodeError:
        raise MalformedError("the query is not valid UTF-8") from None


class RefusalRow(msgspec.Struct, frozen=True):
    """A refusal that a request would get now."""

    status: int
    detail: str


class PartRow(msgspec.Struct, frozen=True):
    """One target that a request would be sent to.

    :param layers: layers that it computes, as ``first-end``; ``None`` for plain calls.
    """

    target: str
    domain: str
    layers: str | None = None


class TargetRow(msgspec.Struct, frozen=True):
    """What is known of one listed target.

    :param layers: layers that it holds; ``None`` if it holds none.
    :param requests: requests of all VMs with the target in their chain; for a plain
        target, the calls of this VM.
    :param head_requests: those with the target as their first one.
    :param kv_used: reserved part of its KV cache, from 0 to 1; ``None`` if unknown.
    :param pace: time of its work as a multiple of the usual time.
    :param cost: estimated time in milliseconds of the request if the target had all
        layers; for a plain target, the calls of this VM for each of its slots.
    :param is_chosen: whether the request would be sent to it.
    :param left_out: reasons for which it is not considered; empty if it is.
    """

    target: str
    domain: str
    slots: int
    is_chosen: bool
    left_out: tuple[str, ...]
    requests: int
    cost: float | None = None
    kind: str = ""
    layers: str | None = None
    head_requests: int = 0
    kv_used: float | None = None
    pace: float = 1.0


class ServiceRow(msgspec.Struct, frozen=True, kw_only=True):
    """What would become of the request at one service of its route.

    :param weight: share of the requests of the route, relative to its other services.
    :param outcome: ``send``, ``wait`` or ``refuse``.
    :param detail: why.
    :param parts: where the request would be sent, or be sent after its wait.
    :param cost: estimated time in milliseconds of a stream on the chain, 1,000,000 more
        for each full runner; for a plain call as in :class:`TargetRow`.
    :param retries_left: retries left in the budget for requests that have not begun.
    :param begun_retries_left: the same for streams that have begun.
    :param waiting: requests that wait at this VM for a target of the service.
    :param load_age_ms: age of the load of the other VMs in milliseconds; ``None``
        before the first exchange, and for a plain service.
    :param is_load_reliable: whether that load is recent and likely to be complete.
    """

    service: str
    weight: float
    outcome: str
    detail: str
    parts: tuple[PartRow, ...] = ()
    cost: float | None = None
    retries_left: int = 0
    begun_retries_left: int = 0
    waiting: int = 0
    load_age_ms: int | None = None
    is_load_reliable: bool = False
    targets: tuple[TargetRow, ...] = ()


class WhereAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Where a VM would send a request now.

    :param vms: VMs that accept callers.
    :param view_age_ms: age of the VM's view of the store, in milliseconds.
    :param version: version of the configuration in force.
    :param refusal: refusal before any target is chosen; the fields after it are then
        not set.
    :param kind: kind of the route.
    :param rank: priority; 0 is the highest.

    .. versionadded:: 0.10
    """

    vm: str
    vms: int
    view_age_ms: int | None
    version: int | None
    refusal: RefusalRow | None = None
    route: str | None = None
    kind: str | None = None
    account: str | None = None
    rank: int | None = None
    services: tuple[ServiceRow, ...] = ()
