"""Holds the bundle in force on this VM; its version never decreases."""

from collections.abc import Callable, Collection, Mapping

import logbook
from result import Err, Ok, Result

from heathershunt.bundle.delta import assemble_next
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import Bundle
from heathershunt.bundle.parts import Root, SignedRoot
from heathershunt.bundle.signing import verify_root

log = logbook.Logger("heathershunt.bundle")


class BundleKeeper:
    """Holds the bundle in force and replaces it only by a verified, newer one.

    :param trusted_keys: public keys that may sign and approve, in hexadecimal.
    :param on_change: called with every bundle that comes into force.
    :param on_conflict: called with a verified root that has the version in force but
        another hash.
    :ivar signed: signed root of the bundle in force, ``None`` before the first.
    :ivar parts_by_sha256: encoded parts of the bundle in force.
    :ivar previous_version: version that was in force before, 0 if there was none.

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
        """Verify a root and return the hashes of its parts that must be fetched.

        Returns ``Err`` if the root is malformed, lacks trusted signatures or approvals,
        or is not newer than the one in force.
        """
        try:
            entries = self._verify_newer(signed).parts
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

    def validate(
        self, signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]
    ) -> None:
        """Check signatures and contents of a bundle without putting it into force.

        Its version is not compared with the one in force.

        :raises BundleError: at the first fault.
        """
        self.verify(signed)
        self._assemble(signed.root(), parts_by_sha256)

    def _assemble(
        self, root: Root, parts_by_sha256: Mapping[str, bytes]
    ) -> tuple[Bundle, dict[str, bytes]]:
        """Return the bundle of ``root`` and its parts, reusing the bundle in force."""
        # The parts in force are verified, so they take precedence over offered ones.
        parts = {**parts_by_sha256, **self.parts_by_sha256}
        in_force = self.signed.root() if self.signed else None
        bundle = assemble_next(root, parts, in_force, self.bundle)
        return bundle, {entry.sha256: parts[entry.sha256] for entry in root.parts}

    def offer(
        self, signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]
    ) -> Result[Bundle, BundleError]:
        """Put a newer bundle into force, or return why it is refused."""
        try:
            root = self._verify_newer(signed)
            bundle, parts = self._assemble(root, parts_by_sha256)
        except BundleError as error:
            return Err(error)
        self.previous_version = self.version
        self.signed = signed
        self.bundle = bundle
        self.parts_by_sha256 = parts
        log.info("bundle {} in force ({})", bundle.version, signed.sha256[:12])
        self._notify(bundle)
        return Ok(bundle)

    def _notify(self, bundle: Bundle) -> None:
        """Call ``on_change``; log its error, because the bundle is in force already."""
        try:
            if self._on_change:
                self._on_change(bundle)
        except Exception:
            log.exception("on_change callback failed for bundle {}", bundle.version)

    def _verify_newer(self, signed: SignedRoot) -> Root:
        """Return the root if its signatures are valid and it is newer.

        Signatures are verified first, so that an unsigned root is never logged or
        reported as a conflict.
        """
        self.verify(signed)
        root = signed.root()
        if root.version <= self.version:
            if root.version == self.version and signed.sha256 != self.sha256:
                log.error("two different signed roots have version {}", root.version)
                if self._on_conflict:
                    self._on_conflict(signed)
            raise BundleError(
                "root.version", f"{root.version} is not higher than {self.version}"
            )
        return root
