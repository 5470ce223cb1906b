"""Deletes usage deltas after their retention time."""

from collections.abc import Callable, Sequence

from expression import Result

from laburnumreel.coordination._metrics import USAGE_DELTAS_DELETED
from laburnumreel.core import Clock
from laburnumreel.state import (
    DELTA_TABLE,
    WINDOW_TABLE,
    Authority,
    Check,
    Platform,
    PlatformError,
    WindowShard,
    WindowState,
    Write,
)

MAX_ROWS_PER_STEP = 200
CLEAN_INTERVAL_S = 30.0

Transact = Callable[[Authority, Sequence[Check], Sequence[Write]], Result[int, PlatformError]]


class DeltaCleaner:
    """Deletes a limited number of deltas in each step. Rows of windows are kept as a record.

    `transact` must check the lease. A delta is kept for `retention_s` after the end of its window,
    because a gateway that lost the response to a flush finds from the row that it took effect.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        transact: Transact,
        window_s: int,
        retention_s: float,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._transact = transact
        self._min_age_s = window_s + retention_s
        self._scan_after = ""
        self._wait_until = 0.0

    def step(self, authority: Authority) -> None:
        """Delete deltas of one window and shard, starting with the oldest window."""
        if self._clock.now() < self._wait_until:
            return
        oldest = self._platform.scan(DELTA_TABLE, after=self._scan_after, limit=1)
        if oldest.is_error():
            return
        window_shards = [WindowShard.from_key(row.key) for row in oldest.ok.rows]
        if not window_shards or self._clock.wall() < window_shards[0].window + self._min_age_s:
            self._scan_after = ""
            self._wait_until = self._clock.now() + CLEAN_INTERVAL_S
            return
        window = self._platform.read(WINDOW_TABLE, window_shards[0].key)
        if window.is_error():
            return
        if window.ok is None or window.ok.value["state"] != WindowState.REPORTED:
            # ";" sorts after ":", so this key follows those of all deltas of the window and shard.
            self._scan_after = f"{window_shards[0].key};"
            return
        page = self._platform.scan(DELTA_TABLE, f"{window_shards[0].key}:", limit=MAX_ROWS_PER_STEP)
        if page.is_error() or not page.ok.rows:
            return
        checks = [Check(WINDOW_TABLE, window_shards[0].key, window.ok.version)]
        writes = [Write(DELTA_TABLE, row.key, None) for row in page.ok.rows]
        if self._transact(authority, checks, writes).is_ok():
            USAGE_DELTAS_DELETED.inc(len(writes))
