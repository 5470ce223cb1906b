"""Counts the requests that reach a backend server with a limit, by the platform's rule."""

import threading
from bisect import bisect_right, insort

# The rule that the platform publishes: from `CONTACT_S` seconds after a server first reported its
# limit, it gets in any window of `WINDOW_S` seconds at most `FACTOR` times what the limit allows,
# plus `EXTRA` requests.
CONTACT_S, WINDOW_S, FACTOR, EXTRA = 3.0, 4.0, 1.5, 5.0


class LimitCount:
    """The requests that reached one server under a limit, compared with what the rule allows.

    Times are seconds of one clock. Thread-safe.
    """

    def __init__(self, per_s):
        self.per_s = per_s
        self.named_at = None
        self.arrivals = []
        self._lock = threading.Lock()

    @property
    def allowed(self):
        return FACTOR * self.per_s * WINDOW_S + EXTRA

    def record_arrival(self, at):
        with self._lock:
            insort(self.arrivals, at)

    def record_report(self, now):
        """Record that the server reports its limit."""
        self.named_at = now if self.named_at is None else self.named_at

    def worst(self):
        """Return the largest number of arrivals in any window."""
        begin = float("inf") if self.named_at is None else self.named_at + CONTACT_S
        in_force = [at for at in self.arrivals if at >= begin]
        return max(
            (bisect_right(in_force, at + WINDOW_S) - index for index, at in enumerate(in_force)),
            default=0,
        )

    def worst_excess(self):
        """Return by how many requests the worst window exceeds the rule; negative if below it."""
        return self.worst() - self.allowed

    def share_used(self, begin, end):
        """Return the arrivals from `begin` to `end` as a share of what the limit itself allows."""
        return sum(1 for at in self.arrivals if begin <= at < end) / (self.per_s * (end - begin))
