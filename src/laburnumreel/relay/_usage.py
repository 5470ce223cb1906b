"""Usage: the requests of each customer that began to run, by window, over all hosts."""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

Counts = dict[str, int]

# The table of windows that were fixed.
SEAL_TABLE = "relay_windows"


def seal_key(window: int) -> str:
    """Return the key of a window's row; keys are in the order of the windows."""
    return f"{window:016d}"


class SenderCounts(NamedTuple):
    """The counts of one process of one host, which only grow."""

    sender: str
    boot: str


class UsageBook:
    """Counts of this process and of its peers by window.

    A peer repeats its counts, so that lost and repeated news do no harm: the larger of two counts
    of the same process is the later one. Request threads and tasks share one instance.

    >>> book = UsageBook(window_s=5.0)
    >>> book.began("hall-a", 12.0)
    >>> book.peer("host-2", "boot-1", 2, {"hall-a": 3})
    >>> book.peer("host-2", "boot-1", 2, {"hall-a": 2})
    >>> book.sums(2)
    {'hall-a': 4}
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._lock = threading.Lock()
        self._own: dict[int, Counts] = {}
        self._peers: dict[int, dict[SenderCounts, Counts]] = {}
        # The window at which each peer told its counts last; those of earlier windows are whole.
        self._told: dict[str, int] = {}

    def window(self, true_time: float) -> int:
        """Return the number of the window of a time in seconds of the Unix epoch."""
        return int(true_time // self._window_s)

    def ends_at(self, window: int) -> float:
        """Return the end of a window in seconds of the Unix epoch."""
        return (window + 1) * self._window_s

    def began(self, customer: str, true_time: float) -> None:
        """Count a request of a customer that began to run."""
        with self._lock:
            counts = self._own.setdefault(self.window(true_time), {})
            counts[customer] = counts.get(customer, 0) + 1

    def own_since(self, window: int) -> Mapping[int, Counts]:
        """Return this process' counts of a window and the later ones."""
        with self._lock:
            return {
                number: dict(counts) for number, counts in self._own.items() if number >= window
            }

    def peer(self, sender: str, boot: str, window: int, counts: Mapping[str, int]) -> None:
        """Take a peer's counts of a window."""
        with self._lock:
            known = self._peers.setdefault(window, {}).setdefault(SenderCounts(sender, boot), {})
            for customer, count in counts.items():
                known[customer] = max(known.get(customer, 0), count)

    def told(self, sender: str, window: int) -> None:
        """Take in that a peer told all its counts when it was this window."""
        with self._lock:
            self._told[sender] = window

    def missing(self, window: int, hosts: Iterable[str]) -> list[str]:
        """Return which of some hosts have not told their counts since a window ended."""
        with self._lock:
            return [host for host in hosts if self._told.get(host, 0) <= window]

    def sums(self, window: int) -> Counts:
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
            for book in (self._own, self._peers):
                for number in [number for number in book if number < window]:
                    del book[number]
            self._told = {host: told for host, told in self._told.items() if told >= window}
