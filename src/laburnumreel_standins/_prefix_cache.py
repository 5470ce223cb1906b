"""Prefix cache of an engine with limited memory, and the events that report its contents."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from laburnumreel_standins._text import TOKENS_PER_BLOCK

MAX_KEPT_EVENTS = 4096


class CacheEvent(NamedTuple):
    """Change of the cache. `kind` is "stored" or "evicted"."""

    seq: int
    kind: str
    prefix: str
    at: float


class PrefixCache:
    """LRU cache of prompt prefixes. Each prefix uses the memory of one block of tokens."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // TOKENS_PER_BLOCK
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._seq = 0
        self._events_to_drop = 0

    @property
    def tokens(self) -> int:
        return len(self._prefixes) * TOKENS_PER_BLOCK

    @property
    def prefixes(self) -> list[str]:
        return list(self._prefixes)

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._prefixes

    def cached_tokens(self, prefixes: Sequence[str]) -> int:
        """Return the number of cached tokens at the start of a prompt, and mark them as used.

        `prefixes` are the prefixes of the prompt, shortest first.
        """
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in self._prefixes:
                for prefix in prefixes[:count]:
                    if prefix in self._prefixes:
                        self._prefixes.move_to_end(prefix)
                return count * TOKENS_PER_BLOCK
        return 0

    def store(self, prefixes: Sequence[str], now: float) -> None:
        """Store the prefixes of a prompt, and evict the least recently used ones if it is full."""
        for prefix in prefixes:
            if prefix not in self._prefixes:
                self._prefixes[prefix] = None
                self._record_event("stored", prefix, now)
            self._prefixes.move_to_end(prefix)
        self._evict_down_to(self._capacity_blocks, now)

    def evict_for(self, tokens: int, now: float) -> None:
        """Evict prefixes until `tokens` tokens of running streams fit into the memory."""
        self._evict_down_to(max(0, self._capacity_blocks - -(-tokens // TOKENS_PER_BLOCK)), now)

    def free_tokens(self, used: int) -> int:
        """Return the free memory in tokens if running streams use `used` tokens."""
        return max(0, self._capacity_blocks * TOKENS_PER_BLOCK - self.tokens - used)

    def drop_events(self, count: int) -> None:
        """Drop the next `count` events, which leaves a gap in the sequence numbers."""
        self._events_to_drop = count

    def events_after(self, seq: int, until: float) -> tuple[list[CacheEvent], int, bool]:
        """Return the events after `seq` up to the time `until`.

        The second value is the `seq` to continue from; the third is whether events are missing.
        """
        events = [event for event in self._events if event.seq > seq and event.at <= until]
        last_seq = events[-1].seq if events else seq
        return events, last_seq, last_seq - seq != len(events)

    def _record_event(self, kind: str, prefix: str, now: float) -> None:
        self._seq += 1
        if self._events_to_drop > 0:
            self._events_to_drop -= 1
        else:
            self._events.append(CacheEvent(self._seq, kind, prefix, now))

    def _evict_down_to(self, max_blocks: int, now: float) -> None:
        while len(self._prefixes) > max_blocks:
            prefix, _ = self._prefixes.popitem(last=False)
            self._record_event("evicted", prefix, now)
