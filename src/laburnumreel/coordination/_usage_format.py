"""Prevents processes with different usage settings from writing usage rows."""

from laburnumreel.coordination._events import USAGE_FORMAT_DIFFERS
from laburnumreel.coordination._metrics import USAGE_FORMAT_MISMATCH
from laburnumreel.core import Clock, Log
from laburnumreel.state import (
    USAGE_FORMAT_KEY,
    WINDOW_TABLE,
    Check,
    Platform,
    PlatformError,
    Row,
    UsageSettings,
    Write,
)

READ_RETRY_DELAY_S = 1.0

_log = Log("coordination.usage_format")


class UsageFormatGuard:
    """Compares `[usage] window_s` and `shards` with the row that the first process wrote.

    With different values, usage would be stored under keys that the sealer does not read. Every
    write of usage includes `check`, so none takes effect after the row has changed.
    """

    def __init__(self, platform: Platform, settings: UsageSettings, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock
        self._own_format = {"window_s": settings.window_s, "shards": settings.shards}
        self._version = 0
        self._is_mismatched = False
        self._wait_until = 0.0

    @property
    def is_mismatched(self) -> bool:
        """Whether the row was read and holds other values. False while that is unknown."""
        return self._is_mismatched

    @property
    def check(self) -> Check:
        """The check that the row is still the one that was compared."""
        return Check(WINDOW_TABLE, USAGE_FORMAT_KEY, self._version)

    def ensure_agreement(self) -> bool:
        """Read the row, or create it, if needed, and return whether usage may be written."""
        if self._version:
            return True
        if self._clock.now() < self._wait_until:
            return False
        row = self._platform.read(WINDOW_TABLE, USAGE_FORMAT_KEY)
        if row.is_ok() and row.ok is None:
            write = Write(WINDOW_TABLE, USAGE_FORMAT_KEY, self._own_format)
            self._platform.transact([Check(WINDOW_TABLE, USAGE_FORMAT_KEY, 0)], [write])
            # Another process may have created it first, or the response may be lost.
            row = self._platform.read(WINDOW_TABLE, USAGE_FORMAT_KEY)
        if row.is_ok() and row.ok is not None:
            self._compare(row.ok)
        if not self._version:
            self._wait_until = self._clock.now() + READ_RETRY_DELAY_S
        return self._version > 0

    def on_write_failure(self, error: PlatformError) -> None:
        """Read the row again at the next check if a write failed because it had changed."""
        if error.kind == "conflict" and (WINDOW_TABLE, USAGE_FORMAT_KEY) in error.rows:
            self._version = 0

    def _compare(self, row: Row) -> None:
        differs = row.value != self._own_format
        if differs and not self._is_mismatched:
            _log.error(USAGE_FORMAT_DIFFERS, settings=self._own_format, stored=row.value)
        self._is_mismatched = differs
        self._version = 0 if differs else row.version
        USAGE_FORMAT_MISMATCH.set(int(differs))
