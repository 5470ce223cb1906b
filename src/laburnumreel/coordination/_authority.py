"""The authorities in force, and the timer that ends the process when they end."""

import itertools
import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from laburnumreel.core import Clock
from laburnumreel.state import Authority

# Tolerance for `setitimer`, which rounds up to the resolution of the kernel.
TIMER_SLACK_S = 0.002
# An attempt to arm fails only if the process was paused during it for longer than the slack.
MAX_ARM_ATTEMPTS = 100
# An aborted connection is closed by the thread that waits on it, as soon as that thread wakes up.
CLOSE_TIMEOUT_S = 0.2


class ProcessTimer(Protocol):
    """Ends the process at a given time, even if the process is paused then and continued later."""

    def arm(self, end: float) -> None: ...

    def disarm(self) -> None: ...


class AlarmTimer:
    """A process timer on ITIMER_REAL and the default action of SIGALRM, which ends the process.

    A stopped process that is continued after the end handles the pending signal first. With
    several threads this holds only for the thread that receives the signal; others may still run.
    Therefore `prepare` blocks the signal in the main thread, and so in all threads started later,
    and only the thread that sends orders calls `unblock_in_this_thread`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @staticmethod
    def prepare() -> None:
        """Restore the default action and block the signal.

        Must be called in the main thread before any other thread is started.
        """
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGALRM})

    @staticmethod
    def unblock_in_this_thread() -> None:
        """Unblock the signal in the calling thread."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

    def arm(self, end: float) -> None:
        """End the process at `end`, a time on the clock; replaces an earlier armed time."""
        for _ in range(MAX_ARM_ATTEMPTS):
            remaining_s = max(end - self._clock.now(), 1e-6)
            signal.setitimer(signal.ITIMER_REAL, remaining_s)
            # Read the timer before the clock: a pause between the two can then only make the
            # armed time appear later than it is.
            armed_s, _ = signal.getitimer(signal.ITIMER_REAL)
            if self._clock.now() + armed_s <= end + TIMER_SLACK_S:
                return
        signal.setitimer(signal.ITIMER_REAL, 1e-6)

    def disarm(self) -> None:
        signal.setitimer(signal.ITIMER_REAL, 0)


class AuthorityRegistry:
    """The authorities of this process and the connections opened under them.

    One lock covers both the check of an authority and the write that relies on it. After `withdraw`
    has returned, no more bytes are sent under the withdrawn authority.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Condition()
        self._by_lease: dict[str, Authority] = {}
        self._connections: dict[int, tuple[str, Callable[[], None]]] = {}
        self._connection_ids = itertools.count()

    @property
    def names(self) -> tuple[str, ...]:
        """The sorted names of the leases whose authorities are in force now."""
        now = self._clock.now()
        return tuple(
            sorted(
                authority.name for authority in list(self._by_lease.values()) if now < authority.end
            )
        )

    def current(self, name: str) -> Authority | None:
        """Return the authority of a lease if it is in force, otherwise None."""
        authority = self._by_lease.get(name)
        return authority if authority is not None and self._clock.now() < authority.end else None

    def publish(self, authority: Authority) -> None:
        """Put an authority in force. The process timer must already be armed for its end."""
        with self._lock:
            self._by_lease[authority.name] = authority

    def withdraw(self, name: str) -> bool:
        """Take an authority out of force and abort the connections opened under it.

        Returns whether all of them were closed within `CLOSE_TIMEOUT_S` seconds.
        """
        with self._lock:
            self._by_lease.pop(name, None)
            for lease_name, abort in self._connections.values():
                if lease_name == name:
                    abort()
            return self._lock.wait_for(
                lambda: all(lease_name != name for lease_name, _ in self._connections.values()),
                CLOSE_TIMEOUT_S,
            )

    @contextmanager
    def track_connection(
        self, authority: Authority, abort: Callable[[], None], close: Callable[[], None]
    ) -> Iterator[None]:
        """Call `abort` if the authority is withdrawn within the block, and `close` after it."""
        connection_id = next(self._connection_ids)
        with self._lock:
            self._connections[connection_id] = (authority.name, abort)
        try:
            yield
        finally:
            with self._lock:
                close()
                self._connections.pop(connection_id)
                self._lock.notify_all()

    @contextmanager
    def guard_write(self, authority: Authority) -> Iterator[bool]:
        """Yield whether the authority is in force, and block its withdrawal during the block."""
        with self._lock:
            current = self.current(authority.name)
            yield current is not None and current.fence == authority.fence
