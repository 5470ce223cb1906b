"""Places for the requests that a host has in work at once, one for each of its request threads."""

import random
import threading

from laburnumreel.core import Clock
from laburnumreel.relay._waiting import SlotReleaseRate, retry_after_s


class RequestSlots:
    """Counts the requests in work, and says when to come back where there are too many.

    Load pattern that this answers: backend servers that stand still while requests go on coming, so
    that all request threads wait. A request that was read and finds no thread would wait unseen.

    >>> places = RequestSlots(1, ManualClock(), random.Random(1))
    >>> places.acquire(), places.acquire() > 0
    (None, True)
    """

    def __init__(self, count: int, clock: Clock, rng: random.Random) -> None:
        self._free_slots = count
        self._clock = clock
        self._rng = rng
        self._release_rate = SlotReleaseRate()
        self._lock = threading.Lock()

    def acquire(self) -> float | None:
        """Take a place, or return in how many seconds one is free for this caller."""
        with self._lock:
            if self._free_slots <= 0:
                return retry_after_s(0, self._release_rate.per_s(self._clock.now()), self._rng)
            self._free_slots -= 1
            return None

    def release(self) -> None:
        """Give a place back."""
        with self._lock:
            self._free_slots += 1
            self._release_rate.record_release(self._clock.now())
