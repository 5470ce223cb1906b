"""Retry budget of one service."""

from collections import deque

# Deposits are counted per slice of a window, so that memory does not grow with the request rate.
SLICES_PER_WINDOW = 20


class RetryBudget:
    """Limits retries in a sliding window to a minimum plus a share of the deposits.

    The user decides what is a deposit: each request, or successes only. A retry that is not sent
    at once is reserved first. It counts from its reservation, and for a whole window after its use.

    >>> budget = RetryBudget(ratio=0.1, minimum=1)
    >>> budget.acquire(0.0), budget.acquire(0.0), budget.acquire(11.0)
    (True, False, True)
    >>> budget.reserve(30.0), budget.reserve(45.0)
    (True, False)
    >>> budget.commit(50.0)
    >>> budget.acquire(59.0), budget.acquire(61.0)
    (False, True)
    """

    def __init__(self, ratio: float, minimum: float, window_s: float = 10) -> None:
        # Both may be changed at any time; the change applies to the current window, too.
        self.ratio = ratio
        self.minimum = minimum
        self.set_window(window_s)
        self._slices: deque[list[float]] = deque()
        self._deposits = 0
        self._reserved = 0
        self._used_at: deque[float] = deque()

    @property
    def permits_taken(self) -> int:
        """Number of retries used in the window or reserved, as of the last call."""
        return len(self._used_at) + self._reserved

    @property
    def deposits(self) -> int:
        """Number of deposits in the window, as of the last call."""
        return self._deposits

    @property
    def limit(self) -> float:
        """Number of retries allowed in the window, as of the last call."""
        return self.minimum + self.ratio * self._deposits

    def set_window(self, window_s: float) -> None:
        """Set the length of the window. Entries that have already expired are not restored."""
        self._window_s = window_s
        self._slice_s = window_s / SLICES_PER_WINDOW

    def count_deposits(self, now: float) -> int:
        """Return the number of deposits in the window that ends now."""
        self._forget_old(now)
        return self._deposits

    def deposit(self, now: float) -> None:
        """Record one deposit, which allows a share of a retry."""
        self._forget_old(now)
        if not self._slices or now - self._slices[-1][0] >= self._slice_s:
            self._slices.append([now, 0])
        self._slices[-1][1] += 1
        self._deposits += 1

    def acquire(self, now: float) -> bool:
        """Take a permit for a retry that is sent now; return whether there was one."""
        if not self.reserve(now):
            return False
        self.commit(now)
        return True

    def reserve(self, now: float) -> bool:
        """Reserve a permit until `commit` or `release`; return whether there was one."""
        self._forget_old(now)
        if self.permits_taken + 1 > self.limit:
            return False
        self._reserved += 1
        return True

    def commit(self, now: float) -> None:
        """Record that a reserved retry is sent now."""
        self._reserved -= 1
        self._used_at.append(now)

    def release(self) -> None:
        """Return the permit of a reserved retry that will not be sent."""
        self._reserved -= 1

    def _forget_old(self, now: float) -> None:
        while self._slices and self._slices[0][0] <= now - self._window_s:
            self._deposits -= int(self._slices.popleft()[1])
        while self._used_at and self._used_at[0] <= now - self._window_s:
            self._used_at.popleft()
