"""What a caller may be told about whether its request ran."""

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
