"""The memory budget of a host for buffered answers."""

import threading


class AnswerMemoryBudget:
    """Limits the bytes of all answers that are buffered at once. Thread-safe.

    This bounds the memory when many faulty backend servers send endless bodies at the same time.

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
        """Reserve memory for `size` bytes, or return False if there is not enough."""
        with self._lock:
            if size > self._free_bytes:
                return False
            self._free_bytes -= size
            return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes to the budget."""
        with self._lock:
            self._free_bytes += size
