"""Counts sends beyond the first of each request as a deployment's rule does."""

import threading
from bisect import bisect_right, insort
from collections import Counter


class RetryCounter:
    """What reached the backend servers of one service, beside the requests for it.

    Times are seconds of one clock. May be used by several threads.
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
        """Count an arrival; the first one that an engine takes to read the prompt only is none."""
        with self._lock:
            if reads and request_id not in self._read:
                self._read.add(request_id)
                return
            self._arrivals[request_id] += 1
            if self._arrivals[request_id] > 1:
                insort(self.repeats, at)

    def worst_excess(self):
        """Return by how much the worst window is over what is allowed; negative if none is.

        The requests are those of the window, of the one before, or of the one half a window before.
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
