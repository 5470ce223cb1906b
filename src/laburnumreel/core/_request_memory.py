"""The memory that callers' requests and connections hold together in a process."""

import threading
from collections import deque
from collections.abc import Callable

from laburnumreel.core._answer_memory import ANSWER_SHARE, BYTES_PER_MB
from laburnumreel.core._clock import Clock
from laburnumreel.core._metrics import Metric

# What the process itself needs: the interpreter, libraries, threads and tables.
PROCESS_BYTES = 44 * BYTES_PER_MB
# Shares of the host's memory: of what each connection takes, whatever it sends, of small requests,
# and of all others. The last one is less if that would leave too little for the process itself.
CONNECTION_SHARE = 0.2
SMALL_REQUEST_SHARE = 1 / 16
REQUEST_SHARE, MIN_REQUEST_SHARE = 0.4, 1 / 8
# Requests up to this size may use the memory that is reserved for small ones.
SMALL_REQUEST_BYTES = 32 * 1024
MIN_RESERVED_BYTES = 4 * SMALL_REQUEST_BYTES
# If the memory is full, requests that have made no progress for this long are given up for new
# ones. Progress is a number of bytes, and a part of what the request holds.
SLOW_READ_S = 2.0
MIN_PROGRESS_BYTES = 1024
PROGRESS_PARTS = 64
# The rate at which memory becomes free is measured over this time.
RATE_WINDOW_S = 3.0
# The time after which a refused request should return, and its value without a measured rate.
MIN_RETRY_S, DEFAULT_RETRY_S, MAX_RETRY_S = 0.2, 1.0, 5.0


