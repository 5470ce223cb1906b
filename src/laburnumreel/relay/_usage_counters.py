"""Usage: the requests of each customer that began to run, by window, over all hosts."""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from laburnumreel.core import Log
from laburnumreel.relay._events import USAGE_NOT_TOLD

Counts = dict[str, int]

# The table of windows that were fixed.
SEAL_TABLE = "relay_windows"

_log = Log("relay.usage")


def seal_key(window: int) -> str:
    """Return the key of a window's row; keys are in the order of the windows."""
    return f"{window:016d}"


# Customers' counts of ended processes that are told to one that begins to report, so that they fit
# in its datagram beside all else.
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
    """What a host tells of usage: the window that it is now, its own counts by window, and those of
    ended processes."""

    window: int
    counts: Mapping[int, Mapping[str, int]]
    ended: tuple[EndedCounts, ...] = ()


class UsageCounters:
    """Counts of this process and of its peers by window.

    A peer repeats its counts, so that lost and repeated news do no harm: the larger of two counts
    of the same process is the later one. Request threads and tasks share one instance.

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
        # The process of each peer that runs.
        self._running: dict[str, str] = {}
        # The window at which each peer told its counts last; those of earlier windows are whole.
        self._last_reported: dict[str, int] = {}
        # The first window of what each peer has told without a gap.
        self._complete_since: dict[str, int] = {}
        # Windows whose counts some holder of the duties has fixed.
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
        """Return this process' counts of a window and the later ones."""
        with self._lock:
            return {
                number: dict(counts) for number, counts in self._own.items() if number >= window
            }

    def record_peer_counts(
        self, sender: str, boot: str, window: int, counts: Mapping[str, int]
    ) -> None:
        """Take a peer's counts of a window."""
        with self._lock:
            known = self._peers.setdefault(window, {}).setdefault(Process(sender, boot), {})
            for customer, count in counts.items():
                known[customer] = max(known.get(customer, 0), count)

    def mark_running(self, sender: str, boot: str) -> None:
        """Take in which process of a peer runs."""
        with self._lock:
            self._running[sender] = boot

    def mark_stopped(self, sender: str) -> None:
        """Take in that a peer's process ends or is not heard."""
        with self._lock:
            self._running.pop(sender, None)

    def ended_counts_since(self, window: int) -> tuple[EndedCounts, ...]:
        """Return what ended processes counted in a window and later ones, the newest first.

        A process that reports usage may have begun after they ended, and nobody else tells it.
        """
        with self._lock:
            ended = [
                EndedCounts(process, number, dict(counts))
                for number in sorted(self._peers, reverse=True)
                if number >= window
                for process, counts in self._peers[number].items()
                if self._running.get(process.sender) != process.boot
            ]
        room, included = MAX_ENDED_COUNTS, []
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
        """Take in that a peer told all its counts since a window, when it was another one."""
        with self._lock:
            if since > self._last_reported.get(sender, -1):
                # The first time, or after a gap.
                self._complete_since[sender] = since
            self._last_reported[sender] = window

    def complete_since(self) -> Mapping[str, int]:
        """Return the first window of what each peer has told without a gap."""
        with self._lock:
            return dict(self._complete_since)

    def hosts_missing(self, window: int, hosts: Iterable[str]) -> list[str]:
        """Return which of some hosts have not told their counts since a window ended."""
        with self._lock:
            return [host for host in hosts if self._last_reported.get(host, 0) <= window]

    def mark_fixed(self, *windows: int) -> None:
        """Take in that the counts of some windows are fixed, and may have been reported."""
        with self._lock:
            self._fixed.update(windows)

    def is_fixed(self, window: int) -> bool:
        """Return whether any holder of the duties is known to have fixed a window's counts."""
        return window in self._fixed

    def fixed(self) -> tuple[int, ...]:
        """Return the windows whose counts are fixed, for the peers."""
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

    def forget_before(self, window: int) -> None:
        """Drop the windows before a window."""
        with self._lock:
            for by_window in (self._own, self._peers):
                for number in [number for number in by_window if number < window]:
                    del by_window[number]
            self._fixed = {number for number in self._fixed if number >= window}
            self._last_reported = {
                host: reported
                for host, reported in self._last_reported.items()
                if reported >= window
            }
            self._complete_since = {
                host: self._complete_since[host] for host in self._last_reported
            }
