"""The queue of requests that wait for a slot at a backend server: their order and their expiry.

The rules handle these loads:

- In a burst above the capacity of the backend servers, requests that can still be on time go before
  those that can't. The latter are refused while their callers have time to retry.
- Urgent requests overtake others by a bounded time only, so that a flood of them starves nobody.
- In a retry storm, clients get a retry time that follows the rate at which slots become free.
"""

import random
from typing import NamedTuple

# How much earlier a request counts as due for each priority level. Waiting makes up for this
# advantage, so that less urgent requests are not starved.
PRIORITY_STEP_S = 0.15
# The rate at which slots become free is averaged over about this time.
RATE_WINDOW_S = 3.0
# A request can still be on time while this share of its objective is left. In this time, an engine
# must read the prompt and generate the first token.
ON_TIME_SHARE = 0.5
# A late request waits for this share of its caller's timeout, or for its objective if that is
# longer. After that, a refusal with a retry time serves the caller better.
LATE_PATIENCE_SHARE = 0.25
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
# Retries of clients that are refused together are spread over this share of the retry time.
RETRY_SPREAD = 0.5


class WaitingRequest(NamedTuple):
    """A request that waits for a slot.

    `due` is the time by which its answer must begin to be on time, `deadline` the time at
    which its caller gives up, both in seconds of the process clock. `is_started` tells whether
    backend servers have already done work for it that would be lost.
    """

    request_id: str
    priority: int
    arrived_at: float
    due: float
    deadline: float
    is_started: bool = False

    @property
    def objective_s(self) -> float:
        """The time in seconds from the arrival to an answer that is on time."""
        return self.due - self.arrived_at

    @property
    def expires_at(self) -> float:
        """The time at which the request is refused if it still waits."""
        if self.is_started:
            return self.deadline
        patience_s = LATE_PATIENCE_SHARE * (self.deadline - self.arrived_at)
        return min(self.deadline, self.arrived_at + max(self.objective_s, patience_s))


def order_waiting(waiting: list[WaitingRequest], now: float) -> list[WaitingRequest]:
    """Return waiting requests in the order in which they get slots.

    Requests that have already started come first. Those that can still be on time follow, the
    earliest due first. Late requests come last, ordered by their deadline.

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
    """The rate at which slots become free.

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
        """Record a slot that became free."""
        self._per_s = self.per_s(now) + 1 / RATE_WINDOW_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the number of slots that become free per second."""
        if self._updated_at is None:
            return 0.0
        # The average of a Poisson process over an exponential window.
        return self._per_s * max(0.0, 1 - min(1.0, (now - self._updated_at) / RATE_WINDOW_S))


def retry_after_s(requests_ahead: int, per_s: float, rng: random.Random) -> float:
    """Return in how many seconds a client should retry.

    This is the expected time until those ahead of it have slots, plus a random spread.

    >>> 2.0 <= retry_after_s(4, 2.0, random.Random(1)) <= 3.8
    True
    """
    wait = (requests_ahead + 1) / per_s if per_s > 0 else MAX_RETRY_S / 4
    wait *= 1 + RETRY_SPREAD * rng.random()
    return max(MIN_RETRY_S, min(MAX_RETRY_S, wait))
