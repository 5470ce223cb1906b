"""Usage counts in the store: those of processes that stopped before their windows were fixed."""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping

from expression import Error, Ok, Result

from laburnumreel.core import Log
from laburnumreel.relay._events import USAGE_NOT_STORED, USAGE_STORED
from laburnumreel.relay._usage_counters import EndedCounts, Process, UsageCounters
from laburnumreel.state import (
    FieldError,
    Fields,
    Platform,
    PlatformError,
    Row,
    Write,
    own_row_log,
)

# Each row has the counts of one process in one window, or a part of them.
USAGE_TABLE = "relay_usage"
# The platform accepts rows of 64 KiB, and transactions of 100 rows and 1 MB.
MAX_ROW_BYTES = 32 * 1024
MAX_ROWS_PER_TRANSACTION = 20
MAX_ROWS_PER_READ = 500
# Upper bound on the customers' counts of ended processes that one process writes.
MAX_STORED_COUNTS = 50_000

_log = Log("relay.usage_store")


def window_prefix(window: int) -> str:
    """Return the prefix of the keys of a window's rows; keys sort in the order of the windows."""
    return f"{window:016d}/"


class UsageStore:
    """Writes the counts that this process knows to the store, and reads those of others.

    Hosts keep their counts in memory and send them to one another. If they stop together, the
    store is the only place that outlasts them. Each process writes rows of its own, so that
    processes that know different parts of the counts of a third one don't overwrite each other. The
    counts of a process that announced its stop are left to it: with the rows of each host for each
    other one, hosts that stop together would exceed the store's rate.

    `process` is this process, `era` returns the store's era. Rows of an earlier era are not read:
    the store may have lost the row with the fixed counts of their window, which were reported.
    """

    def __init__(
        self,
        platform: Platform,
        process: Process,
        usage_counters: UsageCounters,
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._platform = platform
        self._process = process
        self._usage_counters = usage_counters
        self._era = era
        self._written: dict[tuple[Process, int], Mapping[str, int]] = {}

    def write(self, oldest_window: int) -> bool:
        """Write the counts of windows that are not fixed yet; return whether all are stored.

        Counts that were written before and have not changed are not written again.
        """
        counters = self._usage_counters
        own = [
            EndedCounts(self._process, window, counts)
            for window, counts in counters.own_counts_since(oldest_window).items()
        ]
        changed = [
            each
            for each in [
                *own,
                *counters.ended_counts_since(oldest_window, MAX_STORED_COUNTS, True),
            ]
            if not counters.is_fixed(each.window)
            and self._written.get((each.process, each.window)) != each.counts
        ]
        writes = [write for each in changed for write in self._rows(each)]
        for start in range(0, len(writes), MAX_ROWS_PER_TRANSACTION):
            written = self._platform.transact([], writes[start : start + MAX_ROWS_PER_TRANSACTION])
            if written.is_error():
                _log.warning(
                    USAGE_NOT_STORED,
                    rows=len(writes) - start,
                    kind=written.error.kind,
                    detail=written.error.detail[:200],
                )
                return False
        self._written |= {(each.process, each.window): each.counts for each in changed}
        if writes:
            windows = sorted({each.window for each in changed})
            requests = sum(sum(each.counts.values()) for each in changed)
            _log.info(USAGE_STORED, rows=len(writes), windows=windows, requests=requests)
        return True

    def read(self, window: int) -> Result[int, PlatformError]:
        """Add the stored counts of a window to those that are known; return the number of rows."""
        rows, after = 0, ""
        while True:
            page = self._platform.scan(
                USAGE_TABLE, window_prefix(window), after, limit=MAX_ROWS_PER_READ
            )
            if page.is_error():
                return Error(page.error)
            for row in page.ok.rows:
                self._add(window, row)
            rows += len(page.ok.rows)
            # The scan does not end with the prefix: a page without its rows is the last one.
            if not page.ok.more or not page.ok.rows:
                return Ok(rows)
            after = page.ok.rows[-1].key

    def _add(self, window: int, row: Row) -> None:
        try:
            fields = Fields(row.value)
            process = Process(fields.text("host"), fields.text("boot"))
            counts = fields.fields("counts").all_integers()
            if fields.integer("era", default=0) != self._era():
                return
        except FieldError as error:
            own_row_log.log_once(USAGE_TABLE, row.key, row.version, str(error))
            return
        if process != self._process:
            self._usage_counters.record_peer_counts(*process, window, counts)

    def _rows(self, counts: EndedCounts) -> Iterator[Write]:
        process, window = counts.process, counts.window
        key = f"{window_prefix(window)}{process.boot}/{self._process.boot}"
        for part, each in enumerate(_split(counts.counts.items())):
            value = {
                "host": process.sender,
                "boot": process.boot,
                "era": self._era(),
                "counts": each,
            }
            yield Write(USAGE_TABLE, f"{key}/{part}", value)


def _split(counts: Iterable[tuple[str, int]]) -> Iterator[dict[str, int]]:
    """Yield the counts in parts that fit into a row."""
    part: dict[str, int] = {}
    size = 0
    for customer, count in counts:
        size += len(json.dumps({customer: count}))
        if size > MAX_ROW_BYTES and part:
            yield part
            part, size = {}, len(json.dumps({customer: count}))
        part[customer] = count
    if part:
        yield part