class RequestMemory:
    """Limits the bytes of requests that all callers' connections hold at once. Thread-safe.

    A body is held from the end of its request's head, with the length that the head declares, until
    its request has ended. A connection holds in an account of its own what it keeps beside bodies,
    such as an unfinished head. What is fully read is never given up for something else. Beyond
    `max_bytes` there are `reserved_bytes` for what is small.

    >>> from laburnumreel.core import ManualClock
    >>> memory = RequestMemory(100_000, ManualClock())
    >>> first, second = memory.open(), memory.open()
    >>> first.hold(90_000), second.hold(80_000)
    (True, False)
    >>> first.release()
    >>> second.hold(80_000), memory.held_bytes
    (True, 80000)
    """

    def __init__(
        self,
        max_bytes: int,
        clock: Clock,
        gauge: Metric | None = None,
        reserved_bytes: int = MIN_RESERVED_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = max(MIN_RESERVED_BYTES, reserved_bytes)
        self._clock = clock
        self._gauge = gauge
        self._held_bytes = 0
        self._lock = threading.RLock()
        # Requests whose body is arriving, the oldest first.
        self._arriving: dict[HeldRequest, None] = {}
        # The times and sizes of what was released within `RATE_WINDOW_S`.
        self._released: deque[tuple[float, int]] = deque()

    @classmethod
    def from_host(
        cls, host_mb: float, clock: Clock, gauge: Metric | None = None
    ) -> "RequestMemory":
        """Return the memory for requests of a host with `host_mb` MB."""
        host_bytes = host_mb * BYTES_PER_MB
        other_share = ANSWER_SHARE + CONNECTION_SHARE + SMALL_REQUEST_SHARE
        free_bytes = (1 - other_share) * host_bytes - PROCESS_BYTES
        max_bytes = max(MIN_REQUEST_SHARE * host_bytes, min(REQUEST_SHARE * host_bytes, free_bytes))
        return cls(int(max_bytes), clock, gauge, int(SMALL_REQUEST_SHARE * host_bytes))

    @property
    def max_bytes(self) -> int:
        """The limit of all requests together, except small ones."""
        return self._max_bytes

    @property
    def reserved_bytes(self) -> int:
        """What small requests may hold beyond `max_bytes`."""
        return self._reserved_bytes

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return self._held_bytes

    def open(
        self, give_up: Callable[[], None] = lambda: None, uses_reserve: bool = False
    ) -> "HeldRequest":
        """Return the account of one request whose body arrives from now on, or of a connection.

        `give_up` drops what has arrived; it is called on the thread of another request. What is
        small may use the reserved memory, and anything that `uses_reserve`.
        """
        return HeldRequest(self, give_up, self._clock, uses_reserve)

    def retry_after_s(self, size: int) -> float:
        """Return after how many seconds there may be room for a body of `size` bytes."""
        with self._lock:
            self._forget_released()
            per_s = sum(each for _, each in self._released) / RATE_WINDOW_S
            missing = self._held_bytes + size - self._max_bytes
        if not per_s:
            return DEFAULT_RETRY_S
        return max(MIN_RETRY_S, min(MAX_RETRY_S, missing / per_s))

    def resize(self, request: "HeldRequest", size: int, may_give_up: bool) -> bool:
        """Change the size of a request, or return False if there is not enough memory."""
        with self._lock:
            if request.is_given_up:
                return False
            if size > request.size and not self._make_room(request, size):
                return False
            self._apply(request, size)
            if size and may_give_up:
                self._arriving[request] = None
            else:
                self._arriving.pop(request, None)
            return True

    def finish(self, request: "HeldRequest") -> None:
        """Keep a request that was fully read until it is released."""
        with self._lock:
            self._arriving.pop(request, None)

    def release(self, request: "HeldRequest") -> None:
        """Release what a request holds."""
        with self._lock:
            self._arriving.pop(request, None)
            if request.size:
                self._released.append((self._clock.now(), request.size))
                self._forget_released()
            self._apply(request, 0)

    def _make_room(self, request: "HeldRequest", size: int) -> bool:
        """Return whether a request fits, if need be after those without progress were given up."""
        others_bytes = self._held_bytes - request.size
        uses_reserve = request.uses_reserve or size <= SMALL_REQUEST_BYTES
        reserved_bytes = self._reserved_bytes if uses_reserve else 0
        excess = others_bytes + size - self._max_bytes - reserved_bytes
        if excess <= 0 or not others_bytes:
            return True
        slow_since = self._clock.now() - SLOW_READ_S
        slow = [
            each
            for each in self._arriving
            if each.progressed_at <= slow_since and each.size and each is not request
        ]
        if sum(each.size for each in slow) < excess:
            return False
        for each in sorted(slow, key=lambda each: each.progressed_at):
            if excess <= 0:
                break
            excess -= each.size
            each.give_up()
            self.release(each)
        return True

    def _apply(self, request: "HeldRequest", size: int) -> None:
        self._held_bytes += size - request.size
        request.size = size
        if self._gauge is not None:
            self._gauge.set(self._held_bytes)

    def _forget_released(self) -> None:
        oldest = self._clock.now() - RATE_WINDOW_S
        while self._released and self._released[0][0] < oldest:
            self._released.popleft()


class HeldRequest:
    """The account of one request's body, or of a connection. `size` belongs to `RequestMemory`."""

    def __init__(
        self,
        memory: RequestMemory,
        give_up: Callable[[], None],
        clock: Clock,
        uses_reserve: bool = False,
    ) -> None:
        self._memory = memory
        self._give_up = give_up
        self._clock = clock
        self._uses_reserve = uses_reserve
        self._progressed_at = clock.now()
        # Bytes that arrived since the progress that was recorded last.
        self._arrived_bytes = 0
        self._is_read = False
        self._is_given_up = False
        self.size = 0

    @property
    def uses_reserve(self) -> bool:
        """Whether it may use the memory that is reserved for small requests."""
        return self._uses_reserve

    @property
    def progressed_at(self) -> float:
        """When the request began to arrive or last made progress, by the memory's clock."""
        return self._progressed_at

    @property
    def is_read(self) -> bool:
        """Whether the request was fully read."""
        return self._is_read

    @property
    def is_given_up(self) -> bool:
        """Whether the request was given up for another one."""
        return self._is_given_up

    def hold(self, size: int, may_give_up: bool = True) -> bool:
        """Hold `size` bytes in all; return False if there is no room or it was given up.

        It may be given up later for another one if it `may_give_up` and is not fully read.
        """
        return self._memory.resize(self, size, may_give_up and not self._is_read)

    def record_progress(self, count: int) -> None:
        """Record that `count` bytes of the request arrived."""
        self._arrived_bytes += count
        if self._arrived_bytes >= max(MIN_PROGRESS_BYTES, self.size // PROGRESS_PARTS):
            self._arrived_bytes = 0
            self._progressed_at = self._clock.now()

    def finish(self) -> None:
        """Keep what is held of a request that was fully read, until `release`."""
        self._is_read = True
        self._memory.finish(self)

    def give_up(self) -> None:
        """Drop what has arrived of the request."""
        self._is_given_up = True
        self._give_up()

    def release(self) -> None:
        """Release what is held. Further calls have no effect."""
        self._memory.release(self)

    def close(self) -> None:
        """Release what is held, and hold nothing from now on."""
        self._is_given_up = True
        self.release()
