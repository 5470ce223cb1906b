"""Slots for the concurrent requests of a host, one for each request thread."""

import random
import threading
from collections import Counter

from laburnumreel.core import Clock
from laburnumreel.relay._waiting import SlotReleaseRate, retry_after_s

# The share of the slots that a service leaves free once it uses more than an equal share of all.
RESERVED_SHARE = 1 / 8


class RequestSlots:
    """Limits the concurrent requests, and computes a retry time for the others. Thread-safe.

    When backend servers hang while requests keep arriving, all request threads wait. Without this
    limit, a request that was read but has no thread would wait without being counted. A service
    that uses more than an equal share of the slots leaves some for the others, so that they are
    served while the servers of one hang or send without end.

    >>> import random
    >>> from laburnumreel.core import ManualClock
    >>> places = RequestSlots(1, ManualClock(), random.Random(1))
    >>> places.acquire("orders", services=1), places.acquire("orders", services=1) > 0
    (None, True)
    """

    def __init__(self, count: int, clock: Clock, rng: random.Random) -> None:
        self._count = count
        self._reserved_slots = int(RESERVED_SHARE * count)
        self._used_slots: Counter[str] = Counter()
        self._clock = clock
        self._rng = rng
        self._release_rate = SlotReleaseRate()
        self._lock = threading.Lock()

    def acquire(self, service: str, services: int) -> float | None:
        """Take a slot for a request of a service, of which `services` are configured.

        Returns None, or in how many seconds the caller should retry.
        """
        with self._lock:
            free_slots = self._count - self._used_slots.total()
            has_equal_share = self._used_slots[service] * services >= self._count
            if free_slots <= (self._reserved_slots if has_equal_share and services > 1 else 0):
                return retry_after_s(0, self._release_rate.per_s(self._clock.now()), self._rng)
            self._used_slots[service] += 1
            return None

    def release(self, service: str) -> None:
        """Return a slot of a request of this service."""
        with self._lock:
            self._used_slots[service] -= 1
            self._release_rate.record_release(self._clock.now())
