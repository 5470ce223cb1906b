"""Usage figures: the deltas that gateways flush, the windows that collect them, and their rows."""

import zlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from laburnumreel.state._platform import Check, Row, Write

DELTA_TABLE = "usage_delta"
WINDOW_TABLE = "usage_window"
# The key of the row with the window length and shard count that all processes must use.
USAGE_FORMAT_KEY = "format"
# Window starts, in Unix epoch seconds, are zero-padded to this length so that keys sort by time.
WINDOW_DIGITS = 12
# With more windows than this in memory, the counts of the oldest are added to the next as late.
MAX_PENDING_WINDOWS = 240
# How long deltas are retained after the end of their window.
DELTA_RETENTION_S = 3600.0


class UsageCount(NamedTuple):
    """The usage of one request."""

    customer: str
    service: str
    requests: int
    prompt_tokens: int
    output_tokens: int


class UsageFigures(NamedTuple):
    """A customer's usage in a window. `late_requests` of the `requests` ran in earlier windows."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    late_requests: int = 0

    @classmethod
    def from_count(cls, count: UsageCount) -> "UsageFigures":
        return cls(count.requests, count.prompt_tokens, count.output_tokens)

    @classmethod
    def from_value(cls, value: Mapping[str, int]) -> "UsageFigures":
        return cls(**{name: value.get(name, 0) for name in cls._fields})

    def plus(self, other: "UsageFigures") -> "UsageFigures":
        return UsageFigures(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def as_late(self) -> "UsageFigures":
        """Return the same usage with all requests marked as late."""
        return self._replace(late_requests=self.requests)


CustomerFigures = dict[str, UsageFigures]


def add_figures(total: CustomerFigures, more: Mapping[str, UsageFigures]) -> None:
    """Add the figures of each customer to `total`."""
    for customer, figures in more.items():
        total[customer] = total.get(customer, UsageFigures()).plus(figures)


def figures_to_value(figures: Mapping[str, UsageFigures]) -> dict[str, dict[str, int]]:
    """Return figures by customer as the JSON value of a row."""
    return {customer: item._asdict() for customer, item in sorted(figures.items())}


def figures_from_value(value: Mapping[str, Any]) -> CustomerFigures:
    """Decode the output of `figures_to_value`."""
    return {customer: UsageFigures.from_value(item) for customer, item in value.items()}


def count_requests(figures: Iterable[Mapping[str, UsageFigures]]) -> int:
    """Return the number of requests of all customers in several sets of figures."""
    return sum(item.requests for by_customer in figures for item in by_customer.values())


class WindowShard(NamedTuple):
    """One shard of a usage window. `window` is the start of the window in Unix epoch seconds."""

    window: int
    shard: int

    @property
    def key(self) -> str:
        return f"{self.window:0{WINDOW_DIGITS}d}:{self.shard}"

    @property
    def label(self) -> str:
        """The name of the window in usage reports."""
        return f"{self.window:0{WINDOW_DIGITS}d}"

    @classmethod
    def from_key(cls, key: str) -> "WindowShard":
        window, shard = key.split(":")[:2]
        return cls(int(window), int(shard))


def window_start(wall: float, window_s: int) -> int:
    """Return the start of the window that contains a time, both in Unix epoch seconds."""
    return int(wall) // window_s * window_s


def customer_shard(customer: str, shards: int) -> int:
    """Return a customer's shard. All processes must use the same number of shards."""
    return zlib.crc32(customer.encode()) % shards


class WindowState(StrEnum):
    """The state of a closed window. It only moves forward; no state accepts further deltas."""

    CLOSING = "closing"
    SEALED = "sealed"
    REPORTED = "reported"


class UsageBatch(NamedTuple):
    """Deltas that are flushed in one transaction. Not modified after the first send."""

    sequence: int
    deltas: dict[WindowShard, CustomerFigures]


