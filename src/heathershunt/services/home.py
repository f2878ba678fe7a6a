"""Claims through one VM for each shard, which writes larger batches.

VMs that write to the same shard take turns to lose swaps. When they all send their
claims of a shard to one VM, its home, one swap carries the claims of all of them. Only
the swap decides: two VMs that both believe themselves the home cost extra writes and
never a second claim.
"""

import hashlib
from collections.abc import Callable, Sequence
from typing import Protocol

from result import Err, Ok, Result

from heathershunt.clock import Clock, Millis
from heathershunt.services.batches import ClaimBatcher, ClaimFailure
from heathershunt.services.claims import Claim
from heathershunt.verdict import Progress

HOME_TIMEOUT_MS = 500


class ClaimRelay(Protocol):
    """Sends a claim to another VM, which hands it to its own batcher.

    .. versionadded:: 0.1
    """

    async def claim(
        self, vm: str, claim: Claim, timeout_ms: int
    ) -> Result[Claim, ClaimFailure | Progress]:
        """Return the claim that holds the key, or why none is known."""


def home_of(shard: int, vms: Sequence[str]) -> str:
    """Return the VM that all VMs with the same view take as the home of a shard."""
    return max(vms, key=lambda vm: hashlib.sha256(f"{shard}\0{vm}".encode()).digest())


class HomedClaims:
    """Claims keys through the home of their shard, or directly without one.

    :param vms: gives the names of the live VMs that are not leaving.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        batcher: ClaimBatcher,
        clock: Clock,
        vm: str,
        vms: Callable[[], Sequence[str]] = tuple,
        relay: ClaimRelay | None = None,
    ) -> None:
        self._batcher = batcher
        self._clock = clock
        self._vm = vm
        self.vms = vms
        self.relay = relay

    async def claim(
        self, claim: Claim, deadline: Millis
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key through its home; a second try of one nonce is harmless."""
        start = self._clock.now()
        shard = self._batcher.shard_number(claim.key)
        vms = {self._vm, *self.vms()}
        self._batcher.share_writes(len(vms))
        home = home_of(shard, sorted(vms))
        if self.relay is None or home == self._vm:
            return await self.claim_here(claim, deadline)
        left = max(1, min(deadline - start, HOME_TIMEOUT_MS))
        outcome = await self.relay.claim(home, claim, left)
        if isinstance(outcome, Err) and isinstance(outcome.err_value, Progress):
            return await self.claim_here(claim, deadline)
        # After a long pause of this process the claim may have left the store.
        if isinstance(outcome, Ok) and self._batcher.is_late(start):
            return Err(ClaimFailure.TOO_SLOW)
        return outcome

    async def claim_here(
        self, claim: Claim, deadline: Millis
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key with this VM's own writes."""
        return await self._batcher.claim(claim, deadline)
