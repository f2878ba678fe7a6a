"""Answers that are not to the request that was sent: no statement of theirs counts."""

import pytest

from heathershunt.http import AnswerError, CutCause, Response, StreamResponse
from tests.gateway.site import configuration

REFUSED = {"heathershunt-not-executed": "1"}
OTHER = {"heathershunt-request-id": "other"}
NO_ID = {"heathershunt-request-id": ""}


def spy(site, *names):
    """Have the named targets record a run and answer as ``answer`` says."""
    runs = []

    def install(answer):
        for name in names:
            target = site.targets[name]

            async def handle(request, target=target):
                if request.path in ("/report", "/order"):
                    return await type(target)._answer(target, request)
                runs.append(request.headers["heathershunt-request-id"])
                return answer(request)

            target._answer = handle

    return runs, install


@pytest.mark.parametrize("headers", [OTHER, NO_ID], ids=["other", "none"])
@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_refusal_of_another_call_says_nothing_of_this_one(site, status, headers):
    # Guards against a call that a target runs and whose caller is told that it was not
    # run, or that runs at a second target: the refusal was the copy of an earlier one.
    runs, install = spy(site, "desk-a", "desk-b")
    install(lambda request: Response(status, REFUSED | headers, b"full"))
    got, _, body = await site.call("POST", "/orders/7", b"order")
    assert got == 502
    assert body != b"full"
    assert len(runs) == 1


@pytest.mark.parametrize("headers", [OTHER, NO_ID], ids=["other", "none"])
@pytest.mark.parametrize("status", [400, 421, 429, 503])
async def test_refusal_of_another_stream_says_nothing_of_this_one(
    site, status, headers
):
    # Guards against the same for a stream.
    runs, install = spy(site, *(name for name in site.targets if "runner" in name))
    install(lambda request: Response(status, REFUSED | headers, b"full"))
    got, _, body = await site.call(
        "POST", "/drafts/x", b"p", heathershunt_token_counts="700,20"
    )
    assert got in (502, 504)
    assert body != b"full"
    assert runs


@pytest.mark.parametrize("status", [429, 503])
async def test_refusal_of_this_call_is_tried_elsewhere_and_counts(site, status):
    runs, install = spy(site, "desk-a", "desk-b")

    def answer(request):
        own = {"heathershunt-request-id": request.headers["heathershunt-request-id"]}
        return Response(status, REFUSED | own, b"full")

    install(answer)
    got, headers, _ = await site.call("POST", "/orders/7", b"order")
    assert got == 503
    assert float(headers["retry-after"]) > 0


async def test_call_that_may_be_retried_goes_on_after_another_one_s_answer(site):
    runs, install = spy(site, "desk-a", "desk-b")

    def answer(request):
        own = {"heathershunt-request-id": request.headers["heathershunt-request-id"]}
        headers = OTHER if len(runs) == 1 else own
        return Response(200, headers | {"heathershunt-response-signature": "s"}, b"ok")

    install(answer)
    got, _, body = await site.call("GET", "/status/7")
    assert (got, body) == (200, b"ok")
    assert len(runs) == 2


def lose(request):
    raise AnswerError(CutCause.STREAM_FAILED, "the reply is lost")


def send_no_event(request):
    async def write(sink):
        pass

    own = {"heathershunt-request-id": request.headers["heathershunt-request-id"]}
    return StreamResponse(200, own, write)


@pytest.mark.parametrize(
    "answer, statuses",
    [
        (lambda request: Response(404, OTHER, b"x"), {502, 504}),
        (lambda request: Response(503, OTHER, b"x"), {502, 504}),
        (lambda request: Response(500, {}, b"x"), {502, 504}),
        (lambda request: Response(503, {}, b"x"), {502, 504}),
        (lambda request: Response(404, {}, b"x"), {404}),
        (lose, {502, 504}),
        (send_no_event, {502, 504}),
    ],
)
async def test_stream_that_may_not_be_resumed_is_sent_once(site, answer, statuses):
    # Guards against a stream that runs twice: an answer or a loss that leaves open
    # whether it ran let it be sent to the next runner.
    changed = configuration(2)
    changed["routes"][0]["resumable"] = False
    site.store.put("op/config", changed)
    await site.until(lambda: site.gateways["vm-1"].state.catalog.version == 2)
    runs, install = spy(site, *(name for name in site.targets if "runner" in name))
    install(answer)
    got, _, _ = await site.call(
        "POST", "/drafts/x", b"p", heathershunt_token_counts="700,20"
    )
    assert got in statuses
    assert len(runs) == 1


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize(
    "path, name", [("/orders/7", "desk"), ("/drafts/x", "runner"), ("/open/7", "desk")]
)
async def test_status_of_a_refusal_without_its_statement_is_not_passed_on(
    site, path, name, status
):
    # Guards against a caller that sends a request again though it ran: these statuses
    # state that it did not, and a target that ran it may answer with one.
    runs, install = spy(site, *(n for n in site.targets if name in n))
    install(lambda request: Response(status, {}, b"x"))
    got, headers, body = await site.call(
        "POST", path, b"p", heathershunt_token_counts="700,20"
    )
    assert got in (502, 504)
    assert body != b"x"
    assert "heathershunt-response-signature" not in headers
