"""The times of a planned stop."""

from typing import NamedTuple

# The load balancer checks readiness once a second and removes a host after two failed checks, so
# new connections still arrive for about this long after a stop has begun.
NOT_READY_NOTICE_S = 3.0
# Time that a busy process may take to notice the signal to stop.
SIGNAL_DELAY_S = 0.5
# Time before the end of the grace period at which the remaining requests are aborted.
FORCED_STOP_S = 0.8
# Time before the end of the grace period at which all connections of callers are closed.
EXIT_TIME_S = 0.2


class StopSchedule(NamedTuple):
    """A planned stop of a process that is killed `grace_s` seconds after it is told to stop.

    All times are in seconds of `SystemClock`; `signaled_at` is when the signal was noticed.

    >>> stop = StopSchedule(signaled_at=100.0, grace_s=8.0)
    >>> stop.admits(read_at=102.0, deadline=130.0), stop.admits(read_at=102.8, deadline=130.0)
    (True, False)
    >>> stop.admits(read_at=102.8, deadline=105.0), stop.admits(read_at=103.1, deadline=105.0)
    (True, False)
    """

    signaled_at: float
    grace_s: float

    @property
    def admits_until(self) -> float:
        """When the last requests are admitted."""
        return self.signaled_at + min(NOT_READY_NOTICE_S, self.grace_s / 2)

    @property
    def aborts_at(self) -> float:
        """When the requests that still run are aborted."""
        return self.signaled_at + self.grace_s - FORCED_STOP_S

    @property
    def closes_at(self) -> float:
        """When the connections of callers are closed, whether or not they have been answered."""
        return self.signaled_at + self.grace_s - EXIT_TIME_S

    def admits(self, read_at: float, deadline: float) -> bool:
        """Return whether a request is admitted that was read at one time and may last until another.

        One that may outlast the stop must also have been sent within the notice as others measure
        it, from when they sent the signal.
        """
        if deadline <= self.aborts_at:
            return read_at <= self.admits_until
        return read_at <= self.admits_until - SIGNAL_DELAY_S
