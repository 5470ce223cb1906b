"""Headers of backend servers' answers that the protocol spoken to them does not know.

A server that says something new in a header is not understood; a log line shows the name before
an operator has to ask why.
"""

import threading
from collections.abc import Iterable

from laburnumreel.core import Log
from laburnumreel.relay._events import HEADER_UNKNOWN

# Bounds the memory and the log lines for servers that make names up.
MAX_LOGGED_NAMES = 100

_log = Log("relay.sending")


class UnknownHeaders:
    """Logs each unknown name once. May be used by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._logged: set[str] = set()

    def log_new(self, names: Iterable[str], back_end: str) -> None:
        """Take the unknown names of one answer of a backend server."""
        for name in names:
            with self._lock:
                if name in self._logged or len(self._logged) >= MAX_LOGGED_NAMES:
                    continue
                self._logged.add(name)
            _log.warning(HEADER_UNKNOWN, header=name[:100], back_end=back_end)
