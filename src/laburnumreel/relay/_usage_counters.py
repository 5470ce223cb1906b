"""Usage counters: the requests of each customer that began to run, by window, over all hosts."""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._events import USAGE_NOT_TOLD

Counts = dict[str, int]

# The table of windows whose counts are fixed.
SEAL_TABLE = "relay_windows"

_log = Log("relay.usage")


def seal_key(window: int) -> str:
    """Return the key of a window's row; keys sort in the order of the windows."""
    return f"{window:016d}"


# Upper bound on the customers' counts of ended processes in an update to a new reporter of usage,
# so that the datagram does not become too large.
MAX_ENDED_COUNTS = 1500


class Process(NamedTuple):
    """One process of one host."""

    sender: str
    boot: str


class EndedCounts(NamedTuple):
    """The counts of a window of a process that has ended."""

    process: Process
    window: int
    counts: Mapping[str, int]


class UsageUpdate(NamedTuple):
    """The part of an update about usage.

    `window` is the current window, `counts` are the sender's own counts by window and customer, and
    `ended` those of ended processes.
    """

    window: int
    counts: Mapping[int, Mapping[str, int]]
    ended: tuple[EndedCounts, ...] = ()


class UsageCounters:
    """Counts of requests by window, for this process and its peers. Thread-safe.

    Peers repeat their counts, so lost and repeated updates do no harm: the larger of two counts of
    the same process is the later one.

    >>> counters = UsageCounters(window_s=5.0)
    >>> counters.record_request("hall-a", 12.0)
    >>> counters.record_peer_counts("host-2", "boot-1", 2, {"hall-a": 3})
    >>> counters.record_peer_counts("host-2", "boot-1", 2, {"hall-a": 2})
    >>> counters.total_counts(2)
    {'hall-a': 4}
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._lock = threading.Lock()
        self._own: dict[int, Counts] = {}
        self._peers: dict[int, dict[Process, Counts]] = {}
        # The boot identifier of each peer's running process.
        self._running: dict[str, str] = {}
        # Processes that announced their stop. They write their counts to the store themselves.
        self._stopping: set[Process] = set()
        # The window in which each peer last sent its counts; those of earlier windows are complete.
        self._last_reported: dict[str, int] = {}
        # The first window since which each peer's counts have come without a gap.
        self._complete_since: dict[str, int] = {}
        # Windows whose counts were fixed by any holder of the duties.
        self._fixed: set[int] = set()

    def window(self, true_time: float) -> int:
        """Return the number of the window of a time in seconds of the Unix epoch."""
        return int(true_time // self._window_s)

    def ends_at(self, window: int) -> float:
        """Return the end of a window in seconds of the Unix epoch."""
        return (window + 1) * self._window_s

    def record_request(self, customer: str, true_time: float) -> None:
        """Count a request of a customer that began to run."""
        with self._lock:
            counts = self._own.setdefault(self.window(true_time), {})
            counts[customer] = counts.get(customer, 0) + 1

    def own_counts_since(self, window: int) -> Mapping[int, Counts]:
        """Return this process' counts of a window and of later ones."""
        with self._lock:
            return {
                number: dict(counts) for number, counts in self._own.items() if number >= window
            }

    def record_peer_counts(
        self, sender: str, boot: str, window: int, counts: Mapping[str, int]
    ) -> None:
        """Record a peer's counts of a window."""
        with self._lock:
            known = self._peers.setdefault(window, {}).setdefault(Process(sender, boot), {})
            for customer, count in counts.items():
                known[customer] = max(known.get(customer, 0), count)

    def mark_running(self, sender: str, boot: str) -> None:
        """Record the running process of a peer."""
        with self._lock:
            self._running[sender] = boot

    def mark_stopping(self, sender: str, boot: str) -> None:
        """Record that a peer's process has announced its stop."""
        with self._lock:
            self._running.pop(sender, None)
            self._stopping.add(Process(sender, boot))

    def mark_silent(self, sender: str) -> None:
        """Record that a peer's process has timed out."""
        with self._lock:
            self._running.pop(sender, None)

    def ended_counts_since(
        self, window: int, max_counts: int = MAX_ENDED_COUNTS, unannounced_only: bool = False
    ) -> tuple[EndedCounts, ...]:
        """Return the counts of ended processes in a window and later ones, the newest first.

        At most `max_counts` counts of customers are returned, with `unannounced_only` only those of
        processes that did not announce their stop.

        The process that reports usage may have started after they ended, and gets these counts only
        from peers.
        """
        with self._lock:
            ended = [
                EndedCounts(process, number, dict(counts))
                for number in sorted(self._peers, reverse=True)
                if number >= window
                for process, counts in self._peers[number].items()
                if self._running.get(process.sender) != process.boot
                and not (unannounced_only and process in self._stopping)
            ]
        room, included = max_counts, []
        for each in ended:
            room -= len(each.counts)
            if room < 0:
                _log.warning(
                    USAGE_NOT_TOLD, processes=len(ended) - len(included), window=each.window
                )
                break
            included.append(each)
        return tuple(included)

    def mark_reported(self, sender: str, since: int, window: int) -> None:
        """Record that a peer sent all its counts since the window `since`, during `window`."""
        with self._lock:
            if since > self._last_reported.get(sender, -1):
                # The first time, or after a gap.
                self._complete_since[sender] = since
            self._last_reported[sender] = window

    def complete_since(self) -> Mapping[str, int]:
        """Return the first window since which each peer's counts have come without a gap."""
        with self._lock:
            return dict(self._complete_since)

    def hosts_missing(self, window: int, hosts: Iterable[str]) -> list[str]:
        """Return those of `hosts` that have not sent their counts since a window ended."""
        with self._lock:
            return [host for host in hosts if self._last_reported.get(host, 0) <= window]

    def mark_fixed(self, *windows: int) -> None:
        """Record that the counts of windows are fixed, and may have been reported."""
        with self._lock:
            self._fixed.update(windows)

    def is_fixed(self, window: int) -> bool:
        """Return whether any holder of the duties is known to have fixed a window's counts."""
        return window in self._fixed

    def fixed(self) -> tuple[int, ...]:
        """Return the windows whose counts are fixed, in ascending order."""
        with self._lock:
            return tuple(sorted(self._fixed))

    def total_counts(self, window: int) -> Counts:
        """Return the counts of a window over all processes."""
        with self._lock:
            total = dict(self._own.get(window, {}))
            for counts in self._peers.get(window, {}).values():
                for customer, count in counts.items():
                    total[customer] = total.get(customer, 0) + count
        return total

    def process_count(self, window: int) -> int:
        """Return the number of processes whose counts of a window are known."""
        with self._lock:
            return len(self._peers.get(window, {})) + (window in self._own)

    def forget_before(self, window: int) -> None:
        """Drop all windows before `window`."""
        with self._lock:
            for by_window in (self._own, self._peers):
                for number in [number for number in by_window if number < window]:
                    del by_window[number]
            self._stopping &= {process for each in self._peers.values() for process in each}
            self._fixed = {number for number in self._fixed if number >= window}
            self._last_reported = {
                host: reported
                for host, reported in self._last_reported.items()
                if reported >= window
            }
            self._complete_since = {
                host: self._complete_since[host] for host in self._last_reported
            }
