"""Plain calls: retries, and answers that guarantee that a call did not run."""

import asyncio

import pytest

from heathershunt.http import AnswerError, CutCause, Response


def answer_all(site, answer):
    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = answer


def reject(request):
    return Response(503, {"heathershunt-not-executed": "1"})


def fail(request):
    return Response(500, {}, b"broken")


async def test_answer_comes_back_with_its_receipt_and_body(site):
    status, headers, body = await site.call("POST", "/orders/7?x=%20y", b"order")
    assert (status, body) == (200, b"done")
    (run,) = site.runs()
    assert headers["heathershunt-response-signature"] == f"receipt-{run.runner}"
    assert (run.target, run.body) == ("/orders/7?x=%20y", b"order")


async def test_call_that_may_not_be_retried_is_sent_once_and_its_loss_is_reported(site):
    # Guards the at-most-once guarantee: after a reset the call may or may not have run.
    def drop(request):
        raise AnswerError(CutCause.STREAM_FAILED, "the reply is lost")

    answer_all(site, drop)
    status, _, _ = await site.call("POST", "/orders/7", b"order")
    assert status == 502


async def test_call_that_all_targets_reject_may_be_retried(site):
    answer_all(site, reject)
    status, headers, _ = await site.call("POST", "/orders/7", b"order")
    assert status == 503
    assert 0 < float(headers["retry-after"]) < 2
    assert site.runs() == []


async def test_idempotent_call_is_retried_at_another_target(site):
    site.targets["desk-a"].answer = fail
    site.targets["desk-b"].answer = None
    for _ in range(4):
        status, _, _ = await site.call("GET", "/status/7")
        assert status == 200


async def test_persistent_failure_is_returned_as_the_target_sent_it(site):
    answer_all(site, fail)
    status, headers, body = await site.call("GET", "/status/7")
    assert (status, body) == (500, b"broken")
    assert "heathershunt-response-signature" in headers
    assert len(site.runs()) == 2


async def test_rejection_after_a_run_is_not_reported_as_not_run(site):
    # Guards against reporting a call as not run after the first target had run it.
    answers = iter((fail, reject))
    answer_all(site, lambda request: next(answers)(request))
    status, _, _ = await site.call("GET", "/status/7")
    assert status == 502


async def test_reply_of_another_request_is_not_passed_on(site):
    answer_all(site, lambda r: Response(200, {"heathershunt-request-id": "other"}))
    status, _, _ = await site.call("POST", "/orders/7", b"order")
    assert status == 502


async def test_silent_target_causes_a_timeout_at_the_caller_s_deadline(site):
    for name in ("desk-a", "desk-b"):
        site.targets[name].is_unresponsive = True
    started = asyncio.get_running_loop().time()
    status, _, _ = await site.call(
        "POST", "/orders/7", b"order", heathershunt_deadline_ms="300"
    )
    assert status == 504
    assert asyncio.get_running_loop().time() - started < 0.6


async def test_request_does_not_run_at_a_reused_address(site):
    # Another service answers at the address; it must reject the request, and the caller
    # may retry.
    site.targets["desk-a"].id = "newcomer"
    site.targets["desk-b"].id = "newcomer-2"
    status, _, _ = await site.call("POST", "/orders/7", b"order")
    assert status == 503
    assert site.runs() == []


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/7", {}, 404),
        ("/orders/7", {"host": "other.example"}, 404),
        ("/orders/7", {"authorization": "Token wrong"}, 401),
        ("/orders/7", {"authorization": None}, 401),
        ("/open/7", {"authorization": None}, 200),
        ("/orders/7", {"heathershunt_deadline_ms": "soon"}, 400),
    ],
)
async def test_requests_are_checked_against_the_configuration(
    site, path, changes, status
):
    assert (await site.call("POST", path, b"x", **changes))[0] == status


async def test_body_beyond_the_limit_is_refused(site):
    assert (await site.call("POST", "/orders/7", b"x" * 10_001))[0] == 413


@pytest.mark.parametrize(
    "field, value",
    [
        ("heathershunt_token_counts", "1" + "0" * 400 + ",20"),
        ("heathershunt_token_counts", "700,1" + "0" * 400),
        ("heathershunt_length_hint", "1e300"),
        ("heathershunt_deadline_ms", "1e300"),
        ("last_event_id", "1" + "0" * 400),
        ("last_event_id", "1e300"),
        ("heathershunt_deadline_ms", "1" + "0" * 4500),
        ("heathershunt_length_hint", "nan"),
        ("heathershunt_length_hint", "inf"),
    ],
)
@pytest.mark.parametrize("path", ["/drafts/x", "/status/7"])
async def test_huge_number_of_a_caller_gets_an_answer(site, path, field, value):
    # Guards against a request without an answer: a number too large for a float ended
    # its handler.
    fields = {"heathershunt_token_counts": "700,20"} | {field: value}
    status, _, _ = await site.call("POST", path, b"x", **fields)
    assert status in (200, 400)
