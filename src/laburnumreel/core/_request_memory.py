"""The memory that the bodies of all requests of a process hold together."""

import threading
from collections import deque
from collections.abc import Callable

from laburnumreel.core._answer_memory import BYTES_PER_MB
from laburnumreel.core._clock import Clock
from laburnumreel.core._metrics import Metric

# The share of the host's memory that requests may hold together.
REQUEST_SHARE = 0.4
# Bodies up to this size are always admitted; the limit of connections bounds them.
SMALL_REQUEST_BYTES = 32 * 1024
# If the memory is full, requests whose body has been arriving for longer than this are given up for
# new ones.
SLOW_READ_S = 2.0
# The rate at which memory becomes free is measured over this time.
RATE_WINDOW_S = 3.0
# The time after which a refused request should return, and its value without a measured rate.
MIN_RETRY_S, DEFAULT_RETRY_S, MAX_RETRY_S = 0.2, 1.0, 5.0


class RequestMemory:
    """Limits the bytes of the bodies of all requests that are held at once. Thread-safe.

    A body is held from the end of its request's head, with the length that the head declares, until
    its request has ended. A request that is fully read is never given up for another one.

    >>> from laburnumreel.core import ManualClock
    >>> memory = RequestMemory(100_000, ManualClock())
    >>> first, second = memory.open(), memory.open()
    >>> first.hold(90_000), second.hold(80_000)
    (True, False)
    >>> first.release()
    >>> second.hold(80_000), memory.held_bytes
    (True, 80000)
    """

    def __init__(self, max_bytes: int, clock: Clock, gauge: Metric | None = None) -> None:
        self._max_bytes = max_bytes
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
        return cls(int(REQUEST_SHARE * host_mb * BYTES_PER_MB), clock, gauge)

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return self._held_bytes

    def open(self, give_up: Callable[[], None] = lambda: None) -> "HeldRequest":
        """Return the account of one request whose body arrives from now on.

        `give_up` drops what has arrived; it is called on the thread of another request.
        """
        return HeldRequest(self, give_up, self._clock.now())

    def retry_after_s(self, size: int) -> float:
        """Return after how many seconds there may be room for a body of `size` bytes."""
        with self._lock:
            self._forget_released()
            per_s = sum(each for _, each in self._released) / RATE_WINDOW_S
            missing = self._held_bytes + size - self._max_bytes
        if not per_s:
            return DEFAULT_RETRY_S
        return max(MIN_RETRY_S, min(MAX_RETRY_S, missing / per_s))

    def resize(self, request: "HeldRequest", size: int) -> bool:
        """Change the size of a request, or return False if there is not enough memory."""
        with self._lock:
            if request.is_given_up:
                return False
            if size > max(request.size, SMALL_REQUEST_BYTES) and not self._make_room(request, size):
                return False
            self._apply(request, size)
            if not request.is_read:
                self._arriving[request] = None
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
        """Return whether a request fits, if need be after slow ones were given up for it."""
        others_bytes = self._held_bytes - request.size
        excess = others_bytes + size - self._max_bytes
        if excess <= 0 or not others_bytes:
            return True
        slow_since = self._clock.now() - SLOW_READ_S
        slow = [
            each
            for each in self._arriving
            if each.opened_at <= slow_since and each.size and each is not request
        ]
        if sum(each.size for each in slow) < excess:
            return False
        for each in slow:
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
    """The account of one request's body. `size` belongs to its `RequestMemory`."""

    def __init__(
        self, memory: RequestMemory, give_up: Callable[[], None], opened_at: float
    ) -> None:
        self._memory = memory
        self._give_up = give_up
        self._opened_at = opened_at
        self._is_read = False
        self._is_given_up = False
        self.size = 0

    @property
    def opened_at(self) -> float:
        """When the body began to arrive, by the memory's clock."""
        return self._opened_at

    @property
    def is_read(self) -> bool:
        """Whether the request was fully read."""
        return self._is_read

    @property
    def is_given_up(self) -> bool:
        """Whether the request was given up for another one."""
        return self._is_given_up

    def hold(self, size: int) -> bool:
        """Hold `size` bytes in all; return False if there is no room or it was given up."""
        return self._memory.resize(self, size)

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
