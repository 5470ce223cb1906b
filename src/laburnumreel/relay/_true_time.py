"""A time of day that all hosts agree on, although their own clocks may jump."""

from laburnumreel.core import Clock

# The most by which the clocks of this host and of the store drift apart while a process runs.
MAX_CLOCK_DRIFT_S = 0.5


class TrueTime:
    """The agreed time of day, derived from the process' monotonic clock.

    The store has a monotonic clock, and a row with the time of day at which that clock was zero.
    The first process that finds no such row proposes a value from its own clock; all others use the
    row. Before the store was read, the machine's time of day at the start of the process is used.

    >>> from laburnumreel.core import ManualClock
    >>> clock = ManualClock(now=100.0, wall=2000.0)
    >>> time = TrueTime(clock)
    >>> time.record_store_time(sent_at=100.0, answered_at=100.0, store_time_s=40.0)
    >>> time.proposed_store_zero()
    1960.0
    >>> time.set_store_zero(1965.0)
    >>> time.now()
    2005.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # What to add to the monotonic clock to get the time of day, or the store's clock.
        self._wall_offset_s = clock.wall() - clock.now()
        self._store_offset_s: float | None = None
        self._round_trip_s = float("inf")
        self._is_agreed = False

    @property
    def is_agreed(self) -> bool:
        """Whether the time of day is that of the row, which all hosts use."""
        return self._is_agreed

    def now(self) -> float:
        """Return the time of day in seconds of the Unix epoch."""
        return self._clock.now() + self._wall_offset_s

    def record_store_time(self, sent_at: float, answered_at: float, store_time_s: float) -> None:
        """Record a reading of the store's clock; the one with the shortest round trip is used.

        A reading that cannot be of the same clock replaces it: the store was restarted.
        """
        round_trip_s = answered_at - sent_at
        offset_s = store_time_s - (sent_at + answered_at) / 2
        is_other_clock = self._store_offset_s is not None and (
            abs(offset_s - self._store_offset_s)
            > (round_trip_s + self._round_trip_s) / 2 + MAX_CLOCK_DRIFT_S
        )
        if round_trip_s <= self._round_trip_s or is_other_clock:
            self._round_trip_s = round_trip_s
            self._store_offset_s = offset_s

    def at_store_time(self, store_time_s: float) -> float | None:
        """Return the monotonic time at a reading of the store's clock, or None if it is unknown."""
        return None if self._store_offset_s is None else store_time_s - self._store_offset_s

    def proposed_store_zero(self) -> float | None:
        """Return the time of day of the store clock's zero by this host, or None if unknown."""
        return None if self._store_offset_s is None else self._wall_offset_s - self._store_offset_s

    def set_store_zero(self, store_zero: float) -> None:
        """Set the agreed time of day of the store clock's zero."""
        if self._store_offset_s is not None:
            self._wall_offset_s = store_zero + self._store_offset_s
            self._is_agreed = True
