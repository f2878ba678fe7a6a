"""Revisions that keep growing when the store is restored from a copy.

A restored store gives revisions and leases out again. Its era, the number of times that
it was restored, tells them apart. VMs put the era above the store's own number, so that
whatever compares two revisions, or uses one as a fencing token, is right across eras.
"""

import logbook

from heathershunt.http import ClientResponse

log = logbook.Logger("heathershunt.coordination")

# The store's own number has at most so many bits, and with the era above it a revision
# still fits the 53 bits of a number in JSON.
NUMBER_BITS = 40
MAX_ERA = 2**12 - 1
# The number of a lease may have any value up to this many bits; only its VM uses it.
LEASE_BITS = 64


def join(era: int, number: int) -> int:
    """Return a revision from the era and the number that the store gave."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & (1 << NUMBER_BITS) - 1


def join_lease(era: int, number: int) -> int:
    """Return a lease from the era and the number that the store gave."""
    return era << LEASE_BITS | number


def era_of_lease(lease: int) -> int:
    """Return the era of a lease."""
    return lease >> LEASE_BITS


def number_of_lease(lease: int) -> int:
    """Return the store's own number of a lease."""
    return lease & (1 << LEASE_BITS) - 1


class EraField:
    """The era in the header fields of a reply of the store.

    :param name: name of the field, in lower case.
    :param known: era that is known so far; a reply without a valid one counts as of
        this era.

    .. versionadded:: 0.7
    """

    def __init__(self, name: str, known: int) -> None:
        self._name = name
        self.value = known

    def read(self, response: ClientResponse) -> None:
        """Take the era from the header fields."""
        text = response.headers.get(self._name)
        if text is None:
            return
        if text.isdecimal() and int(text) <= MAX_ERA:
            self.value = int(text)
        else:
            log.warning("malformed era of the store: {!r}", text[:40])
