"""Removes obsolete rows from the store: old usage windows and counts, and hosts that are gone."""

from collections.abc import Callable, Collection

from laburnumreel.core import Log
from laburnumreel.relay._events import ROWS_REMOVED, ROWS_UNREADABLE
from laburnumreel.relay._members import MEMBER_TABLE, Member, Members
from laburnumreel.relay._usage_counters import SEAL_TABLE, UsageCounters, seal_key
from laburnumreel.relay._usage_store import USAGE_TABLE, window_prefix
from laburnumreel.state import Authority, Check, Platform, PlatformError, Write

# How often the tables are scanned. Rows accumulate slowly, and each scan is a call that costs
# money.
CLEAN_INTERVAL_S = 60.0
# Fixed windows are kept this long, for later investigation of a report.
WINDOW_RETENTION_S = 600.0
# A host that sent no update for this long counts as gone. One that was only partitioned writes its
# row again.
HOST_GONE_S = 120.0
# Maximum number of rows that one scan removes; the rest is left for the next one.
MAX_REMOVED = 50

_log = Log("relay.cleaning")


class RowCleaner:
    """Removes obsolete rows while this host holds the lease.

    `live_hosts` returns the names of the live hosts, this one included, and `true_time` the time
    of day that all hosts agree on, in seconds of the Unix epoch.
    """

    def __init__(
        self,
        platform: Platform,
        members: Members,
        usage_counters: UsageCounters,
        true_time: Callable[[], float],
        live_hosts: Callable[[], Collection[str]],
    ) -> None:
        self._platform = platform
        self._members = members
        self._usage_counters = usage_counters
        self._true_time = true_time
        self._live_hosts = live_hosts
        self._next_at: float | None = None
        # Rows of hosts that send no updates, and since when.
        self._missing_since: dict[Member, float] = {}

    def step(self, authority: Authority, now: float) -> None:
        """Scan the tables if it is time."""
        if self._next_at is None:
            self._next_at = now + CLEAN_INTERVAL_S
        if now < self._next_at:
            return
        self._next_at = now + CLEAN_INTERVAL_S
        oldest = self._usage_counters.window(self._true_time() - WINDOW_RETENTION_S)
        if self._clean_windows(SEAL_TABLE, seal_key(oldest), authority):
            self._clean_windows(USAGE_TABLE, window_prefix(oldest), authority)
        self._clean_members(now)

    def _clean_windows(self, table: str, oldest_key: str, authority: Authority) -> bool:
        """Remove the first rows of a table whose keys sort before `oldest_key`.

        Return whether the table could be scanned and changed.
        """
        page = self._platform.scan(table, limit=MAX_REMOVED)
        if page.is_error():
            _log_unreadable(table, page.error)
            return False
        old = [row for row in page.ok.rows if row.key < oldest_key]
        if not old:
            return True
        removed = self._platform.transact(
            [Check(table, row.key, row.version) for row in old],
            [Write(table, row.key, None) for row in old],
        )
        if removed.is_error():
            _log_unreadable(table, removed.error)
            return False
        _log.info(ROWS_REMOVED, table=table, rows=len(old), fence=authority.fence)
        return True

    def _clean_members(self, now: float) -> None:
        listed = self._members.list()
        if listed.is_error():
            _log_unreadable(MEMBER_TABLE, listed.error)
            return
        live_hosts = self._live_hosts()
        missing = [member for member in listed.ok if member.name not in live_hosts]
        self._missing_since = {member: self._missing_since.get(member, now) for member in missing}
        gone = [
            member for member, since in self._missing_since.items() if now - since >= HOST_GONE_S
        ]
        for member in gone[:MAX_REMOVED]:
            removed = self._members.remove(member)
            if removed.is_error():
                _log_unreadable(MEMBER_TABLE, removed.error)
                return
            del self._missing_since[member]
            _log.info(ROWS_REMOVED, table=MEMBER_TABLE, rows=1, host=member.name)


def _log_unreadable(table: str, error: PlatformError) -> None:
    """Log that a table could not be cleaned; the next scan tries again."""
    _log.warning(ROWS_UNREADABLE, table=table, kind=error.kind, detail=error.detail[:200])
