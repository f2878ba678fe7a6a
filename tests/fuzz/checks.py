"""The oracle of the fuzzing machine: stand-ins' ledgers and callers' transcripts."""

from collections import Counter, defaultdict

from standins.oracle import expected_tokens
from tests.fuzz.fleet import LAYERS
from tests.fuzz.traffic import Attempt, DraftRecord


def check_drafts(drafts: list[DraftRecord]) -> None:
    """Check that whole answers are right and that others are not marked whole."""
    for draft in drafts:
        expected = expected_tokens("m", "v1", LAYERS, draft.prompt, draft.count)
        received = draft.tokens
        assert received == expected[: len(received)], f"wrong tokens: {draft}"
        if draft.final.is_complete:
            assert received == expected, f"a part of an answer is whole: {draft}"
        else:
            assert draft.final.problem["verdict"], f"no verdict: {draft}"
        for post in draft.posts:
            own = post.transcript.request_id.startswith(f"{post.vm}.")
            assert not (post.was_drained and own), f"drained {post.vm} started {draft}"


def check_refused_drafts(drafts: list[DraftRecord], runs: list[dict]) -> None:
    """Check that no draft ran of which every request was refused as ``not_run``."""
    prompts = {run["prompt"] for run in runs}
    for draft in drafts:
        problems = [post.transcript.problem or {} for post in draft.posts]
        verdicts = {problem.get("verdict") for problem in problems}
        if verdicts == {"not_run"}:
            assert draft.prompt not in prompts, f"not_run, but it ran: {draft}"


def check_layers(runs: list[dict]) -> None:
    """Check that no stage ran a position twice within an epoch."""
    seen = Counter(
        (run["run"], run["epoch"], run["position"], tuple(run["layers"]))
        for run in runs
    )
    twice = [key for key, count in seen.items() if count > 1]
    assert not twice, f"layers ran twice: {twice[:5]}"


def check_orders(attempts: list[Attempt], ledger: list[dict]) -> list[str]:
    """Check verdicts against the service's ledger.

    :return: keys of which an attempt said ``not_run`` although an earlier one ran.
    """
    runs_by_body = Counter(call["body"] for call in ledger)
    ran = {name for call in ledger for name in call["headers"]}
    by_key = defaultdict(list)
    for attempt in attempts:
        if attempt.verdict == "not_run":
            assert attempt.marker not in ran, f"not_run, but it ran: {attempt}"
        if attempt.status == 200:
            assert runs_by_body[attempt.body] == 1, f"answered, not run: {attempt}"
        assert runs_by_body[attempt.body] <= 1, f"ran more than once: {attempt}"
        if attempt.key:
            by_key[attempt.key].append(attempt)
    return [key for key, tries in by_key.items() if _is_contradicted(tries, ran)]


def _is_contradicted(tries: list[Attempt], ran: set[str]) -> bool:
    first = [attempt.ended for attempt in tries if attempt.marker in ran]
    return any(
        attempt.verdict == "not_run" and first and attempt.began > min(first)
        for attempt in tries
    )


def check_versions(versions_by_process: dict) -> None:
    """Check that the bundle version never goes down within a process."""
    for process, versions in versions_by_process.items():
        assert versions == sorted(versions), f"{process}: {versions}"
