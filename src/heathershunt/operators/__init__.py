"""The operators' listener: status, timeline, bundles, draining."""

from heathershunt.operators.access import OperatorAccess
from heathershunt.operators.roll import roll_file
from heathershunt.operators.routes import OPERATOR_LIMITS, OperatorHooks, OperatorRoutes

__all__ = [
    "OPERATOR_LIMITS",
    "OperatorAccess",
    "OperatorHooks",
    "OperatorRoutes",
    "roll_file",
]
