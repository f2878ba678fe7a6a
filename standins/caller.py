"""A caller of the router that records the answers it receives."""

import json
from dataclasses import dataclass, field

from result import Err

from heathershunt.http import Address, HttpClient

COMPLETIONS = "/v1/completions"


@dataclass
class Transcript:
    """Answer to one draft as the caller received it.

    :param status: HTTP status, 0 if no response was received.
    :param tokens: texts of the tokens received, in order.
    :param is_complete: the end marker ``[DONE]`` was received.
    :param problem: problem document of a refused or failed draft.
    :param broken: error that ended the request or stream early, empty without one.
    :param last_event_id: id of the last token event, -1 before the first.
    """

    status: int = 0
    request_id: str = ""
    tokens: list[str] = field(default_factory=list)
    is_complete: bool = False
    problem: dict | None = None
    broken: str = ""
    last_event_id: int = -1


def _apply_event(transcript: Transcript, event: bytes) -> None:
    fields = {}
    if event.startswith(b":"):
        return
    for line in event.decode().split("\n"):
        name, _, value = line.partition(": ")
        fields[name] = value
    if fields.get("data") == "[DONE]":
        transcript.is_complete = True
        return
    data = json.loads(fields["data"])
    if fields.get("event") == "error":
        transcript.problem = data
        return
    if data["choices"][0]["finish_reason"] is None:
        transcript.last_event_id = int(fields["id"])
        transcript.tokens.append(data["choices"][0]["text"])


class Caller:
    """Sends requests with the bearer token of one client account."""

    def __init__(self, token: str) -> None:
        self.http = HttpClient()
        self.headers = {"authorization": f"Bearer {token}"}

    async def draft(
        self,
        address: Address,
        prompt: str,
        max_tokens: int,
        *,
        model: str = "m",
        headers: dict | None = None,
        on_token=None,
        **body,
    ) -> Transcript:
        """Stream one draft and return its transcript.

        :param on_token: called with the transcript after each chunk of the answer.
        :param body: further fields of the request body.
        """
        payload = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        payload |= {"stream": True, **body}
        return await self.stream(
            address, "POST", COMPLETIONS, headers, payload, Transcript(), on_token
        )

    async def resume(self, address: Address, transcript: Transcript) -> Transcript:
        """Continue a broken stream after the last event of ``transcript``.

        :param address: the VM that runs the draft, or another one.
        """
        transcript.broken = ""
        headers = {"last-event-id": str(transcript.last_event_id)}
        target = f"{COMPLETIONS}/{transcript.request_id}"
        return await self.stream(
            address, "GET", target, headers, None, transcript, None
        )

    async def call(self, address: Address, method: str, target: str, body=b"", **extra):
        """Send one request; return status, headers and body.

        Without a response the status is 0 and the body is the error.
        """
        outcome = await self.http.request(
            address, method, target, headers={**self.headers, **extra}, body=body
        )
        if isinstance(outcome, Err):
            return 0, {}, outcome.err_value.detail.encode()
        response = outcome.ok_value
        return response.status, response.headers, await response.read()

    async def stream(
        self, address, method, target, headers, payload, transcript, on_token
    ) -> Transcript:
        """Send one request and add the events of its answer to ``transcript``.

        :param on_token: called with the transcript after each chunk of the answer.
        """
        outcome = await self.http.request(
            address,
            method,
            target,
            headers={**self.headers, **(headers or {})},
            body=b"" if payload is None else json.dumps(payload).encode(),
            timeout_ms=60_000,
        )
        if isinstance(outcome, Err):
            transcript.broken = outcome.err_value.detail
            return transcript
        response = outcome.ok_value
        transcript.status = response.status
        if response.status != 200:
            transcript.problem = await response.read_json()
            return transcript
        transcript.request_id = response.headers.get("x-request-id", "")
        rest = b""
        try:
            async for data in response.chunks():
                *events, rest = (rest + data).split(b"\n\n")
                for event in events:
                    _apply_event(transcript, event)
                if on_token:
                    on_token(transcript)
        except ConnectionError as error:
            transcript.broken = str(error)
        finally:
            if not transcript.is_complete:
                response.close()
        return transcript
