"""The authorities in force, and the process timer that ends the process with them."""

import itertools
import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from laburnumreel.core import Clock
from laburnumreel.state import Authority

# setitimer rounds up to the kernel's resolution.
TIMER_SLACK_S = 0.002
# Each failed check of the armed time means that the process was paused for longer than the slack.
MAX_ARM_ATTEMPTS = 100
# An aborted connection is closed by the thread that waits on it, which takes only its wake-up.
CLOSE_TIMEOUT_S = 0.2


class ProcessTimer(Protocol):
    """Ends the process at a time, also when the process is paused and continued later."""

    def arm(self, end: float) -> None: ...

    def disarm(self) -> None: ...


class AlarmTimer:
    """ITIMER_REAL with SIGALRM's default action, which terminates the process.

    A stopped process that is continued after the end takes the pending signal first. With several
    threads only the one that takes the signal is sure to run nothing more, so `prepare` blocks
    the signal in the main thread and thereby in all threads started later, and the thread that
    sends orders calls `unblock_in_this_thread`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @staticmethod
    def prepare() -> None:
        """Restore the default action and block the signal. Call it in the main thread first."""
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGALRM})

    @staticmethod
    def unblock_in_this_thread() -> None:
        """Let this thread take the signal."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

    def arm(self, end: float) -> None:
        """End the process at `end`, in place of an earlier armed time."""
        for _ in range(MAX_ARM_ATTEMPTS):
            remaining_s = max(end - self._clock.now(), 1e-6)
            signal.setitimer(signal.ITIMER_REAL, remaining_s)
            # The timer is read before the clock: a pause between the two can then only make the
            # armed time look later than it is.
            armed_s, _ = signal.getitimer(signal.ITIMER_REAL)
            if self._clock.now() + armed_s <= end + TIMER_SLACK_S:
                return
        signal.setitimer(signal.ITIMER_REAL, 1e-6)

    def disarm(self) -> None:
        signal.setitimer(signal.ITIMER_REAL, 0)


class AuthorityRegistry:
    """The authorities of this process, and the connections that were opened under them.

    One lock covers the check of an authority together with the write that relies on it. Once
    `withdraw` has returned, no byte is sent under the withdrawn authority any more.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Condition()
        self._by_lease: dict[str, Authority] = {}
        self._connections: dict[int, tuple[str, Callable[[], None]]] = {}
        self._connection_ids = itertools.count()

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the leases that are in force now."""
        now = self._clock.now()
        return tuple(
            sorted(
                authority.name for authority in list(self._by_lease.values()) if now < authority.end
            )
        )

    def current(self, name: str) -> Authority | None:
        """Return the authority in force under a lease, or None."""
        authority = self._by_lease.get(name)
        return authority if authority is not None and self._clock.now() < authority.end else None

    def publish(self, authority: Authority) -> None:
        """Put an authority in force. The process timer must have been armed for its end."""
        with self._lock:
            self._by_lease[authority.name] = authority

    def withdraw(self, name: str) -> bool:
        """Take an authority out of force and abort the connections opened under it.

        Returns whether all of them are closed.
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
        """Have `abort` called if the authority is withdrawn within the block; close after it."""
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
        """Give whether the authority is in force, and keep it from being withdrawn meanwhile."""
        with self._lock:
            current = self.current(authority.name)
            yield current is not None and current.fence == authority.fence
