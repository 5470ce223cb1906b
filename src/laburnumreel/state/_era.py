"""The era of a store that may come back from an older copy of itself.

Each such return raises the era by one. The store then has forgotten what it acknowledged since the
copy was made, and gives out again the versions that it had given out meanwhile. A version therefore
only means something together with its era, so the two are packed into one number: versions of a
later era are higher than all of an earlier one, and a version of an earlier era is told apart.
"""

import threading

# Commit numbers of one era stay below this many bits: 300 a second for a thousand years.
COMMIT_NUMBER_BITS = 43
MAX_COMMIT_NUMBER = (1 << COMMIT_NUMBER_BITS) - 1
# Versions stay below 63 bits, which is what hosts can tell one another.
MAX_ERA = (1 << 63 - COMMIT_NUMBER_BITS) - 1
# Fencing numbers of one era stay below this many bits. Both ends keep them exact in a JSON number
# for the first two million eras.
FENCE_BITS = 32


class StoreEra:
    """The newest era that a process knows of, from the store's answers or from its peers.

    >>> era = StoreEra()
    >>> era.advance_to(2), era.advance_to(1), era.current
    (True, False, 2)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = 0

    @property
    def current(self) -> int:
        return self._current

    def advance_to(self, era: int) -> bool:
        """Take in an era; False if it has passed, so that what came with it must not be used."""
        with self._lock:
            if era < self._current:
                return False
            self._current = era
            return True


def pack_version(era: int, number: int) -> int:
    """Return the version of a commit number in an era; 0, which names no commit, stays 0.

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
    """Return the lowest fencing number of an era, above all of earlier eras.

    >>> first_fence(0), first_fence(1) > first_fence(0) + 1000
    (1, True)
    """
    return max(1, era << FENCE_BITS)


def era_of_fence(fence: int) -> int:
    """Return the era in which a fencing number was given out."""
    return fence >> FENCE_BITS
