"""Parts of prompts that crash runners: evidence, its exchange and the decision."""

from heathershunt.crashes.evidence import (
    CrashEvidence,
    Evidence,
    PartKey,
    Proof,
    RunnerCrash,
)
from heathershunt.crashes.guard import PartGuard
from heathershunt.crashes.judge import Block, JudgeConfig, PartJudge
from heathershunt.crashes.keeper import CRASHES_PREFIX, EvidenceKeeper
from heathershunt.crashes.keys import MAX_WRITING_MS, RequestKeys, request_key
from heathershunt.crashes.messages import CrashDigest

__all__ = [
    "CRASHES_PREFIX",
    "MAX_WRITING_MS",
    "Block",
    "CrashDigest",
    "CrashEvidence",
    "EvidenceKeeper",
    "Evidence",
    "JudgeConfig",
    "PartGuard",
    "PartJudge",
    "PartKey",
    "Proof",
    "RequestKeys",
    "RunnerCrash",
    "request_key",
]
