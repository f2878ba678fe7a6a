from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.admission import (
    AccountLimits,
    AdmissionConfig,
    AdmissionQueue,
    Ticket,
)
from heathershunt.verdict import Verdict

LARGE_LIMITS = AccountLimits(concurrent=1000, requests_per_second=1e6, queued=1000)


def make_queue(limit=1, **fields):
    fields = {"default_limits": LARGE_LIMITS, "hold_ms": 100.0, **fields}
    queue = AdmissionQueue.from_config(AdmissionConfig(**fields))
    queue.set_limit(limit)
    return queue


def ticket(name, account="a", rank=0, deadline=10**9, cost=1.0):
    return Ticket(str(name), account, rank, deadline, cost)


def offer_many(queue, count, account="a", **fields):
    for number in range(count):
        offered = ticket(f"{account}{number}", account, **fields)
        assert queue.offer(offered, 0).is_ok()


def serve(queue, count, now=0):
    """Run ``count`` tickets one after another and return them."""
    served = []
    for _ in range(count):
        running = queue.next(now)
        served.append(running)
        queue.release(running, now, measured=False)
    return served


def test_accounts_share_by_weight_and_not_by_offered_load():
    """Guards against starving small accounts by a flood from another account."""
    queue = make_queue()
    queue.set_limits({"heavy": AccountLimits(3.0, 1000, 1e6, 1000)})
    offer_many(queue, 400, "flood")
    offer_many(queue, 100, "heavy")
    offer_many(queue, 20, "small")
    counts = Counter(t.account for t in serve(queue, 100))
    assert counts == {"heavy": 60, "flood": 20, "small": 20}


def test_shares_count_cost_and_idle_accounts_get_no_credit():
    """Guards against fairness by number of requests and credit for idle time."""
    queue = make_queue()
    offer_many(queue, 60, "dear", cost=3.0)
    serve(queue, 30)
    offer_many(queue, 60, "cheap")
    counts = Counter(t.account for t in serve(queue, 40))
    assert counts["cheap"] == pytest.approx(30, abs=1)


def test_high_priority_goes_first_without_starving_the_lower():
    """Guards against permanent starvation of a low priority."""
    queue = make_queue(rank_ratio=8.0)
    offer_many(queue, 200, "low", rank=20)
    offer_many(queue, 200, "high", rank=1)
    counts = Counter(t.account for t in serve(queue, 90))
    assert counts["high"] == pytest.approx(80, abs=1)


def test_account_concurrency_is_limited_and_others_use_the_rest():
    """Guards against exceeding a hard limit and leaving capacity unused."""
    queue = make_queue(limit=4)
    queue.set_limits({"a": AccountLimits(1.0, 2, 1e6, 100)})
    offer_many(queue, 4, "a")
    offer_many(queue, 4, "b")
    running = [queue.next(0) for _ in range(4)]
    assert Counter(t.account for t in running) == {"a": 2, "b": 2}
    assert queue.next(0) is None
    for done in running:
        queue.release(done, 0)
        queue.release(done, 0)
    assert Counter(queue.next(0).account for _ in range(4)) == {"a": 2, "b": 2}


def test_a_ticket_blocked_by_its_account_limit_runs_later():
    """Guards against losing tickets that wait for their account's limit."""
    queue = make_queue(limit=2)
    queue.set_limits({"a": AccountLimits(1.0, 1, 1e6, 100)})
    queue.offer(ticket("first"), 0)
    first = queue.next(0)
    queue.offer(ticket("second"), 0)
    offer_many(queue, 20, "b")
    serve(queue, 20)
    queue.expire(0)
    queue.release(first, 0)
    assert queue.next(0).id == "second"


def test_expected_wait_follows_the_share_and_not_the_whole_queue():
    """Guards against refusing a small account because another's queue is long."""
    queue = make_queue(limit=1)
    offer_many(queue, 200, "flood")
    queue.next(0)
    assert queue.offer(ticket("quick", "small", deadline=400), 0).is_ok()
    late = ticket("late", "flood", deadline=400)
    assert queue.offer(late, 0).is_err()


@pytest.mark.parametrize(
    ("limits", "config", "status"),
    [
        (AccountLimits(requests_per_second=1.0), {}, 429),
        (AccountLimits(queued=2, requests_per_second=1e6), {}, 429),
        (LARGE_LIMITS, {"queued_total": 4}, 503),
    ],
    ids=["rate", "queue of the account", "share of the whole queue"],
)
def test_a_full_queue_refuses_before_anything_ran(limits, config, status):
    """Guards against unbounded queues and refusals without a verdict."""
    queue = make_queue(default_limits=limits, **config)
    offer_many(queue, 2)
    refusal = queue.offer(ticket("one more"), 0).err_value
    assert (refusal.status, refusal.verdict) == (status, Verdict.NOT_RUN)
    assert refusal.retry_after >= 100
    assert queue.offer(ticket("other", "other"), 0).is_ok()


