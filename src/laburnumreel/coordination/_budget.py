"""The retry budget of one service."""

from collections import deque

# What earns is counted in slices of a window, so that memory does not grow with the request rate.
SLICES_PER_WINDOW = 20


class RetryBudget:
    """Allows retries up to a share of what earns them, plus a minimum, in a sliding window.

    What earns them is up to the user: requests, or successes only. A retry that is not made at
    once is reserved first; it counts from then on, and for a whole window from when it is used.

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
        # The limits of a service may change, and with them those of a window that has begun.
        self.ratio = ratio
        self.minimum = minimum
        self.set_window(window_s)
        self._slices: deque[list[float]] = deque()
        self._deposits = 0
        self._reserved = 0
        self._used_at: deque[float] = deque()

    @property
    def permits_taken(self) -> int:
        """The retries of the window and those reserved, as of the last call."""
        return len(self._used_at) + self._reserved

    @property
    def deposits(self) -> int:
        """What has earned retries in the window, as of the last call."""
        return self._deposits

    @property
    def limit(self) -> float:
        """The retries that the window may have, as of the last call."""
        return self.minimum + self.ratio * self._deposits

    def set_window(self, window_s: float) -> None:
        """Count in windows of another length from now on; what was forgotten stays so."""
        self._window_s = window_s
        self._slice_s = window_s / SLICES_PER_WINDOW

    def count_deposits(self, now: float) -> int:
        """Return what has earned retries in the window that ends now."""
        self._forget_old(now)
        return self._deposits

    def deposit(self, now: float) -> None:
        """Count something that earns a share of a retry."""
        self._forget_old(now)
        if not self._slices or now - self._slices[-1][0] >= self._slice_s:
            self._slices.append([now, 0])
        self._slices[-1][1] += 1
        self._deposits += 1

    def acquire(self, now: float) -> bool:
        """Return whether one retry is allowed at once, and count it."""
        if not self.reserve(now):
            return False
        self.commit(now)
        return True

    def reserve(self, now: float) -> bool:
        """Return whether one retry is allowed, and keep room for it until it is used or released."""
        self._forget_old(now)
        if self.permits_taken + 1 > self.limit:
            return False
        self._reserved += 1
        return True

    def commit(self, now: float) -> None:
        """Count a reserved retry that is made now."""
        self._reserved -= 1
        self._used_at.append(now)

    def release(self) -> None:
        """Give back the room of a reserved retry that will not be made."""
        self._reserved -= 1

    def _forget_old(self, now: float) -> None:
        while self._slices and self._slices[0][0] <= now - self._window_s:
            self._deposits -= int(self._slices.popleft()[1])
        while self._used_at and self._used_at[0] <= now - self._window_s:
            self._used_at.popleft()
