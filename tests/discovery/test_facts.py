"""What each fact on a target's process allows."""

import itertools

import pytest

from heathershunt.discovery import Fact, Step, allows


@pytest.mark.parametrize("fact", Fact)
def test_only_a_later_process_proves_an_end(fact):
    assert allows(Step.CUT, {fact}) is (fact is Fact.REPLACED)


# Guards against answers that are cut as a target is silent, has no entry and refuses
# connections: each has another reason, and so has all of it together.
def test_facts_that_prove_no_end_do_not_add_up():
    uncertain = set(Fact) - {Fact.REPLACED}
    for count in range(len(uncertain) + 1):
        for facts in itertools.combinations(uncertain, count):
            assert not allows(Step.CUT, facts)


@pytest.mark.parametrize("planned", [Fact.LEAVING, Fact.UNLISTED])
@pytest.mark.parametrize("sign", Fact)
def test_planned_end_blames_no_request(planned, sign):
    assert not allows(Step.BLAME, {planned, sign})


@pytest.mark.parametrize("sign", [Fact.REFUSES, Fact.REPLACED])
def test_unannounced_end_blames_requests(sign):
    assert allows(Step.BLAME, {sign})
    assert allows(Step.BLAME, {sign, Fact.SILENT})


def test_silence_blames_no_request():
    assert not allows(Step.BLAME, {Fact.SILENT})
    assert allows(Step.TRY_ANOTHER, {Fact.SILENT})


def test_nothing_follows_from_no_facts():
    assert not any(allows(step, ()) for step in Step)
