"""The share of a published call rate that one host may use."""

import threading
import time
from collections.abc import Callable
from typing import Literal

from laburnumreel.transport._metrics import CALLS_HELD

CallKind = Literal["read", "write"]

# The part of a published rate that all hosts plan with. The rest is for others who use the store,
# and for hosts that do not know of each other yet.
PLANNED_SHARE = 0.8
# An unused share is kept for this long, so that the calls of a start go out together.
BURST_S = 1.0
# A call that would have to wait longer fails instead: its task tries again and has other work.
MAX_WAIT_S = 0.5


class CallPace:
    """Holds the calls of one host to its share of the rates that all hosts have together.

    `reads_per_s` and `writes_per_s` are those of all hosts. The shares follow `set_hosts`. May be
    used by several threads.

    >>> pace = CallPace(reads_per_s=10.0, writes_per_s=2.5, clock=lambda: 0.0, sleep=lambda s: None)
    >>> pace.set_hosts(2)
    >>> [pace.take("write") for _ in range(3)]
    [True, False, False]
    """

    def __init__(
        self,
        reads_per_s: float,
        writes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._rates: dict[CallKind, float] = {"read": reads_per_s, "write": writes_per_s}
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._hosts = 1
        # The next call of a kind is due when its own time has come; earlier by the burst.
        self._due: dict[CallKind, float] = {}

    def set_hosts(self, hosts: int) -> None:
        """Take how many hosts share the rates."""
        with self._lock:
            self._hosts = max(1, hosts)

    def take(self, kind: CallKind) -> bool:
        """Wait until a call may go out; False, at once, if that would take too long."""
        with self._lock:
            now = self._clock()
            gap_s = self._gap_s(kind)
            due = max(self._due.get(kind, now - BURST_S), now - max(0.0, BURST_S - gap_s))
            wait_s = due - now
            if wait_s > MAX_WAIT_S:
                CALLS_HELD.inc(kind=kind, outcome="failed")
                return False
            self._due[kind] = due + gap_s
        if wait_s > 0:
            CALLS_HELD.inc(kind=kind, outcome="waited")
            self._sleep(wait_s)
        return True

    def took(self, kind: CallKind) -> None:
        """Count a call that can't wait, such as the renewal of a lease; others wait for it."""
        with self._lock:
            now = self._clock()
            self._due[kind] = max(self._due.get(kind, now), now - BURST_S) + self._gap_s(kind)

    def _gap_s(self, kind: CallKind) -> float:
        return self._hosts / (PLANNED_SHARE * self._rates[kind])
