"""Signals of the process, received by its main thread."""

import contextlib
import os
import select
import signal
from queue import Empty, SimpleQueue

READ_BYTES = 4096


class SignalQueue:
    """Signals that were sent to this process, in place of their default actions.

    The interpreter writes the number of each signal to a pipe as soon as it arrives, on whichever
    thread. A handler in Python would run only once the main thread executes bytecode again, which
    it may never do if the signal arrives just before it blocks. `threading.Event.set` in a handler
    would wait forever if the signal interrupts a method of the same event, which holds its lock.
    The handler here is `SimpleQueue.put` itself, which is reentrant and runs no bytecode that
    further signals could interrupt.

    >>> signals = SignalQueue.install(signal.SIGUSR1)
    >>> signal.raise_signal(signal.SIGUSR1)
    >>> signals.wait(1.0) == {signal.SIGUSR1}, signals.wait(0.01)
    (True, set())
    """

    def __init__(self) -> None:
        self._received: SimpleQueue[int] = SimpleQueue()
        self._reader, self._writer = os.pipe()
        for end in (self._reader, self._writer):
            os.set_blocking(end, False)

    @classmethod
    def install(cls, *numbers: int) -> "SignalQueue":
        """Receive the given signals from now on. Only the main thread may call this."""
        signals = cls()
        # If the pipe is full, it has enough bytes to wake up the main thread.
        signal.set_wakeup_fd(signals._writer, warn_on_full_buffer=False)
        for number in numbers:
            # Called with the number and a frame, which `put` ignores as its `block` argument.
            signal.signal(number, signals._received.put)
        return signals

    def wait(self, timeout_s: float | None = None) -> set[int]:
        """Return the signals received since the last call; wait for one if there are none.

        Return an empty set after `timeout_s` seconds without a signal.
        """
        if self._received.empty():
            select.select([self._reader], [], [], timeout_s)
        received: set[int] = set()
        # The pipe may have been read before a handler has run.
        with contextlib.suppress(BlockingIOError):
            received.update(os.read(self._reader, READ_BYTES))
        with contextlib.suppress(Empty):
            while True:
                received.add(self._received.get_nowait())
        return received