class UsageDeltas:
    """The usage counts of a gateway until they are flushed as deltas. Performs no I/O.

    A batch stays unchanged until its outcome is known, so that sending it again cannot count usage
    twice.

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
        self._pending: dict[WindowShard, CustomerFigures] = {}
        self._batch: UsageBatch | None = None

    @property
    def is_empty(self) -> bool:
        """Whether all counts are known to be stored."""
        return not self._pending and self._batch is None

    @property
    def requests(self) -> int:
        """The number of requests whose counts are not known to be stored."""
        in_batch = self._batch.deltas.values() if self._batch is not None else ()
        return count_requests(self._pending.values()) + count_requests(in_batch)

    @property
    def batch(self) -> UsageBatch | None:
        """The batch whose outcome is unknown, or None."""
        return self._batch

    def count(self, count: UsageCount, wall: float) -> None:
        """Add a request's usage to the window that contains `wall`, in Unix epoch seconds."""
        window = window_start(wall, self._window_s)
        window_shard = WindowShard(window, customer_shard(count.customer, self._shards))
        self._add(window_shard, {count.customer: UsageFigures.from_count(count)})

    def next_batch(self) -> UsageBatch | None:
        """Return the batch to send: the unresolved one, else all pending counts, or None."""
        if self._batch is None and self._pending:
            self._sequence += 1
            self._batch, self._pending = UsageBatch(self._sequence, self._pending), {}
        return self._batch

    def delta_key(self, batch: UsageBatch, window_shard: WindowShard) -> str:
        """Return the row key of a batch's delta for one window shard."""
        return f"{window_shard.key}:{self._node}:{self._boot}:{batch.sequence:09d}"

    def transaction(self, batch: UsageBatch) -> tuple[list[Check], list[Write]]:
        """Return the checks and writes that store a batch.

        The checks fail if a window is closed or a delta of the batch is already stored.
        """
        checks, writes = [], []
        for window_shard, figures in batch.deltas.items():
            key = self.delta_key(batch, window_shard)
            checks += [Check(WINDOW_TABLE, window_shard.key, 0), Check(DELTA_TABLE, key, 0)]
            writes.append(Write(DELTA_TABLE, key, {"customers": figures_to_value(figures)}))
        return checks, writes

    def on_stored(self, batch: UsageBatch) -> None:
        """Record that the batch took effect."""
        if self._batch is batch:
            self._batch = None

    def on_rejected(self, batch: UsageBatch, closed: Iterable[WindowShard]) -> None:
        """Record that the batch can no longer take effect because some windows are closed.

        Their counts are added to the next window as late; the others go into the next batch.
        """
        if self._batch is not batch:
            return
        self._batch = None
        closed_shards = set(closed)
        for window_shard, figures in batch.deltas.items():
            if window_shard in closed_shards:
                self._add_late(window_shard, figures)
            else:
                self._add(window_shard, figures)

    def _add(self, window_shard: WindowShard, figures: Mapping[str, UsageFigures]) -> None:
        add_figures(self._pending.setdefault(window_shard, {}), figures)
        windows = {pending.window for pending in self._pending}
        if len(windows) > MAX_PENDING_WINDOWS:
            oldest = min(windows)
            for oldest_shard in [pending for pending in self._pending if pending.window == oldest]:
                self._add_late(oldest_shard, self._pending.pop(oldest_shard))

    def _add_late(self, window_shard: WindowShard, figures: Mapping[str, UsageFigures]) -> None:
        next_window = window_shard._replace(window=window_shard.window + self._window_s)
        late = {customer: item.as_late() for customer, item in figures.items()}
        add_figures(self._pending.setdefault(next_window, {}), late)


def sum_deltas(rows: Iterable[Row]) -> CustomerFigures:
    """Return the sum of the deltas of one window shard, by customer."""
    total: CustomerFigures = {}
    for row in rows:
        add_figures(total, figures_from_value(row.value["customers"]))
    return total
