"""Plain services: calls that run at most once, idempotency keys and claims."""

from heathershunt.services.batches import ClaimBatcher, ClaimFailure, SwapStore
from heathershunt.services.calls import CallOutcome, Forwarder, ServiceCall
from heathershunt.services.claims import Claim
from heathershunt.services.dispatch import Dispatcher
from heathershunt.services.handler import SERVICES_PREFIX, ServiceHandler
from heathershunt.services.home import ClaimRelay, ClaimRouter
from heathershunt.services.issuer import IssuedKey, KeyIssuer, parse_issued_key
from heathershunt.services.table import KeyTable

__all__ = [
    "SERVICES_PREFIX",
    "CallOutcome",
    "Claim",
    "ClaimBatcher",
    "ClaimFailure",
    "ClaimRelay",
    "ClaimRouter",
    "Dispatcher",
    "Forwarder",
    "IssuedKey",
    "KeyIssuer",
    "KeyTable",
    "ServiceCall",
    "ServiceHandler",
    "SwapStore",
    "parse_issued_key",
]
