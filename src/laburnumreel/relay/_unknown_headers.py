"""Logging of header names in backend servers' answers that the protocol does not know.

If a server starts to send a new header, the relay ignores it. The log line names the header before
an operator has to look for the reason.
"""

import threading
from collections.abc import Iterable

from laburnumreel.core import Log
from laburnumreel.relay._events import HEADER_UNKNOWN

# Bounds the memory use and the log lines if servers send made-up names.
MAX_LOGGED_NAMES = 100

_log = Log("relay.sending")


class UnknownHeaders:
    """Logs each unknown header name once. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._logged: set[str] = set()

    def log_new(self, names: Iterable[str], back_end: str) -> None:
        """Log those unknown names in one answer of a backend server that are new."""
        for name in names:
            with self._lock:
                if name in self._logged or len(self._logged) >= MAX_LOGGED_NAMES:
                    continue
                self._logged.add(name)
            _log.warning(HEADER_UNKNOWN, header=name[:100], back_end=back_end)
