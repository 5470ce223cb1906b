"""Usage figures: deltas that gateways flush, windows that are closed once, and their rows."""

import zlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from laburnumreel.state._platform import Check, Row, Write

DELTA_TABLE = "usage_delta"
WINDOW_TABLE = "usage_window"
# The row with the window length and the number of shards that all processes have to use.
USAGE_FORMAT_KEY = "format"
# Pads window starts, in seconds since the Unix epoch, so that keys sort by time.
WINDOW_DIGITS = 12
# Beyond this many windows kept in memory, the oldest counts join the next window as late ones.
MAX_WAITING_WINDOWS = 240
# How long deltas are kept after their window's end.
DELTA_RETENTION_S = 3600.0


class UsageCount(NamedTuple):
    """What one request used."""

    customer: str
    service: str
    requests: int
    prompt_tokens: int
    output_tokens: int


class Figures(NamedTuple):
    """A customer's usage in a window. `late_requests` of `requests` belong to earlier windows."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    late_requests: int = 0

    @classmethod
    def of(cls, count: UsageCount) -> "Figures":
        return cls(count.requests, count.prompt_tokens, count.output_tokens)

    @classmethod
    def from_value(cls, value: Mapping[str, int]) -> "Figures":
        return cls(**{name: value.get(name, 0) for name in cls._fields})

    def plus(self, other: "Figures") -> "Figures":
        return Figures(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def late(self) -> "Figures":
        """Return the same usage, moved out of its own window."""
        return self._replace(late_requests=self.requests)


CustomerFigures = dict[str, Figures]


def add_figures(total: CustomerFigures, more: Mapping[str, Figures]) -> None:
    """Add the figures of each customer to `total`."""
    for customer, figures in more.items():
        total[customer] = total.get(customer, Figures()).plus(figures)


def figures_value(figures: Mapping[str, Figures]) -> dict[str, dict[str, int]]:
    """Return figures as the JSON of a row."""
    return {customer: item._asdict() for customer, item in sorted(figures.items())}


def figures_from_value(value: Mapping[str, Any]) -> CustomerFigures:
    """Read what `figures_value` wrote."""
    return {customer: Figures.from_value(item) for customer, item in value.items()}


class WindowShard(NamedTuple):
    """A usage window's part for some customers. `window` is its start in epoch seconds."""

    window: int
    shard: int

    @property
    def key(self) -> str:
        return f"{self.window:0{WINDOW_DIGITS}d}:{self.shard}"

    @property
    def label(self) -> str:
        """The window's name in reports."""
        return f"{self.window:0{WINDOW_DIGITS}d}"

    @classmethod
    def from_key(cls, key: str) -> "WindowShard":
        window, shard = key.split(":")[:2]
        return cls(int(window), int(shard))


def window_of(wall: float, window_s: int) -> int:
    """Return the start of the window that holds this time."""
    return int(wall) // window_s * window_s


def shard_of(customer: str, shards: int) -> int:
    """Return a customer's shard. All processes use the same number of shards."""
    return zlib.crc32(customer.encode()) % shards


class WindowState(StrEnum):
    """How far a window has come. It only moves forward, and takes no delta in any state."""

    CLOSING = "closing"
    SEALED = "sealed"
    REPORTED = "reported"


class Batch(NamedTuple):
    """Deltas that are flushed together, and never change once sent."""

    sequence: int
    deltas: dict[WindowShard, CustomerFigures]


class UsageDeltas:
    """A gateway's counts from request to flushed delta, without calls.

    A batch stays the same until it is known whether it took effect, so that repeating it cannot
    count twice.

    >>> deltas = UsageDeltas("node-a", "boot-1", window_s=60, shards=1)
    >>> deltas.count(UsageCount("hall-a", "quoting", 1, 10, 5), wall=75.0)
    >>> deltas.next_batch().deltas[WindowShard(60, 0)]["hall-a"].output_tokens
    5
    """

    def __init__(self, node: str, boot: str, window_s: int, shards: int) -> None:
        self._node = node
        self._boot = boot
        self._window_s = window_s
        self._shards = shards
        self._sequence = 0
        self._waiting: dict[WindowShard, CustomerFigures] = {}
        self._batch: Batch | None = None

    @property
    def empty(self) -> bool:
        """Whether every count is known to be stored."""
        return not self._waiting and self._batch is None

    @property
    def batch(self) -> Batch | None:
        """The batch whose outcome is not known yet."""
        return self._batch

    def count(self, count: UsageCount, wall: float) -> None:
        """Add a request's usage to the window that holds `wall`."""
        window = window_of(wall, self._window_s)
        place = WindowShard(window, shard_of(count.customer, self._shards))
        self._add(place, {count.customer: Figures.of(count)})

    def next_batch(self) -> Batch | None:
        """Return the batch to send: the unresolved one, or all that waits, or None."""
        if self._batch is None and self._waiting:
            self._sequence += 1
            self._batch, self._waiting = Batch(self._sequence, self._waiting), {}
        return self._batch

    def delta_key(self, batch: Batch, place: WindowShard) -> str:
        """Return the key of a batch's row for one window and shard."""
        return f"{place.key}:{self._node}:{self._boot}:{batch.sequence:09d}"

    def transaction(self, batch: Batch) -> tuple[list[Check], list[Write]]:
        """Return what stores a batch: no window may be closed and no row may exist."""
        checks, writes = [], []
        for place, figures in batch.deltas.items():
            key = self.delta_key(batch, place)
            checks += [Check(WINDOW_TABLE, place.key, 0), Check(DELTA_TABLE, key, 0)]
            writes.append(Write(DELTA_TABLE, key, {"customers": figures_value(figures)}))
        return checks, writes

    def stored(self, batch: Batch) -> None:
        """Take in that the batch took effect."""
        if self._batch is batch:
            self._batch = None

    def rejected(self, batch: Batch, closed: Iterable[WindowShard]) -> None:
        """Take in that the batch cannot take effect any more, as these windows are closed.

        Their counts move on to the next window; the others wait for the next batch.
        """
        if self._batch is not batch:
            return
        self._batch = None
        shut = set(closed)
        for place, figures in batch.deltas.items():
            if place in shut:
                self._add_late(place, figures)
            else:
                self._add(place, figures)

    def _add(self, place: WindowShard, figures: Mapping[str, Figures]) -> None:
        add_figures(self._waiting.setdefault(place, {}), figures)
        windows = {waiting.window for waiting in self._waiting}
        if len(windows) > MAX_WAITING_WINDOWS:
            oldest = min(windows)
            for old in [waiting for waiting in self._waiting if waiting.window == oldest]:
                self._add_late(old, self._waiting.pop(old))

    def _add_late(self, place: WindowShard, figures: Mapping[str, Figures]) -> None:
        after = place._replace(window=place.window + self._window_s)
        late = {customer: item.late() for customer, item in figures.items()}
        add_figures(self._waiting.setdefault(after, {}), late)


def sum_deltas(rows: Iterable[Row]) -> CustomerFigures:
    """Add up the deltas of one window and shard."""
    total: CustomerFigures = {}
    for row in rows:
        add_figures(total, figures_from_value(row.value["customers"]))
    return total
