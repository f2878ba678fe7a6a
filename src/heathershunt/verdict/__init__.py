"""Verdicts on whether a request ran, and refusals that report them to callers."""

from heathershunt.verdict.verdict import (
    Progress,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
    verdict_for,
)

__all__ = [
    "Progress",
    "Refusal",
    "Verdict",
    "may_have_run",
    "not_run",
    "verdict_for",
]
