"""Counts what reaches a backend server with a limit as the platform's rule does."""

import threading
from bisect import bisect_right, insort

# The rule that the platform publishes: from this long after a server first named its limit, it gets
# in this window at most this many times what the limit allows, and this many more.
CONTACT_S, WINDOW_S, FACTOR, EXTRA = 3.0, 4.0, 1.5, 5.0


class LimitCount:
    """The requests that reached one server under a limit, beside what the rule allows.

    Times are seconds of one clock. May be used by several threads.
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
        """Count that the server names its limit."""
        self.named_at = now if self.named_at is None else self.named_at

    def worst(self):
        """Return the most arrivals of a window, in order of time."""
        begin = float("inf") if self.named_at is None else self.named_at + CONTACT_S
        in_force = [at for at in self.arrivals if at >= begin]
        return max(
            (bisect_right(in_force, at + WINDOW_S) - index for index, at in enumerate(in_force)),
            default=0,
        )

    def worst_excess(self):
        """Return by how much the worst window is over what is allowed; negative if none is."""
        return self.worst() - self.allowed

    def share_used(self, begin, end):
        """Return what arrived in a time against what the limit itself allows."""
        return sum(1 for at in self.arrivals if begin <= at < end) / (self.per_s * (end - begin))
