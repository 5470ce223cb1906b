"""The memory that a host has for whole answers."""

import threading


class AnswerMemoryBudget:
    """Counts the bytes of the answers that are held at once, and says when there are too many.

    Load pattern that this answers: many backend servers in trouble at once, each of which sends a
    body that does not end.

    >>> room = AnswerMemoryBudget(max_bytes=100)
    >>> room.reserve(60), room.reserve(60)
    (True, False)
    >>> room.release(60)
    >>> room.reserve(60)
    True
    """

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes
        self._lock = threading.Lock()

    def reserve(self, size: int) -> bool:
        """Count bytes that are held from now on, or return False where there is no room."""
        with self._lock:
            if size > self._free_bytes:
                return False
            self._free_bytes -= size
            return True

    def release(self, size: int) -> None:
        """Count bytes that are not held any more."""
        with self._lock:
            self._free_bytes += size
