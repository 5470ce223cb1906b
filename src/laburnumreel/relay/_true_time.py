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
    >>> time.store_read(sent_at=100.0, answered_at=100.0, store_time_s=40.0)
    >>> time.proposal()
    1960.0
    >>> time.agree(1965.0)
    >>> time.now()
    2005.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # What to add to a steady clock to get the time of day, or the store's clock.
        self._to_wall = clock.wall() - clock.now()
        self._to_store: float | None = None
        self._round_trip_s = float("inf")

    def now(self) -> float:
        """Return the time of day in seconds of the Unix epoch."""
        return self._clock.now() + self._to_wall

    def store_read(self, sent_at: float, answered_at: float, store_time_s: float) -> None:
        """Take a reading of the store's clock; the one with the shortest round trip counts."""
        round_trip_s = answered_at - sent_at
        if round_trip_s <= self._round_trip_s:
            self._round_trip_s = round_trip_s
            self._to_store = store_time_s - (sent_at + answered_at) / 2

    def proposal(self) -> float | None:
        """Return the time of day of the store clock's zero by this process, or None if unknown."""
        return None if self._to_store is None else self._to_wall - self._to_store

    def agree(self, store_zero: float) -> None:
        """Take the time of day of the store clock's zero that all hosts use."""
        if self._to_store is not None:
            self._to_wall = store_zero + self._to_store
