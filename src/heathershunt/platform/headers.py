"""Decoding and encoding of the platform's header fields in requests and replies."""

import hashlib

import msgspec

from heathershunt.clock import Clock, Millis
from heathershunt.http import ClientResponse, Request, Response
from heathershunt.platform import names
from heathershunt.platform.notices import notice_of
from heathershunt.platform.runners import encode_chain
from heathershunt.ratelimits import decode_limit
from heathershunt.relay import CallerRequest, Dispatch, ReplyHead
from heathershunt.schema.fields import MAX_RANK, MAX_WHOLE
from heathershunt.verdict import Refusal

# Fields that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Fields that only the router sets; values sent by callers are dropped.
ROUTER_FIELDS = frozenset(
    {
        names.ACCOUNT,
        names.EXPECTED_TARGET,
        names.EXPECTED_VERSION,
        names.CHAIN,
        names.RANK,
        names.DEADLINE,
        names.LAST_EVENT_ID,
        names.AUTHORIZATION,
    }
)
# Fields that identify or describe the request; they are always passed on.
DESCRIBING_FIELDS = frozenset(
    {
        names.REQUEST_ID,
        names.HOST,
        names.MODEL,
        names.TOKEN_COUNTS,
        names.PROMPT_PARTS,
    }
)
MAX_PART_ID_CHARACTERS = 64
REJECTION_STATUSES = frozenset({421})


class RequestError(ValueError):
    """A request whose headers are malformed.

    .. versionadded:: 0.2
    """


class HeaderCodec:
    """Converts requests of callers, requests to targets and replies of targets.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def caller_request(self, request: Request) -> CallerRequest:
        """Decode a caller's request.

        :raises RequestError: if a header field is malformed.
        """
        values = dict(request.fields)
        now = self._clock.now()
        wait_ms = _parse_number(values, names.DEADLINE)
        prompt_tokens, max_tokens = _parse_token_counts(values)
        return CallerRequest(
            id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
            method=request.method,
            host=values.get(names.HOST, b"").decode("latin-1"),
            target=request.target,
            fields=_forwarded_fields(request.fields, values.get(b"connection", b"")),
            body=request.body,
            received_at=now,
            deadline=None if wait_ms is None else Millis(now + wait_ms),
            api_key=_parse_api_key(values.get(names.AUTHORIZATION)),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            estimated_tokens=_parse_number(values, names.LENGTH_HINT),
            last_event_id=_parse_event_id(values),
            prompt_parts=_parse_prompt_parts(values.get(names.PROMPT_PARTS)),
        )

    def fields(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request to a target."""
        fields = list(request.fields)
        fields.append((names.DEADLINE, b"%d" % dispatch.left_ms))
        fields.append((names.EXPECTED_TARGET, dispatch.target.id.encode()))
        if dispatch.account is not None:
            fields.append((names.ACCOUNT, dispatch.account.encode("latin-1")))
        if dispatch.chain is not None:
            fields.append((names.CHAIN, encode_chain(dispatch.chain).encode()))
        if dispatch.rank is not None:
            fields.append((names.RANK, b"%d" % min(max(0, dispatch.rank), MAX_RANK)))
        if dispatch.last_event_id is not None:
            fields.append((names.LAST_EVENT_ID, b"%d" % dispatch.last_event_id))
        fields.append((b"connection", b"close"))
        return fields

    def reply_head(self, response: ClientResponse) -> ReplyHead:
        """Decode the head of a target's reply."""
        headers = response.headers
        return ReplyHead(
            status=response.status,
            request_id=headers.get(names.REQUEST_ID.decode(), ""),
            has_signature=names.SIGNATURE.decode() in headers,
            is_not_run=(
                names.NOT_EXECUTED.decode() in headers
                or response.status in REJECTION_STATUSES
            ),
            faulty_address=headers.get(names.FAULTY_RUNNER.decode()),
            limit_per_s=decode_limit(headers, names.RATE_LIMIT),
            notice=notice_of(response),
            headers={
                name: value
                for name, value in headers.items()
                if name.encode() not in HOP_BY_HOP_FIELDS
            },
        )

    def refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the response to a caller whose request failed in the router."""
        payload = {
            "status": refusal.status,
            "title": refusal.title,
            "detail": refusal.detail,
            "verdict": refusal.verdict.value,
        }
        headers = {"content-type": "application/problem+json"}
        if request_id:
            headers[names.REQUEST_ID.decode()] = request_id
        if refusal.retry_after is not None:
            headers[names.RETRY_AFTER] = f"{refusal.retry_after / 1000:.3f}"
        return Response(refusal.status, headers, msgspec.json.encode(payload))


def _parse_number(values: dict[bytes, bytes], name: bytes) -> int | None:
    """Return a number between 0 and ``MAX_WHOLE``; others count as the nearest."""
    text = values.get(name)
    if text is None:
        return None
    try:
        number = float(text)
        return min(MAX_WHOLE, max(0, int(number)))
    except (ValueError, OverflowError):
        message = f"header field {name.decode()} is not a number: {text[:40]!r}"
        raise RequestError(message) from None


def _parse_event_id(values: dict[bytes, bytes]) -> int | None:
    number = _parse_number(values, names.LAST_EVENT_ID)
    if number == MAX_WHOLE:
        # Another id must not be sent in its place.
        raise RequestError(f"header field {names.LAST_EVENT_ID.decode()} is too large")
    return number


def _parse_token_counts(values: dict[bytes, bytes]) -> tuple[int, int]:
    """Return the prompt tokens and the limit of output tokens; zeros by default."""
    text = values.get(names.TOKEN_COUNTS)
    if text is None:
        return 0, 0
    prompt_tokens, _, max_tokens = text.partition(b",")
    try:
        counts = max(0, int(prompt_tokens)), max(0, int(max_tokens))
    except ValueError:
        counts = None
    if counts is None or max(counts) > MAX_WHOLE:
        message = f"header field {names.TOKEN_COUNTS.decode()} is malformed"
        raise RequestError(message)
    return counts


def _parse_prompt_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of the prompt's parts in order.

    The field is passed on as it came, so that the runner judges a malformed one.
    """
    if value is None:
        return ()
    entries = value.decode("latin-1").split(",")
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(_bounded(part_id) for part_id in ids if part_id)


def _bounded(part_id: str) -> str:
    """Return the id of a part, or its hash if it is too long to keep."""
    if len(part_id) <= MAX_PART_ID_CHARACTERS:
        return part_id
    return hashlib.sha256(part_id.encode()).hexdigest()


def _parse_api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.decode("latin-1").partition(" ")
    if scheme.lower() != names.AUTHORIZATION_SCHEME.lower():
        return None
    return key.strip() or None


def _forwarded_fields(
    fields: tuple[tuple[bytes, bytes], ...], connection: bytes
) -> tuple[tuple[bytes, bytes], ...]:
    listed = {name.strip().lower() for name in connection.split(b",")}
    # A caller cannot use its ``connection`` field to remove the fields that identify or
    # describe the request.
    listed -= DESCRIBING_FIELDS
    dropped = HOP_BY_HOP_FIELDS | ROUTER_FIELDS | listed
    return tuple(field for field in fields if field[0] not in dropped)
