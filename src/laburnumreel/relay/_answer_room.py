"""The memory that a host has for whole answers."""

import threading


class AnswerRoom:
    """Counts the bytes of the answers that are held at once, and says when there are too many.

    Load pattern that this answers: many backend servers in trouble at once, each of which sends a
    body that does not end.

    >>> room = AnswerRoom(most_bytes=100)
    >>> room.take(60), room.take(60)
    (True, False)
    >>> room.give_back(60)
    >>> room.take(60)
    True
    """

    def __init__(self, most_bytes: int) -> None:
        self._left = most_bytes
        self._lock = threading.Lock()

    def take(self, size: int) -> bool:
        """Count bytes that are held from now on, or return False where there is no room."""
        with self._lock:
            if size > self._left:
                return False
            self._left -= size
            return True

    def give_back(self, size: int) -> None:
        """Count bytes that are not held any more."""
        with self._lock:
            self._left += size
