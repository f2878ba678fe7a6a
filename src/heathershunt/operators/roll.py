"""Rollout of a bundle file through this daemon."""

from result import Err, Ok, Result

from heathershunt.bundle import BundleError, BundleKeeper, SignedRoot, unpack_file
from heathershunt.store import KeyValueStore, StoreError, roll_bundle
from heathershunt.store.client import StoreFailure
from heathershunt.verdict import Refusal, may_have_run, not_run

REFUSED_TITLE = "Bundle refused"
CONFLICT_PLACES = ("root.version", "root.previous")
STORE_RETRY_AFTER_MS = 1000


async def roll_file(
    data: bytes, keeper: BundleKeeper, store: KeyValueStore
) -> Result[SignedRoot, Refusal]:
    """Check a bundle file as every VM will, then write it to the store.

    A bundle that the VMs would refuse must not get into the store: it would use up a
    version, and the next bundle could no longer follow the bundle in force.

    :returns: the accepted root, or a refusal with status 409 if another bundle was
        accepted first, 422 if the bundle is invalid, 503 if the store is unavailable,
        504 if the outcome is unknown.
    """
    try:
        signed, parts_by_sha256 = unpack_file(data)
        keeper.validate(signed, parts_by_sha256)
    except BundleError as error:
        return Err(not_run(422, REFUSED_TITLE, str(error)))
    outcome = await roll_bundle(store, signed, parts_by_sha256)
    if isinstance(outcome, Ok):
        return Ok(signed)
    return Err(_refusal_for(outcome.err_value))


def _refusal_for(error: BundleError | StoreError) -> Refusal:
    if isinstance(error, BundleError):
        status = 409 if error.place in CONFLICT_PLACES else 422
        return not_run(status, REFUSED_TITLE, str(error))
    if error.kind is StoreFailure.OUTCOME_UNKNOWN:
        detail = f"the reply of the store was lost: {error.detail}; roll it again"
        return may_have_run(504, "Outcome unknown", detail)
    detail = f"the store did not take the bundle: {error.detail}"
    return not_run(503, "Store unavailable", detail, STORE_RETRY_AFTER_MS)
