"""A discrete-event simulator and a fake engine with prefix cache, prefill queue and decoding."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

from bench._traffic import BLOCK_TOKENS, Request
from laburnumreel.coordination import LoadReport
from laburnumreel.state import Host

# The same speeds and role factors as the engine stand-in, so that both models agree.
PREFILL_TOKENS_PER_S, DECODE_TOKENS_PER_S, STREAM_TOKENS_PER_S = 20_000.0, 3_200.0, 50.0
MAX_STREAMS = 64
ROLE_SPEEDS = {"both": (1.0, 1.0), "prefill": (1.5, 0.5), "decode": (0.5, 1.5)}
CACHE_BLOCKS = 2_000


class Simulator:
    """A simulated clock with a queue of scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now when the time has passed."""
        heapq.heappush(self._events, (max(time, self.now), next(self._sequence), action))

    def schedule_every(
        self, period_s: float, action: Callable[[], None], start: float = 0.0
    ) -> None:
        """Schedule an action at `start` and then every `period_s`."""

        def repeat() -> None:
            action()
            self.schedule_at(self.now + period_s, repeat)

        self.schedule_at(start, repeat)

    def run(self, until: float) -> None:
        """Run all actions that are due by `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


class FakeEngine:
    """A fake engine: one prefill queue, and streams that share the decode speed evenly."""

    def __init__(self, simulator: Simulator, host: Host, role: str = "both") -> None:
        self.simulator, self.host, self.role = simulator, host, role
        self.alive, self.draining = True, False
        self.max_streams = MAX_STREAMS
        self.refuses_connection: Callable[[], bool] = lambda: False
        self.queue: deque[tuple[Request, int]] = deque()
        self.streams: list[tuple[float, int, Request]] = []
        self.on_end: Callable[[Request, bool], None] = lambda request, complete: None
        self.on_first_token: Callable[[Request], None] = lambda request: None
        self.busy_s = 0.0
        self.prefilled_tokens = self.decoded_tokens = 0.0
        self.stored: list[str] = []
        self.evicted: list[str] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._prefill_ends_at: float | None = None
        self._stream_progress = 0.0
        self._advanced_at = 0.0
        self._generation = 0
        self._sequence = itertools.count()

    @property
    def requests(self) -> list[Request]:
        return [item[0] for item in self.queue] + [item[2] for item in self.streams]

    @property
    def is_changing_role(self) -> bool:
        return self.draining

    def receive(self, request: Request) -> bool:
        """Queue a request; return False when the connection is refused."""
        if not self.alive or self.draining or self.refuses_connection():
            return False
        cached_blocks = 0
        for number, prefix in enumerate(request.prefixes, 1):
            if prefix in self._cache:
                self._cache.move_to_end(prefix)
                cached_blocks = number
        remaining_tokens = max(1, request.prompt_tokens - cached_blocks * BLOCK_TOKENS)
        self.queue.append((request, remaining_tokens))
        self._start_prefill()
        return True

    def report(self) -> LoadReport:
        """Return the current load."""
        self._advance()
        prefill, decode = self._speeds()
        queued = sum(remaining_tokens for _, remaining_tokens in self.queue)
        if self._prefill_ends_at is not None:
            queued -= self.queue[0][1] - int((self._prefill_ends_at - self.simulator.now) * prefill)
        return LoadReport(
            self.simulator.now,
            self.role,
            ("m",),
            max(0, queued),
            len(self.streams),
            self.max_streams,
            prefill,
            decode,
            10**6,
            self.draining,
        )

    def interrupt(self) -> None:
        """End all requests as incomplete, as in a crash or a role change."""
        lost = self.requests
        self.queue.clear()
        self.streams.clear()
        self._prefill_ends_at = None
        self._generation += 1
        for request in lost:
            self.on_end(request, False)

    def crash(self) -> None:
        """Stop for good, lose the cache and interrupt all requests."""
        self.alive = False
        self._cache.clear()
        self.interrupt()

    def change_role(self, role: str, change_s: float) -> None:
        """Refuse new requests, interrupt the running ones and resume in the new role."""
        self.draining = True
        self.interrupt()

        def resume() -> None:
            self.role, self.draining = role, False

        self.simulator.schedule_at(self.simulator.now + change_s, resume)

    def _speeds(self) -> tuple[float, float]:
        prefill, decode = ROLE_SPEEDS[self.role]
        return PREFILL_TOKENS_PER_S * prefill, DECODE_TOKENS_PER_S * decode

    def _stream_rate(self) -> float:
        return min(STREAM_TOKENS_PER_S, self._speeds()[1] / max(1, len(self.streams)))

    def _advance(self) -> None:
        elapsed_s = self.simulator.now - self._advanced_at
        if self.streams:
            self._stream_progress += elapsed_s * self._stream_rate()
            self.decoded_tokens += elapsed_s * self._stream_rate() * len(self.streams)
        if self.streams or self.queue:
            self.busy_s += elapsed_s
        self._advanced_at = self.simulator.now

    def _start_prefill(self) -> None:
        if (
            self._prefill_ends_at is not None
            or not self.queue
            or len(self.streams) >= self.max_streams
        ):
            return
        self._advance()
        self._prefill_ends_at = self.simulator.now + self.queue[0][1] / self._speeds()[0]
        version = self._generation
        self.simulator.schedule_at(self._prefill_ends_at, lambda: self._on_prefill_done(version))

    def _on_prefill_done(self, version: int) -> None:
        if version != self._generation:
            return
        self._advance()
        self._prefill_ends_at = None
        request, remaining_tokens = self.queue.popleft()
        self.prefilled_tokens += remaining_tokens
        self._store(request.prefixes)
        request.first_at = min(request.first_at, self.simulator.now)
        self.on_first_token(request)
        end = self._stream_progress + request.output_tokens
        heapq.heappush(self.streams, (end, next(self._sequence), request))
        self._schedule()
        self._start_prefill()

    def _schedule(self) -> None:
        if not self.streams:
            return
        rate, version, count = self._stream_rate(), self._generation, len(self.streams)
        remaining_tokens = max(0.0, self.streams[0][0] - self._stream_progress)
        head = self.streams[0]

        def check() -> None:
            is_current = version == self._generation and count == len(self.streams)
            if is_current and self.streams[0] is head:
                self._on_decode_done()

        self.simulator.schedule_at(self.simulator.now + remaining_tokens / rate, check)

    def _on_decode_done(self) -> None:
        self._advance()
        _, _, request = heapq.heappop(self.streams)
        request.done_at = self.simulator.now
        self.on_end(request, True)
        self._schedule()
        self._start_prefill()

    def _store(self, prefixes: Sequence[str]) -> None:
        for prefix in prefixes:
            if prefix not in self._cache:
                self.stored.append(prefix)
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > CACHE_BLOCKS:
            self.evicted.append(self._cache.popitem(last=False)[0])
