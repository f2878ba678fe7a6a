"""Checks of the callers' transcripts against the ledgers of the stand-ins."""

from collections import Counter, defaultdict

from standins.oracle import expected_tokens
from tests.fuzz.fleet import LAYERS
from tests.fuzz.traffic import Attempt, DraftRecord


def check_drafts(drafts: list[DraftRecord]) -> None:
    """Check the tokens of drafts, and that each ends complete or with a verdict.

    Also check that a drained VM started none after its drain bound had passed.
    """
    for draft in drafts:
        expected = expected_tokens("m", "v1", LAYERS, draft.prompt, draft.count)
        received = draft.tokens
        assert received == expected[: len(received)], f"wrong tokens: {draft}"
        if draft.final.is_complete:
            assert received == expected, f"incomplete answer marked whole: {draft}"
        else:
            assert draft.final.problem["verdict"], f"no verdict: {draft}"
        for post in draft.posts:
            own = post.transcript.request_id.startswith(f"{post.vm}.")
            assert not (post.was_drained and own), f"drained {post.vm} started {draft}"


def check_refused_drafts(drafts: list[DraftRecord], runs: list[dict]) -> None:
    """Check that no draft ran whose requests all got the verdict ``not_run``."""
    prompts = {run["prompt"] for run in runs}
    for draft in drafts:
        problems = [post.transcript.problem or {} for post in draft.posts]
        verdicts = {problem.get("verdict") for problem in problems}
        if verdicts == {"not_run"}:
            assert draft.prompt not in prompts, (
                f"verdict not_run, but the draft ran: {draft}"
            )


def check_layers(runs: list[dict]) -> None:
    """Check that no stage ran a position twice within an epoch."""
    run_counts = Counter(
        (run["run"], run["epoch"], run["position"], tuple(run["layers"]))
        for run in runs
    )
    repeated = [key for key, count in run_counts.items() if count > 1]
    assert not repeated, f"layers ran more than once: {repeated[:5]}"


def check_orders(attempts: list[Attempt], ledger: list[dict]) -> list[str]:
    """Check the verdicts of order requests against the ledger of the service.

    :return: keys for which a request got ``not_run`` although it was sent after
        another request with the same key had run and been answered.
    """
    runs_by_body = Counter(call["body"] for call in ledger)
    ran = {name for call in ledger for name in call["headers"]}
    by_key = defaultdict(list)
    for attempt in attempts:
        if attempt.verdict == "not_run":
            assert attempt.marker not in ran, (
                f"verdict not_run, but the request ran: {attempt}"
            )
        if attempt.status == 200:
            assert runs_by_body[attempt.body] == 1, (
                f"answered with 200, but not run once: {attempt}"
            )
        assert runs_by_body[attempt.body] <= 1, f"ran more than once: {attempt}"
        if attempt.key:
            by_key[attempt.key].append(attempt)
    return [
        key
        for key, key_attempts in by_key.items()
        if _has_late_not_run(key_attempts, ran)
    ]


def _has_late_not_run(key_attempts: list[Attempt], ran: set[str]) -> bool:
    run_ends = [attempt.ended for attempt in key_attempts if attempt.marker in ran]
    return any(
        attempt.verdict == "not_run" and run_ends and attempt.began > min(run_ends)
        for attempt in key_attempts
    )


def check_versions(versions_by_process: dict) -> None:
    """Check that the bundle version never decreases within a process."""
    for process, versions in versions_by_process.items():
        assert versions == sorted(versions), (
            f"bundle version decreased at {process}: {versions}"
        )
