"""Clocks that decisions take as an argument, so that tests can drive time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time.

    `now` is in seconds from an arbitrary start and never goes back. `wall` is in seconds since
    the Unix epoch and serves only to label usage windows and log lines.
    """

    def now(self) -> float: ...

    def wall(self) -> float: ...


class SystemClock:
    """The machine's clock.

    It reads CLOCK_BOOTTIME because that goes on while the machine is suspended: a lease that
    lapsed during a suspension must be seen as lapsed afterwards.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that moves only when told to.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, now: float = 0.0, wall: float = 1_800_000_000.0) -> None:
        self._now = now
        self._wall = wall

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._wall

    def advance(self, seconds: float) -> None:
        self._now += seconds
        self._wall += seconds
