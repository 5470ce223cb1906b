"""Stop signals of a process, which are taken from the kernel instead of handled."""

import signal

_STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class StopSignals:
    """Blocks SIGTERM and SIGINT and lets the main thread wait for them.

    Threads inherit the blocked signals, so create it before the first one starts. A signal that
    arrives at any time stays pending until `wait` takes it. A Python handler would run only once the
    main thread executes bytecode again, which a thread that is about to block may never do, and
    could interrupt another handler that holds the same lock.
    """

    def __init__(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for a signal, at most `timeout_s` seconds, and return whether one came."""
        if timeout_s is None:
            signal.sigwait(_STOP_SIGNALS)
            return True
        return signal.sigtimedwait(_STOP_SIGNALS, timeout_s) is not None
