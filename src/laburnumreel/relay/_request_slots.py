"""Slots for the concurrent requests of a host, one for each request thread."""

import random
import threading

from laburnumreel.core import Clock
from laburnumreel.relay._waiting import SlotReleaseRate, retry_after_s


class RequestSlots:
    """Limits the concurrent requests, and computes a retry time for the others. Thread-safe.

    When backend servers hang while requests keep arriving, all request threads wait. Without this
    limit, a request that was read but has no thread would wait without being counted.

    >>> import random
    >>> from laburnumreel.core import ManualClock
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
        """Take a slot and return None, or return in how many seconds the caller should retry."""
        with self._lock:
            if self._free_slots <= 0:
                return retry_after_s(0, self._release_rate.per_s(self._clock.now()), self._rng)
            self._free_slots -= 1
            return None

    def release(self) -> None:
        """Return a slot."""
        with self._lock:
            self._free_slots += 1
            self._release_rate.record_release(self._clock.now())
