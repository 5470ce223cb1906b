"""Store eras: the store may be restored from an older copy of its data.

Each restore increments the era. The store has then lost the writes that it acknowledged after the
copy was made, and reassigns the commit numbers that it had already used. A commit number is
therefore only unique within its era, so both are packed into one version number: versions of a
later era are higher than all versions of an earlier one, and the era can be read from the version.
"""

import threading
from typing import NamedTuple

from laburnumreel.core import Clock, SystemClock

# Bits of a commit number within an era: enough for 300 commits a second for a thousand years.
COMMIT_NUMBER_BITS = 43
MAX_COMMIT_NUMBER = (1 << COMMIT_NUMBER_BITS) - 1
# Versions fit into 63 bits, because peer updates carry them as signed 64-bit integers.
MAX_ERA = (1 << 63 - COMMIT_NUMBER_BITS) - 1
# Bits of a fencing number within an era. For the first two million eras, fencing numbers are exact
# as JSON numbers at both ends.
FENCE_BITS = 32


class EraSighting(NamedTuple):
    """An era of the store and when a process first knew of it, on the process' clock in seconds.

    All earlier eras were over by then.
    """

    era: int
    seen_at: float


class StoreEra:
    """The newest store era known to a process, from the store's responses or from peers.

    Thread-safe.

    >>> era = StoreEra()
    >>> era.advance_to(2), era.advance_to(1), era.current
    (True, False, 2)
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._lock = threading.Lock()
        self._clock = clock or SystemClock()
        self._sighting = EraSighting(0, self._clock.now())

    @property
    def current(self) -> int:
        return self._sighting.era

    @property
    def sighting(self) -> EraSighting:
        """The newest era and when this process first knew of it."""
        return self._sighting

    def advance_to(self, era: int) -> bool:
        """Record an era. Return False if it is outdated; data from that era must not be used."""
        with self._lock:
            if era < self._sighting.era:
                return False
            if era > self._sighting.era:
                self._sighting = EraSighting(era, self._clock.now())
            return True


def pack_version(era: int, number: int) -> int:
    """Return the version for a commit number in an era; 0, which means no commit, stays 0.

    >>> pack_version(1, 5) > pack_version(0, 900), pack_version(3, 0)
    (True, 0)
    """
    return era << COMMIT_NUMBER_BITS | number if number else 0


def era_of_version(version: int) -> int:
    """Return the era of a version."""
    return version >> COMMIT_NUMBER_BITS


def commit_number_of(version: int) -> int:
    """Return the commit number of a version.

    >>> commit_number_of(pack_version(4, 17)), era_of_version(pack_version(4, 17))
    (17, 4)
    """
    return version & MAX_COMMIT_NUMBER


def first_fence(era: int) -> int:
    """Return the lowest fencing number of an era, which is above those of all earlier eras.

    >>> first_fence(0), first_fence(1) > first_fence(0) + 1000
    (1, True)
    """
    return max(1, era << FENCE_BITS)


def era_of_fence(fence: int) -> int:
    """Return the era in which a fencing number was issued."""
    return fence >> FENCE_BITS
