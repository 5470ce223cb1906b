"""Clocks that are passed as arguments, so that tests can control time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time.

    `now` is monotonic, in seconds since an arbitrary start. `wall` is in seconds since the Unix
    epoch and is used only to label usage windows and log lines.
    """

    def now(self) -> float: ...

    def wall(self) -> float: ...


class SystemClock:
    """The clock of the machine.

    `now` reads CLOCK_BOOTTIME because it keeps running while the machine is suspended: a lease
    that expired during a suspension must count as expired afterwards.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that changes only by `advance`, for tests.

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
