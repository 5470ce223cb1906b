"""Signals of the process, received by its main thread."""

import signal
from queue import Empty, SimpleQueue


class SignalQueue:
    """Signals that were sent to this process, in place of their default actions.

    `threading.Event.set` must not be called by a signal handler: it waits forever if the signal
    interrupts a method of the same event, which holds its lock. `SimpleQueue.put` is reentrant. It
    is the handler itself, so that no Python code of a handler can be interrupted by more signals.

    >>> signals = SignalQueue.install(signal.SIGUSR1)
    >>> signal.raise_signal(signal.SIGUSR1)
    >>> signals.wait(1.0) == {signal.SIGUSR1}, signals.wait(0.01)
    (True, set())
    """

    def __init__(self) -> None:
        self._received: SimpleQueue[int] = SimpleQueue()

    @classmethod
    def install(cls, *numbers: int) -> "SignalQueue":
        """Receive the given signals from now on. Only the main thread may call this."""
        signals = cls()
        for number in numbers:
            # Called with the number and a frame, which `put` ignores as its `block` argument.
            signal.signal(number, signals._received.put)
        return signals

    def wait(self, timeout_s: float | None = None) -> set[int]:
        """Return the signals received since the last call; wait for one if there are none.

        Return an empty set after `timeout_s` seconds without a signal.
        """
        try:
            received = {self._received.get(timeout=timeout_s)}
            for _ in range(self._received.qsize()):
                received.add(self._received.get_nowait())
        except Empty:
            return set()
        return received
