"""Counter of repeated sends by the rule of a deployment."""

import threading
from bisect import bisect_right, insort
from collections import Counter


class RetryCounter:
    """Counts the requests for one service, and the sends that reached its backend servers.

    Times are in seconds of one clock. Thread-safe.
    """

    def __init__(self, retry):
        self._retry = retry
        self._lock = threading.Lock()
        self._requests, self.repeats = [], []
        self._arrivals = Counter()
        self._read = set()

    def requested(self, at):
        with self._lock:
            insort(self._requests, at)

    def arrived(self, request_id, at, reads=False):
        """Count a send; the first one that an engine accepts only to read the prompt is exempt."""
        with self._lock:
            if reads and request_id not in self._read:
                self._read.add(request_id)
                return
            self._arrivals[request_id] += 1
            if self._arrivals[request_id] > 1:
                insort(self.repeats, at)

    def worst_excess(self):
        """Return by how much the worst window exceeds the budget; negative if none does.

        The budget uses the maximum number of requests in the window, in the previous window, and in
        the window that ended half a window earlier.
        """
        window_s = self._retry.window_s

        def within(times, end):
            return bisect_right(times, end) - bisect_right(times, end - window_s)

        def limit(end):
            backs = (0.0, window_s, window_s / 2)
            most = max(within(self._requests, end - back) for back in backs)
            return self._retry.ratio * most + self._retry.slack

        with self._lock:
            excess = [within(self.repeats, at) - limit(at) for at in self.repeats]
            return max(excess, default=-self._retry.slack)
