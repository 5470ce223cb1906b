"""The true time of day on hosts whose own clocks jump."""

from laburnumreel.core import Clock


class TrueTime:
    """The time of day, counted on the process' steady clock from one agreed reading.

    The store keeps a steady clock and one row that says which time of day its clock's zero was.
    The first process that finds no such row proposes its own clock; all others take the row. Until
    the store was read, the machine's time of day at the start of the process serves.

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
        # What to add to a steady clock to get the time of day, or the store's clock.
        self._wall_offset_s = clock.wall() - clock.now()
        self._store_offset_s: float | None = None
        self._round_trip_s = float("inf")

    def now(self) -> float:
        """Return the time of day in seconds of the Unix epoch."""
        return self._clock.now() + self._wall_offset_s

    def record_store_time(self, sent_at: float, answered_at: float, store_time_s: float) -> None:
        """Take a reading of the store's clock; the one with the shortest round trip counts."""
        round_trip_s = answered_at - sent_at
        if round_trip_s <= self._round_trip_s:
            self._round_trip_s = round_trip_s
            self._store_offset_s = store_time_s - (sent_at + answered_at) / 2

    def proposed_store_zero(self) -> float | None:
        """Return the time of day of the store clock's zero by this process, or None if unknown."""
        return None if self._store_offset_s is None else self._wall_offset_s - self._store_offset_s

    def set_store_zero(self, store_zero: float) -> None:
        """Take the time of day of the store clock's zero that all hosts use."""
        if self._store_offset_s is not None:
            self._wall_offset_s = store_zero + self._store_offset_s
