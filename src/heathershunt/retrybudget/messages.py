"""Messages between a VM that needs retries and the coordinator of its group."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from heathershunt.retrybudget.grants import GrantId
from heathershunt.retrybudget.ledger import (
    MAX_RETRIES_PER_GRANT,
    Decision,
    GrantReason,
)
from heathershunt.schema.fields import Count, Text, Whole

RETRIES_PATH = "/retries/"
VERSION = 1

Wanted = Annotated[int, Meta(ge=1, le=MAX_RETRIES_PER_GRANT)]
Granted = Annotated[int, Meta(ge=0, le=MAX_RETRIES_PER_GRANT)]


class UnusedRow(msgspec.Struct, array_like=True, frozen=True):
    """Retries of one grant that ended without use.

    .. versionadded:: 0.10
    """

    term: Text
    number: Whole
    retries: Granted


class RetryRequest(msgspec.Struct, array_like=True, frozen=True):
    """A VM's request for retries of one service.

    :param vm: name of the VM.
    :param has_begun: whether they are for streams that have begun.
    :param unused: retries that it was granted and gives back.

    .. versionadded:: 0.10
    """

    version: Literal[1]
    vm: Text
    service: Text
    retries: Wanted
    has_begun: bool
    unused: list[UnusedRow] = []

    @classmethod
    def from_unused(
        cls,
        vm: str,
        service: str,
        retries: int,
        has_begun: bool,
        unused: dict[GrantId, int],
    ) -> "RetryRequest":
        """Return the request of a VM."""
        rows = [
            UnusedRow(grant.term, grant.number, count)
            for grant, count in unused.items()
        ]
        return cls(VERSION, vm, service, retries, has_begun, rows)

    def unused_by_grant(self) -> dict[GrantId, int]:
        """Return the retries that the VM gives back."""
        return {GrantId(row.term, row.number): row.retries for row in self.unused}


class RetryAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer of the coordinator.

    :param term: time of the coordinator as the first VM of its group; empty without a
        grant.
    :param number: number of the grant in this term.
    :param left: retries left in the pool for requests of the same kind.
    :param reason: why retries were granted, or why not.

    .. versionadded:: 0.10
    """

    version: Literal[1]
    retries: Granted
    term: Text
    number: Whole
    left: Count
    reason: GrantReason

    @classmethod
    def from_decision(cls, decision: Decision) -> "RetryAnswer":
        """Return the answer for a decision."""
        grant = decision.id or GrantId("", 0)
        return cls(
            VERSION,
            decision.retries,
            grant.term,
            grant.number,
            decision.left,
            decision.reason,
        )


decode_request = msgspec.msgpack.Decoder(RetryRequest).decode
decode_answer = msgspec.msgpack.Decoder(RetryAnswer).decode
