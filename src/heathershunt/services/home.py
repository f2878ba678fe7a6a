"""Routing of claims to one VM per shard, the home, which writes them in larger batches.

VMs that write to the same shard cause swap conflicts. If all VMs send their claims of a
shard to its home, one swap carries the claims of all of them. The swap alone decides
who holds a claim: if two VMs act as the home because their views of the membership
differ, this costs extra writes and never a second claim.
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
    """Sends a claim to another VM, which adds it to a batch of its own.

    .. versionadded:: 0.1
    """

    async def claim(
        self, vm: str, claim: Claim, timeout_ms: int
    ) -> Result[Claim, ClaimFailure | Progress]:
        """Return the claim that holds the key.

        An ``Err`` holds the failure that the other VM reported, or how far the claim
        got if no reply came.
        """


def home_vm(shard: int, vms: Sequence[str]) -> str:
    """Return the home of a shard; VMs with the same list compute the same one."""
    return max(vms, key=lambda vm: hashlib.sha256(f"{shard}\0{vm}".encode()).digest())


class ClaimRouter:
    """Claims keys through the home of their shard, or directly without a relay.

    :param vms: returns the names of the live VMs that are not leaving.

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
        """Claim a key through the home of its shard.

        If no reply of the home arrives, this VM writes the claim itself. The home may
        have written it too; a second write with the same nonce is harmless.
        """
        start = self._clock.now()
        shard = self._batcher.shard_number(claim.key)
        vms = {self._vm, *self.vms()}
        self._batcher.share_writes(len(vms))
        home = home_vm(shard, sorted(vms))
        if self.relay is None or home == self._vm:
            return await self.claim_here(claim, deadline)
        left = max(1, min(deadline - start, HOME_TIMEOUT_MS))
        outcome = await self.relay.claim(home, claim, left)
        if isinstance(outcome, Err) and isinstance(outcome.err_value, Progress):
            return await self.claim_here(claim, deadline)
        # If this process was paused for long, the claim may have expired in the store.
        if isinstance(outcome, Ok) and self._batcher.is_too_old(start):
            return Err(ClaimFailure.TIMEOUT)
        return outcome

    def on_store_restored(self) -> None:
        """Write the claims again that a restored store may lack."""
        self._batcher.on_store_restored()

    async def claim_here(
        self, claim: Claim, deadline: Millis
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key by a write of this VM."""
        return await self._batcher.claim(claim, deadline)
