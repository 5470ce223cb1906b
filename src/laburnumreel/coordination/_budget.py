"""The retry budget of one service."""

from collections import deque


class RetryBudget:
    """Allows retries up to a share of recent successes plus a minimum, in a sliding window.

    >>> budget = RetryBudget(ratio=0.1, minimum=1)
    >>> budget.take(0.0), budget.take(0.0), budget.take(11.0)
    (True, False, True)
    """

    def __init__(self, ratio: float, minimum: int, window_s: float = 10) -> None:
        self._ratio = ratio
        # The share of this process changes with the number of those that share the budget.
        self.minimum = minimum
        self._window_s = window_s
        # Successes are counted in slices so that memory does not grow with the request rate.
        self._slice_s = window_s / 20
        self._successes: deque[list[float]] = deque()
        self._success_count = 0
        self._retries: deque[float] = deque()

    def succeeded(self, now: float) -> None:
        """Count a success that was not a retry."""
        self._forget(now)
        if not self._successes or now - self._successes[-1][0] >= self._slice_s:
            self._successes.append([now, 0])
        self._successes[-1][1] += 1
        self._success_count += 1

    @property
    def spent(self) -> int:
        """The retries of the window, as of the last call."""
        return len(self._retries)

    @property
    def successes(self) -> int:
        """The successes of the window, as of the last call."""
        return self._success_count

    @property
    def limit(self) -> float:
        """The retries that the window may have, as of the last call."""
        return self.minimum + self._ratio * self._success_count

    def take(self, now: float) -> bool:
        """Return whether one retry is allowed, and count it."""
        self._forget(now)
        if len(self._retries) + 1 > self.limit:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        while self._successes and self._successes[0][0] <= now - self._window_s:
            self._success_count -= int(self._successes.popleft()[1])
        while self._retries and self._retries[0] <= now - self._window_s:
            self._retries.popleft()
