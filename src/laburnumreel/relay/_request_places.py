"""Places for the requests that a host has in work at once, one for each of its request threads."""

import random
import threading

from laburnumreel.core import Clock
from laburnumreel.relay._waiting import FreedRate, retry_after_s


class RequestPlaces:
    """Counts the requests in work, and says when to come back where there are too many.

    Load pattern that this answers: backend servers that stand still while requests go on coming, so
    that all request threads wait. A request that was read and finds no thread would wait unseen.

    >>> places = RequestPlaces(1, ManualClock(), random.Random(1))
    >>> places.take(), places.take() > 0
    (None, True)
    """

    def __init__(self, count: int, clock: Clock, rng: random.Random) -> None:
        self._left = count
        self._clock = clock
        self._rng = rng
        self._freed = FreedRate()
        self._lock = threading.Lock()

    def take(self) -> float | None:
        """Take a place, or return in how many seconds one is free for this caller."""
        with self._lock:
            if self._left <= 0:
                return retry_after_s(0, self._freed.per_s(self._clock.now()), self._rng)
            self._left -= 1
            return None

    def give_back(self) -> None:
        """Give a place back."""
        with self._lock:
            self._left += 1
            self._freed.freed(self._clock.now())