def test_retry_after_of_a_rate_limit_is_exact():
    """Guards against a ``retry_after`` at which the request is refused again."""
    queue = make_queue(default_limits=AccountLimits(requests_per_second=0.5))
    offer_many(queue, 1)
    refusal = queue.offer(ticket("b"), 500).err_value
    assert queue.offer(ticket("b"), 500 + refusal.retry_after - 1).is_err()
    assert queue.offer(ticket("b"), 500 + refusal.retry_after).is_ok()


def test_an_account_without_a_share_on_this_vm_is_refused():
    """Guards against tickets that wait although their account may run none."""
    queue = make_queue()
    queue.set_account_limits("a", AccountLimits(concurrent=0), 0)
    refusal = queue.offer(ticket("a"), 0).err_value
    assert (refusal.status, refusal.verdict) == (429, Verdict.NOT_RUN)
    queue.set_account_limits("a", LARGE_LIMITS, 0)
    assert queue.offer(ticket("a"), 0).is_ok()


def test_an_unreachable_deadline_is_refused_at_once():
    """Guards against queueing hopeless requests and a wrong ``retry_after``."""
    queue = make_queue(limit=1)
    offer_many(queue, 10)
    refusal = queue.offer(ticket("b", deadline=600), 0).err_value
    assert (refusal.verdict, refusal.retry_after) == (Verdict.NOT_RUN, 600)
    for now in range(0, 600, 100):
        queue.release(queue.next(now), now + 100)
    assert queue.offer(ticket("b", deadline=1200), 600).is_ok()
    never = queue.offer(ticket("c", deadline=650), 600).err_value
    assert never.retry_after is None
    assert make_queue(limit=0).offer(ticket("d"), 0).err_value.status == 503


def test_a_stall_lengthens_the_expected_wait():
    """Guards against using the last drain rate while no ticket is released."""
    queue = make_queue(limit=1)
    queue.offer(ticket("a"), 0)
    queue.next(0)
    assert queue.offer(ticket("b", deadline=1300), 1000).is_ok()
    queue.cancel("b")
    assert queue.offer(ticket("c", deadline=10_300), 10_000).is_err()


def test_late_tickets_are_returned_once_and_never_run():
    """Guards against running requests past their deadline or not answering them."""
    queue = make_queue(limit=1)
    queue.offer(ticket("a", deadline=1000), 0)
    queue.offer(ticket("b", deadline=2000), 0)
    queue.offer(ticket("c", deadline=9000), 0)
    assert queue.next(950).id == "b"
    assert [t.id for t in queue.expire(950)] == ["a"]
    assert queue.expire(8901)[0].id == "c"
    assert (queue.expire(9999), queue.waiting) == ([], 0)
    assert queue.late_refusal().verdict is Verdict.NOT_RUN


def test_an_id_offered_again_keeps_its_new_deadline():
    """Guards against dropping a retried request by the deadline of its first try."""
    queue = make_queue(limit=1)
    queue.offer(ticket("a", deadline=500), 0)
    queue.cancel("a")
    queue.offer(ticket("a", deadline=5000), 0)
    assert queue.expire(1000) == []
    assert queue.next(1000).deadline == 5000


def test_variable_run_times_add_a_margin_before_the_deadline():
    """Guards against admitting runs that meet the deadline only if they are short."""
    queue = make_queue(limit=1)
    for number in range(40):
        queue.offer(ticket(number), 0)
        queue.release(queue.next(0), 50 if number % 2 else 150)
    queue.offer(ticket("running"), 0)
    queue.next(0)
    assert queue.offer(ticket("tight", deadline=220), 0).is_err()
    assert queue.offer(ticket("wide", deadline=400), 0).is_ok()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "next", "release", "cancel", "expire"]),
        st.sampled_from("abc"),
        st.integers(0, 2),
        st.integers(0, 400),
    ),
    max_size=120,
)


@given(STEPS)
@settings(max_examples=80, deadline=None)
def test_every_admitted_ticket_leaves_exactly_once(steps):
    """Guards against lost or duplicated tickets and wrong counts."""
    limits = AccountLimits(concurrent=2, requests_per_second=50, queued=10)
    queue = make_queue(limit=3, default_limits=limits, queued_total=20)
    admitted, dequeued, running, now = set(), [], [], 0
    for number, (step, account, rank, value) in enumerate(steps):
        now += value // 8
        if step == "offer":
            offered = ticket(number, account, rank, now + value)
            if queue.offer(offered, now).is_ok():
                admitted.add(offered.id)
        elif step == "next" and (found := queue.next(now)):
            running.append(found)
            dequeued.append(found.id)
            assert Counter(t.account for t in running)[found.account] <= 2
        elif step == "release" and running:
            queue.release(running.pop(0), now)
        elif step == "cancel" and admitted:
            chosen = sorted(admitted)[value % len(admitted)]
            dequeued += [chosen] if queue.cancel(chosen) else []
        elif step == "expire":
            dequeued += [t.id for t in queue.expire(now)]
        assert (queue.running, len(running) <= 3) == (len(running), True)
    for done in running:
        queue.release(done, now)
    while found := queue.next(now):
        dequeued.append(found.id)
        queue.release(found, now)
    dequeued += [t.id for t in queue.expire(now)]
    assert sorted(dequeued) == sorted(admitted)
    assert (queue.waiting, queue.running) == (0, 0)
