import pytest

from heathershunt.forwarding.attempts import HopAttempts
from heathershunt.relay.earlier import EarlierSends


def attempts(left, may_repeat=True, may_reuse=False, **earlier):
    return HopAttempts(EarlierSends(attempts=left, **earlier), may_repeat, may_reuse)


@pytest.mark.parametrize(("left", "given"), [(1, 1), (2, 1), (3, 2)])
def test_one_attempt_is_kept_for_a_lost_hop(left, given):
    # Guards against more sends than a route allows if a VM is lost.
    item = attempts(left)
    assert item.give().attempts == given
    item.record_lost()
    if left > 1:
        second = item.give()
        assert second.attempts == left - given
        assert second.may_have_run and second.sends == 1
    assert not item.may_ask


def test_request_that_runs_once_only_is_given_away_whole():
    item = attempts(2, may_repeat=False)
    assert item.give().attempts == 2
    item.record_lost()
    assert not item.may_ask


def test_request_that_a_vm_sent_nowhere_is_as_before():
    item = attempts(2, may_repeat=False)
    item.take_back(item.give())
    assert item.may_ask and not item.may_have_run
    assert item.give().attempts == 2


def test_targets_of_a_refusal_count():
    # Guards against targets that are sent a request twice by two VMs.
    item = attempts(2)
    assert item.record_sent(item.give(), frozenset({"a"}))
    second = item.give()
    assert second.target_ids == {"a"} and second.sends == 1
    assert second.attempts == 1


def test_vm_with_attempts_left_has_given_its_answer():
    item = attempts(3)
    assert not item.record_sent(item.give(), frozenset({"a"}))


def test_request_is_counted_once_in_retry_budgets():
    item = attempts(2)
    assert not item.give().is_counted
    assert item.give().is_counted


def test_stream_may_be_sent_again_to_the_runners_that_had_it():
    assert attempts(0, may_reuse=True, target_ids=frozenset({"a"})).may_ask
    assert not attempts(0, may_reuse=False, target_ids=frozenset({"a"})).may_ask
    assert not attempts(0, may_reuse=True).may_ask


def test_request_that_was_not_taken_is_counted_by_the_next_vm():
    # Guards against requests that no VM counts, as the first one declined.
    item = attempts(2)
    item.take_back(item.give())
    assert not item.give().is_counted
