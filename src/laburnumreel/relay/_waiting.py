"""Requests that wait for a place at a backend server: their order, and which are given up.

Load patterns that this answers: a burst above what the backend servers can take, in which requests
that can still be on time go before those that can't, and the latter are refused while their callers
have time to come back; a flood of urgent requests, which pass others
by a bounded time only, so that nobody waits for ever; a retry storm, whose clients are told a time
to come back that follows from the rate at which places become free.
"""

import random
from typing import NamedTuple

# How much earlier a request is due for each step of priority. It is an advantage in the order that
# waiting makes up for, so that less urgent requests get their turn.
PRIORITY_STEP_S = 0.15
# The rate of places that become free is averaged over about this time.
RATE_WINDOW_S = 3.0
# A request counts as on time while it has this share of its objective left, in which an engine must
# read its prompt and make the first token.
ON_TIME_SHARE = 0.5
# A request that can't be on time any more waits for this share of its caller's patience, or as long
# as its objective. Then its caller is better served by the time to come back.
LATE_PATIENCE_SHARE = 0.25
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
# Clients that are refused together come back spread over this share of their time.
RETRY_SPREAD = 0.5


class WaitingRequest(NamedTuple):
    """A request that waits.

    `due` is when its answer must begin to be on time, `deadline` when its caller gives up; both in
    seconds of the process' clock. For one that is `is_started`, backend servers have done work already
    that would be lost.
    """

    request_id: str
    priority: int
    arrived_at: float
    due: float
    deadline: float
    is_started: bool = False

    @property
    def objective_s(self) -> float:
        """The time from the arrival to an answer that is on time."""
        return self.due - self.arrived_at

    @property
    def expires_at(self) -> float:
        """When the request is refused if it still waits."""
        if self.is_started:
            return self.deadline
        patience_s = LATE_PATIENCE_SHARE * (self.deadline - self.arrived_at)
        return min(self.deadline, self.arrived_at + max(self.objective_s, patience_s))


def order_waiting(waiting: list[WaitingRequest], now: float) -> list[WaitingRequest]:
    """Return waiting requests in the order in which they get places.

    Requests that are begun come first, then those that can still be on time, the one that is due
    first before the others; a late request gains nothing by being late, and comes when no request
    that can be on time waits.

    >>> late = WaitingRequest("late", 0, 0.0, 0.5, 5.0)
    >>> soon = WaitingRequest("soon", 1, 1.0, 2.0, 5.0)
    >>> [each.request_id for each in order_waiting([late, soon], now=1.2)]
    ['soon', 'late']
    """

    def key(item: WaitingRequest) -> tuple[bool, bool, float]:
        late = item.due - ON_TIME_SHARE * item.objective_s <= now
        due = (item.deadline if late else item.due) + item.priority * PRIORITY_STEP_S
        return not item.is_started, late, due

    return sorted(waiting, key=key)


class SlotReleaseRate:
    """The rate at which places become free.

    >>> rate = SlotReleaseRate()
    >>> for at in range(10):
    ...     rate.record_release(float(at))
    >>> 0.5 < rate.per_s(9.0) < 1.5
    True
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_at: float | None = None

    def record_release(self, now: float) -> None:
        """Count a place that became free."""
        self._per_s = self.per_s(now) + 1 / RATE_WINDOW_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the places that become free in a second."""
        if self._updated_at is None:
            return 0.0
        # The average of a Poisson process with an exponential window.
        return self._per_s * max(0.0, 1 - min(1.0, (now - self._updated_at) / RATE_WINDOW_S))


def retry_after_s(requests_ahead: int, per_s: float, rng: random.Random) -> float:
    """Return when a client should come back: when those ahead of it have got places, and a little.

    >>> 2.0 <= retry_after_s(4, 2.0, random.Random(1)) <= 3.8
    True
    """
    wait = (requests_ahead + 1) / per_s if per_s > 0 else MAX_RETRY_S / 4
    wait *= 1 + RETRY_SPREAD * rng.random()
    return max(MIN_RETRY_S, min(MAX_RETRY_S, wait))
