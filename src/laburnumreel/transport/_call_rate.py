"""Rate limiting of one host's calls to its share of a published rate."""

import threading
import time
from collections.abc import Callable
from typing import Literal

from laburnumreel.transport._metrics import RATE_LIMITED_CALLS

CallKind = Literal["read", "write"]

# The share of a published rate that all hosts together may use. The rest is left to other users of
# the store, and to hosts that do not know of each other yet.
PLANNED_SHARE = 0.8
# Unused permits accumulate for this long, so that the calls of a start can be sent together.
BURST_S = 1.0
# A call that would wait longer fails instead, because its task has other work and retries later.
MAX_WAIT_S = 0.5


class CallRateLimiter:
    """Limits the calls of one host to its share of the rates that all hosts have together.

    `reads_per_s` and `writes_per_s` are the rates of all hosts. Each host has an equal share; the
    number of hosts is set with `set_hosts`. Methods may be called from any thread.

    >>> limiter = CallRateLimiter(reads_per_s=10.0, writes_per_s=2.5, clock=lambda: 0.0, sleep=lambda s: None)
    >>> limiter.set_hosts(2)
    >>> [limiter.acquire("write") for _ in range(3)]
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
        self._host_count = 1
        # When the next call of a kind may be sent; a burst may be sent up to `BURST_S` earlier.
        self._next_call_at: dict[CallKind, float] = {}

    def set_hosts(self, host_count: int) -> None:
        """Set the number of hosts that share the rates, at least 1."""
        with self._lock:
            self._host_count = max(1, host_count)

    def acquire(self, kind: CallKind) -> bool:
        """Wait until a call may be sent. Return False at once if the wait would be too long."""
        with self._lock:
            now = self._clock()
            interval_s = self._interval_s(kind)
            call_at = max(
                self._next_call_at.get(kind, now - BURST_S), now - max(0.0, BURST_S - interval_s)
            )
            wait_s = call_at - now
            if wait_s > MAX_WAIT_S:
                RATE_LIMITED_CALLS.inc(kind=kind, outcome="failed")
                return False
            self._next_call_at[kind] = call_at + interval_s
        if wait_s > 0:
            RATE_LIMITED_CALLS.inc(kind=kind, outcome="waited")
            self._sleep(wait_s)
        return True

    def record_unlimited(self, kind: CallKind) -> None:
        """Count a call that is sent without a wait, such as a lease renewal. Others wait longer."""
        with self._lock:
            now = self._clock()
            self._next_call_at[kind] = max(
                self._next_call_at.get(kind, now), now - BURST_S
            ) + self._interval_s(kind)

    def _interval_s(self, kind: CallKind) -> float:
        return self._host_count / (PLANNED_SHARE * self._rates[kind])
