"""Requests that wait for a place at a backend server: their order, and which are given up.

Load patterns that this answers: a burst above what the backend servers can take, in which requests
that can still be on time go before those that can't; a flood of urgent requests, which pass others
by a bounded time only, so that nobody waits for ever; a retry storm, whose clients are told a time
to come back that follows from the rate at which places become free.
"""

import random
from typing import NamedTuple

# How much earlier a request is due for each step of priority. It is an advantage in the order that
# waiting makes up for, so that less urgent requests get their turn.
PRIORITY_STEP_S = 0.15
# The rate of places that become free is averaged over about this time.
RATE_MEMORY_S = 3.0
LEAST_RETRY_S = 0.1
LONGEST_RETRY_S = 5.0
# Clients that are refused together come back spread over this share of their time.
RETRY_SPREAD = 0.5


class Waiting(NamedTuple):
    """A request that waits. `due` is when its answer must begin to be on time, `deadline` when its
    caller gives up; both in seconds of the process' clock."""

    request_id: str
    priority: int
    arrived_at: float
    due: float
    deadline: float


def order_waiting(waiting: list[Waiting], now: float) -> list[Waiting]:
    """Return waiting requests in the order in which they get places.

    Requests that can still be on time come first, the one that is due first before the others; a
    late request gains nothing by being late, and comes when no request that is on time waits.

    >>> late = Waiting("late", 0, 0.0, 0.5, 5.0)
    >>> soon = Waiting("soon", 1, 1.0, 2.0, 5.0)
    >>> [each.request_id for each in order_waiting([late, soon], now=1.5)]
    ['soon', 'late']
    """

    def key(item: Waiting) -> tuple[bool, float]:
        late = item.due <= now
        return late, (item.deadline if late else item.due) + item.priority * PRIORITY_STEP_S

    return sorted(waiting, key=key)


class FreedRate:
    """The rate at which places become free.

    >>> rate = FreedRate()
    >>> for at in range(10):
    ...     rate.freed(float(at))
    >>> 0.5 < rate.per_s(9.0) < 1.5
    True
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at: float | None = None

    def freed(self, now: float) -> None:
        """Count a place that became free."""
        self._per_s = self.per_s(now) + 1 / RATE_MEMORY_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the places that become free in a second."""
        if self._at is None:
            return 0.0
        # The average of a Poisson process with an exponential window.
        return self._per_s * max(0.0, 1 - min(1.0, (now - self._at) / RATE_MEMORY_S))


def retry_after_s(ahead: int, per_s: float, rng: random.Random) -> float:
    """Return when a client should come back: when those ahead of it have got places, and a little.

    >>> 2.0 <= retry_after_s(4, 2.0, random.Random(1)) <= 3.8
    True
    """
    wait = (ahead + 1) / per_s if per_s > 0 else LONGEST_RETRY_S / 4
    wait *= 1 + RETRY_SPREAD * rng.random()
    return max(LEAST_RETRY_S, min(LONGEST_RETRY_S, wait))
