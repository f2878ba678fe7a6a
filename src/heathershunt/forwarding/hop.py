"""One request to another VM, and what came of it."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import h11
from result import Err

from heathershunt.clock import Clock
from heathershunt.discovery import Member
from heathershunt.forwarding.choice import HopChooser
from heathershunt.forwarding.messages import (
    FORWARD_PATH,
    NOT_TAKEN_HEADER,
    SENT_TO_HEADER,
    SERVED_HEADER,
    caller_headers,
    decode_ids,
)
from heathershunt.http import ClientResponse, HttpClient, Response
from heathershunt.verdict import Progress

# VMs of a site reach each other within milliseconds. With 100 ms, a sender that was
# held up itself took sound VMs for lost.
CONNECT_MS = 250
INTERNAL_ERROR = 500
# For connections that end early, and answers that are not HTTP.
READ_ERRORS = (OSError, TimeoutError, h11.RemoteProtocolError)


class HopFailure(Enum):
    """How far a request came that another VM did not answer.

    :cvar DECLINED: the VM said that it sent the request nowhere.
    :cvar NOT_SENT: no byte was sent to the VM.
    :cvar LOST: the VM may have taken the request.

    .. versionadded:: 0.10
    """

    DECLINED = "declined"
    NOT_SENT = "not_sent"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class HopEnd:
    """A request that another VM did not answer.

    .. versionadded:: 0.10
    """

    failure: HopFailure
    detail: str


@dataclass(frozen=True, slots=True)
class HopAnswer:
    """The answer of another VM.

    :param response: answer for the caller; its body is empty if it is streamed.
    :param sent_to: targets that the VM sent the request to and that did not serve it;
        ``None`` if the answer is that of a target.
    :param stream: connection that the body is read from; ``None`` if it is complete.

    .. versionadded:: 0.10
    """

    response: Response
    sent_to: frozenset[str] | None
    stream: ClientResponse | None


class HopClient:
    """Sends forwarded requests to other VMs, each on a new connection.

    Closing the connection cancels the request at the other VM.

    .. versionadded:: 0.10
    """

    def __init__(self, http: HttpClient, clock: Clock, chooser: HopChooser) -> None:
        self._http = http
        self._clock = clock
        self._chooser = chooser

    async def ask(
        self, member: Member, message: bytes, left_ms: int
    ) -> HopAnswer | HopEnd:
        """Send a request to a VM, and return its answer or why there is none.

        :param left_ms: time left for the answer, in milliseconds.
        """
        with self._chooser.running(member.vm):
            outcome = await self._ask(member, message, left_ms)
        if isinstance(outcome, HopEnd):
            self._chooser.leave_out(member.vm)
        else:
            self._chooser.record_taken(member.vm)
        return outcome

    async def _ask(
        self, member: Member, message: bytes, left_ms: int
    ) -> HopAnswer | HopEnd:
        deadline = self._clock.now() + left_ms
        outcome = await self._http.request(
            member.peers,
            "POST",
            FORWARD_PATH,
            body=message,
            timeout_ms=max(0, left_ms),
            connect_ms=min(CONNECT_MS, max(0, left_ms)),
            fresh=True,
        )
        if isinstance(outcome, Err):
            error = outcome.err_value
            is_sent = error.progress is not Progress.NOT_SENT
            failure = HopFailure.LOST if is_sent else HopFailure.NOT_SENT
            return HopEnd(failure, error.detail)
        response = outcome.ok_value
        try:
            return await self._read(response, deadline - self._clock.now())
        except BaseException:
            response.close()
            raise

    async def _read(self, response: ClientResponse, left_ms: int) -> HopAnswer | HopEnd:
        headers = response.headers
        if NOT_TAKEN_HEADER in headers:
            response.close()
            return HopEnd(HopFailure.DECLINED, headers[NOT_TAKEN_HEADER])
        if SERVED_HEADER not in headers:
            response.close()
            # Only a handler that failed may have sent the request somewhere.
            is_failed = response.status == INTERNAL_ERROR
            failure = HopFailure.LOST if is_failed else HopFailure.DECLINED
            return HopEnd(failure, f"status {response.status} without a mark")
        head = Response(response.status, caller_headers(headers))
        if "transfer-encoding" in headers:
            return HopAnswer(head, None, response)
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                body = await response.read()
        except READ_ERRORS as error:
            response.close()
            return HopEnd(HopFailure.LOST, str(error) or type(error).__name__)
        response.close()
        sent_to = headers.get(SENT_TO_HEADER)
        return HopAnswer(
            Response(head.status, head.headers, body),
            None if sent_to is None else decode_ids(sent_to),
            None,
        )
