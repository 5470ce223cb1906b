"""Decides which usage windows may have been fixed in an earlier era of the store.

The row with a window's counts may be lost when the store is restored from an older copy, so without
one such a window may have been reported by a process that is gone, with counts that no other process
knows.
"""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from laburnumreel.core import Clock, Log
from laburnumreel.relay._events import ERA_START_STORED, ERA_START_UNKNOWN
from laburnumreel.relay._true_time import TrueTime
from laburnumreel.state import (
    MAX_UNIX_S,
    Authority,
    Check,
    EraSighting,
    FieldError,
    Fields,
    Platform,
    PlatformError,
    Row,
    Write,
    era_of_fence,
    first_fence,
    own_row_log,
)

ERA_TABLE = "relay_era"
START_KEY = "start"
# Upper bound on the difference between the times of day of two hosts that have agreed on it.
MAX_TIME_DIFFERENCE_S = 0.5

_log = Log("relay.eras")


class _Tenure(NamedTuple):
    """The time without a gap in which this host alone could fix windows.

    `since` is its start on this process' clock, `authority` the last authority seen in it.
    """

    since: float
    authority: Authority


class _EraTime(NamedTuple):
    """A time in seconds that holds for one era of the store."""

    era: int
    at: float


class EarlierEras:
    """What the holder of the duties knows of the eras before the store's current one.

    The first holder in an era stores a time by which all earlier eras were over. A window that
    could be fixed before this time may have been. Only a host that was the holder from then on until
    it saw the current era knows that no other host fixed it.

    `sighting` returns the store's era and when this process first saw it.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        true_time: TrueTime,
        sighting: Callable[[], EraSighting],
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._true_time = true_time
        self._sighting = sighting
        self._tenure: _Tenure | None = None
        # From when on this host alone could fix windows before the given era, on its own clock.
        self._alone_since = _EraTime(0, float("inf"))
        # By when all eras before the given one were over, as a time of day. None is before the
        # first one.
        self._start = _EraTime(0, float("-inf"))

    def record_authority(self, authority: Authority) -> None:
        """Record an authority of the store's current era, while it is in force."""
        tenure = self._tenure
        if tenure is None or tenure.authority.fence != authority.fence:
            tenure = self._begin_tenure(tenure, authority)
        self._tenure = tenure._replace(authority=authority)

    def learn_start(self, authority: Authority) -> bool:
        """Read the start of the era of `authority`, or store it; return whether it is known."""
        era = era_of_fence(authority.fence)
        if self._start.era == era:
            return True
        start = self._stored_start(era)
        if start.is_error():
            error = start.error
            _log.warning(ERA_START_UNKNOWN, era=era, kind=error.kind, detail=error.detail[:200])
            return False
        self._start = _EraTime(era, start.ok)
        return True

    def may_have_fixed(self, fixable_at: float) -> bool:
        """Return whether another process may have fixed a window in an earlier era.

        `fixable_at` is the time of day from which the window's counts could be fixed.
        """
        if fixable_at > self._start.at + MAX_TIME_DIFFERENCE_S:
            return False
        if self._alone_since.era != self._start.era:
            return True
        return fixable_at < self._time_of_day(self._alone_since.at) + MAX_TIME_DIFFERENCE_S

    def _time_of_day(self, at: float) -> float:
        """Return the time of day of a time on this process' clock."""
        return self._true_time.now() - (self._clock.now() - at)

    def _begin_tenure(self, previous: _Tenure | None, authority: Authority) -> _Tenure:
        """Return the tenure with a new fencing number, which may continue that of an earlier era."""
        era = era_of_fence(authority.fence)
        if previous is not None and self._held_until(era, previous.authority):
            self._alone_since = _EraTime(era, previous.since)
            # With a higher number, another host was the holder in this era first.
            if authority.fence == first_fence(era):
                return previous
        return _Tenure(self._clock.now(), authority)

    def _held_until(self, era: int, authority: Authority) -> bool:
        """Return whether an authority of an earlier era was in force until `era` was first seen."""
        sighting = self._sighting()
        return era_of_fence(authority.fence) < era == sighting.era and (
            authority.end > sighting.seen_at
        )

    def _stored_start(self, era: int) -> Result[float, PlatformError]:
        """Return the time of day of the start of an era, stored unless it already is."""
        sighting = self._sighting()
        if sighting.era != era:
            return Error(PlatformError("lost", "the store was restored from an older copy"))
        if not self._true_time.is_agreed:
            return Error(PlatformError("unreachable", "the time of day is not agreed on yet"))
        seen_at = self._time_of_day(sighting.seen_at)
        read = self._platform.read(ERA_TABLE, START_KEY)
        if read.is_error():
            return Error(read.error)
        stored = _parse_start(read.ok, era)
        if stored is not None:
            return Ok(min(stored, seen_at))
        version = read.ok.version if read.ok is not None else 0
        value = {"era": era, "start_s": round(seen_at, 3)}
        written = self._platform.transact(
            [Check(ERA_TABLE, START_KEY, version)], [Write(ERA_TABLE, START_KEY, value)]
        )
        if written.is_error():
            return Error(written.error)
        _log.info(ERA_START_STORED, **value)
        return Ok(seen_at)


def _parse_start(row: Row | None, era: int) -> float | None:
    """Return the start of an era, or None if the row is absent, invalid or of another era."""
    if row is None:
        return None
    try:
        fields = Fields(row.value)
        start = fields.number("start_s", 0, MAX_UNIX_S)
        return start if fields.integer("era") == era else None
    except FieldError as error:
        own_row_log.log_once(ERA_TABLE, row.key, row.version, str(error))
        return None
