"""The bundle in force on this VM; its version never goes down."""

from collections.abc import Callable, Collection, Mapping

import logbook
from result import Err, Ok, Result

from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import Bundle
from heathershunt.bundle.parts import SignedRoot, assemble
from heathershunt.bundle.signing import verify_root

log = logbook.Logger("heathershunt.bundle")


class BundleKeeper:
    """Holds the highest verified bundle and takes only a higher one.

    :param trusted_keys: public keys that may sign.
    :param on_change: called with every bundle that comes into force.
    :param on_conflict: called with a verified root that has the version in force but
        another hash.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        trusted_keys: Collection[str],
        on_change: Callable[[Bundle], None] | None = None,
        on_conflict: Callable[[SignedRoot], None] | None = None,
    ) -> None:
        self._trusted = frozenset(trusted_keys)
        self._on_change = on_change
        self._on_conflict = on_conflict
        self.signed: SignedRoot | None = None
        self.bundle: Bundle | None = None
        self.parts_by_sha256: dict[str, bytes] = {}
        self.previous_version = 0

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first bundle."""
        return self.bundle.version if self.bundle else 0

    @property
    def sha256(self) -> str:
        """Return the hash of the root in force, empty before the first bundle."""
        return self.signed.sha256 if self.signed else ""

    def missing_parts(self, signed: SignedRoot) -> Result[tuple[str, ...], BundleError]:
        """Verify a root and return the hashes of parts that are not held yet.

        ``Err`` if the root is not verified or not newer than the one in force.
        """
        try:
            self._check(signed)
            entries = signed.root().parts
        except BundleError as error:
            return Err(error)
        held = self.parts_by_sha256
        return Ok(tuple(e.sha256 for e in entries if e.sha256 not in held))

    def verify(self, signed: SignedRoot) -> None:
        """Check signatures and approvals against the policy in force.

        :raises BundleError: if trusted signatures or approvals are too few.
        """
        in_force = self.bundle.policy if self.bundle else None
        verify_root(signed, self._trusted, in_force)

    def offer(
        self, signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]
    ) -> Result[Bundle, BundleError]:
        """Put a newer bundle into force, or return why it is refused."""
        try:
            self._check(signed)
            root = signed.root()
            parts = {**self.parts_by_sha256, **parts_by_sha256}
            bundle = assemble(root, parts)
        except BundleError as error:
            return Err(error)
        self.previous_version = self.version
        self.signed = signed
        self.bundle = bundle
        self.parts_by_sha256 = {e.sha256: parts[e.sha256] for e in root.parts}
        log.info("bundle {} in force ({})", bundle.version, signed.sha256[:12])
        if self._on_change:
            self._on_change(bundle)
        return Ok(bundle)

    def _check(self, signed: SignedRoot) -> None:
        version = signed.root().version
        if version <= self.version:
            if version == self.version and signed.sha256 != self.sha256:
                self._report_conflict(signed)
            raise BundleError(
                "root.version", f"{version} is not higher than {self.version}"
            )
        self.verify(signed)

    def _report_conflict(self, signed: SignedRoot) -> None:
        """Report a second root of the version in force, if trusted keys signed it.

        Anyone could send an unsigned one to fill the logs.
        """
        try:
            self.verify(signed)
        except BundleError:
            return
        log.error("version {} exists with two different roots", self.version)
        if self._on_conflict:
            self._on_conflict(signed)
