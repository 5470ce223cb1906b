"""The memory that all answers of a process hold together."""

import contextlib
import io
import threading
from collections.abc import Callable, Iterator

from laburnumreel.core._metrics import Metric

# An answer up to this size may use the reserved part of the memory.
SMALL_ANSWER_BYTES = 32 * 1024
# Each request may hold two answers at once: the second is that of a hedged send.
ANSWERS_PER_REQUEST = 2
# At most this share of the memory is reserved for small answers.
MAX_RESERVED_SHARE = 0.25
BYTES_PER_MB = 1024 * 1024
# The share of the host's memory that answers may hold together.
ANSWER_SHARE = 1 / 8
# How long an answer waits for the memory of one that is being ended. The thread of that one wakes
# up at once, unless it is writing to a caller that does not read.
ROOM_WAIT_S = 0.25


class AnswerMemory:
    """Limits the bytes of all answers that are held at once. Thread-safe.

    When it is full, the largest answer that is still being read is ended, and the others wait until
    its memory is released. `reserved_bytes` are kept free for answers of at most
    `SMALL_ANSWER_BYTES`, which therefore never wait for large ones.

    >>> memory = AnswerMemory(max_bytes=100_000)
    >>> large, small = memory.open(), memory.open()
    >>> large.hold(90_000), small.hold(20_000)
    (True, False)
    >>> large.release()
    >>> small.hold(20_000), memory.held_bytes
    (True, 20000)
    """

    def __init__(
        self, max_bytes: int, reserved_bytes: int = 0, gauge: Metric | None = None
    ) -> None:
        self._max_bytes = max_bytes
        self._gauge = gauge
        self._reserved_bytes = min(reserved_bytes, int(MAX_RESERVED_SHARE * max_bytes))
        self._held_bytes = 0
        self._peak_bytes = 0
        self._refused_count = 0
        self._changed = threading.Condition()
        self._unfinished: set[HeldAnswer] = set()

    @classmethod
    def from_host(
        cls, host_mb: float, requests: int, gauge: Metric | None = None
    ) -> "AnswerMemory":
        """Return the memory for answers of a host that serves `requests` requests at once.

        `host_mb` is the host's memory in MB; `gauge` shows the bytes that are held.
        """
        host_bytes = int(host_mb * BYTES_PER_MB)
        reserved_bytes = ANSWERS_PER_REQUEST * requests * SMALL_ANSWER_BYTES
        return cls(int(ANSWER_SHARE * host_bytes), reserved_bytes, gauge)

    @property
    def max_bytes(self) -> int:
        """The limit of all answers together."""
        return self._max_bytes

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return self._held_bytes

    @property
    def peak_bytes(self) -> int:
        """The most bytes that were held at once."""
        return self._peak_bytes

    @property
    def refused_count(self) -> int:
        """How often there was not enough memory for an answer."""
        return self._refused_count

    def open(self, end: Callable[[], None] | None = None) -> "HeldAnswer":
        """Return the account of one answer. `end` ends an answer that is still being read."""
        return HeldAnswer(self, end)

    def resize(self, answer: "HeldAnswer", size: int, wait_s: float) -> bool:
        """Change the size of an answer, or return False if there is not enough memory."""
        with self._changed:
            if size <= answer.size:
                self._apply(answer, size)
                return not answer.is_ended
            self._changed.wait_for(
                lambda: answer.is_ended or self._fits(answer, size) or not self._end_larger(size),
                wait_s,
            )
            if answer.is_ended or not self._fits(answer, size):
                self._refused_count += 1
                return False
            self._apply(answer, size)
            return True

    def finish(self, answer: "HeldAnswer") -> None:
        """Keep an answer that was read whole: it is not ended any more."""
        with self._changed:
            self._unfinished.discard(answer)
            self._changed.notify_all()

    def _fits(self, answer: "HeldAnswer", size: int) -> bool:
        reserved_bytes = 0 if size <= SMALL_ANSWER_BYTES else self._reserved_bytes
        return self._held_bytes + size - answer.size <= self._max_bytes - reserved_bytes

    def _end_larger(self, size: int) -> bool:
        """End the largest answer if it is larger than `size`, and return whether memory will come.

        Only one answer is ended at a time.
        """
        if any(answer.is_ended for answer in self._unfinished):
            return True
        largest = max(self._unfinished, key=lambda answer: answer.size, default=None)
        if largest is None or largest.size <= size:
            return False
        largest.end()
        # The largest one may itself be waiting for memory.
        self._changed.notify_all()
        return True

    def _apply(self, answer: "HeldAnswer", size: int) -> None:
        grown = size - answer.size
        answer.size = size
        self._held_bytes += grown
        self._peak_bytes = max(self._peak_bytes, self._held_bytes)
        if self._gauge is not None:
            self._gauge.set(self._held_bytes)
        if answer.is_unfinished and size:
            self._unfinished.add(answer)
        else:
            self._unfinished.discard(answer)
        if grown < 0:
            self._changed.notify_all()


class HeldAnswer:
    """The account of one answer, or of the part of it that is held.

    `size` and `is_unfinished` belong to its `AnswerMemory`.
    """

    def __init__(self, memory: AnswerMemory, end: Callable[[], None] | None) -> None:
        self._memory = memory
        self._end = end
        self._is_ended = False
        self.size = 0
        self.is_unfinished = end is not None

    @property
    def is_ended(self) -> bool:
        """Whether the answer was ended because the memory was full."""
        return self._is_ended

    def hold(self, size: int, wait_s: float = ROOM_WAIT_S) -> bool:
        """Hold `size` bytes in all; return False if the memory is full or the answer was ended.

        Waits up to `wait_s` seconds for the memory of a larger answer.
        """
        return self._memory.resize(self, size, wait_s)

    def finish(self) -> None:
        """Keep what is held of an answer that was read whole, until `release`."""
        self.is_unfinished = False
        self._memory.finish(self)

    def end(self) -> None:
        """End an answer that is still being read. Its reader then releases it."""
        self._is_ended = True
        # The reader may be closing the connection right now.
        with contextlib.suppress(OSError):
            self._end()

    def release(self) -> None:
        """Release what is held. Further calls have no effect."""
        self.hold(0)


class HeldBody(io.BytesIO):
    """A body that is held until it was sent or its connection has ended."""

    def __init__(self, body: bytes, release: Callable[[], None]) -> None:
        super().__init__(body)
        self._release = release

    def close(self) -> None:
        super().close()
        self._release()


def split_pieces(piece: bytes, size: int) -> Iterator[bytes]:
    """Yield a piece in parts of at most `size` bytes.

    >>> list(split_pieces(b"abcde", 2))
    [b'ab', b'cd', b'e']
    """
    if len(piece) <= size:
        yield piece
        return
    for start in range(0, len(piece), size):
        yield piece[start : start + size]
