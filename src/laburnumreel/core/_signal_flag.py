"""A flag that signal handlers can set."""

import contextlib
import queue


class SignalFlag:
    """A flag that a signal handler sets and the main thread waits for.

    Unlike `threading.Event`, whose `set` needs a lock that the interrupted thread may hold, `set`
    never waits.

    >>> flag = SignalFlag()
    >>> flag.wait(0.01)
    False
    >>> flag.set()
    >>> flag.wait(0.01)
    True
    """

    def __init__(self) -> None:
        self._is_set = False
        self._wake_ups: queue.SimpleQueue[None] = queue.SimpleQueue()

    def set(self) -> None:
        """Set the flag, and end the waits of the main thread."""
        self._is_set = True
        self._wake_ups.put(None)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the flag is set, at most `timeout_s` seconds; return whether it is set."""
        if not self._is_set:
            with contextlib.suppress(queue.Empty):
                self._wake_ups.get(timeout=timeout_s)
        return self._is_set
