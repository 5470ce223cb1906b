"""Task that writes a gateway's usage deltas to the store."""

from collections import OrderedDict

from laburnumreel.coordination._events import (
    USAGE_CLOSED_WINDOW,
    USAGE_FLUSH_FAILED,
    USAGE_LOST,
    USAGE_OUTCOME_UNKNOWN,
)
from laburnumreel.coordination._metrics import (
    USAGE_FLUSHES,
    USAGE_LATE_REQUESTS,
    USAGE_UNCERTAIN_REQUESTS,
)
from laburnumreel.coordination._usage_format import UsageFormatGuard
from laburnumreel.core import Clock, Log, Task
from laburnumreel.state import (
    DELTA_RETENTION_S,
    DELTA_TABLE,
    WINDOW_TABLE,
    Platform,
    PlatformError,
    Settings,
    UsageBatch,
    UsageCount,
    UsageDeltas,
    UsageSettings,
    WindowShard,
    count_requests,
)

# A request is counted at its end. If it is counted again, that happens soon after, so remembering
# the most recent request ids suffices.
MAX_REMEMBERED_REQUESTS = 100_000
# A flush without a response needs a second one, and usage of closed windows one for each window.
MAX_FINAL_FLUSHES = 4

_log = Log("coordination.usage_flush")


class CountMessage(tuple):
    """Message with the usage of one request: request id, count and wall-clock time."""


class UsageFlusher(Task):
    """Collects the usage of a gateway's requests and flushes it every `flush_s`."""

    def __init__(
        self,
        platform: Platform,
        node: str,
        boot: str,
        settings: UsageSettings,
        clock: Clock,
        retention_s: float = DELTA_RETENTION_S,
    ) -> None:
        super().__init__("usage-flush", settings.flush_s)
        self._platform = platform
        self._clock = clock
        self._deltas = UsageDeltas(node, boot, settings.window_s, settings.shards)
        self._format_guard = UsageFormatGuard(platform, settings, clock)
        self._counted_requests: OrderedDict[str, None] = OrderedDict()
        self._is_failing = False
        # Half of the retention time, because the wall clocks of gateways and coordinators differ.
        self._safe_retention_s = settings.window_s + retention_s / 2
        self._unanswered_sequence = 0

    @classmethod
    def from_settings(
        cls, settings: Settings, platform: Platform, boot: str, clock: Clock
    ) -> "UsageFlusher":
        return cls(platform, settings.node.name, boot, settings.usage, clock)

    @property
    def has_format_mismatch(self) -> bool:
        """Whether the usage settings are known to differ from those in the store."""
        return self._format_guard.is_mismatched

    def count(self, request_id: str, count: UsageCount) -> None:
        """Count the usage of a request. Each request id is counted only once."""
        self.tell(CountMessage((request_id, count, self._clock.wall())))

    def flush_all(self, timeout_s: float) -> bool:
        """Flush until no deltas are left and return whether that succeeded within `timeout_s`."""
        return self.ask_until_true("flush", timeout_s)

    def handle(self, message: object) -> bool | None:
        match message:
            case CountMessage():
                return self._count_once(*message)
            case "flush":
                self.flush()
                return self._deltas.is_empty
        return super().handle(message)

    def tick(self) -> None:
        self.flush()

    def close(self) -> None:
        """Write the usage of requests that ended after `flush_all`, or log that it is lost."""
        for _ in range(MAX_FINAL_FLUSHES):
            if self._deltas.is_empty:
                return
            self.flush()
        if not self._deltas.is_empty:
            _log.error(USAGE_LOST, requests=self._deltas.requests)

    def flush(self) -> None:
        """Write the next batch to the store and handle the result."""
        has_agreement = self._format_guard.ensure_agreement()
        batch = self._deltas.next_batch() if has_agreement else None
        if batch is None:
            return
        checks, writes = self._deltas.transaction(batch)
        result = self._platform.transact([self._format_guard.check, *checks], writes)
        USAGE_FLUSHES.inc(outcome="stored" if result.is_ok() else result.error.kind)
        if result.is_ok():
            self._deltas.on_stored(batch)
        elif result.error.kind == "conflict":
            self._on_conflict(batch, result.error)
        else:
            # The same batch is sent again. If it took effect, its rows make the repeat conflict.
            if result.error.kind == "lost":
                self._unanswered_sequence = batch.sequence
            self._log_failure(result.error)
            return
        self._is_failing = False

    def _on_conflict(self, batch: UsageBatch, error: PlatformError) -> None:
        failed_rows = error.rows
        self._format_guard.on_write_failure(error)
        keys = [self._deltas.delta_key(batch, window_shard) for window_shard in batch.deltas]
        if any(failed_rows.get((DELTA_TABLE, key)) is not None for key in keys):
            # A batch is written atomically, so one of its rows proves that it was stored before.
            self._deltas.on_stored(batch)
            return
        closed_windows: list[WindowShard] = [
            window_shard
            for window_shard in batch.deltas
            if failed_rows.get((WINDOW_TABLE, window_shard.key)) is not None
        ]
        if not closed_windows:
            self._log_failure(error)
            return
        row = self._platform.read(DELTA_TABLE, keys[0])
        if row.is_error():
            self._log_failure(row.error)
            return
        if row.ok is not None:
            self._deltas.on_stored(batch)
            return
        oldest = min(window_shard.window for window_shard in batch.deltas)
        if (
            self._unanswered_sequence == batch.sequence
            and self._clock.wall() >= oldest + self._safe_retention_s
        ):
            self._drop_batch(batch)
            return
        # A closed window is never reopened, so no earlier copy of the batch can take effect now.
        self._deltas.on_rejected(batch, closed_windows)
        late_requests = count_requests(
            batch.deltas[window_shard] for window_shard in closed_windows
        )
        USAGE_LATE_REQUESTS.inc(late_requests)
        _log.info(
            USAGE_CLOSED_WINDOW,
            windows=[window_shard.key for window_shard in closed_windows],
            requests=late_requests,
        )

    def _drop_batch(self, batch: UsageBatch) -> None:
        """Discard a batch that may have taken effect, because usage must not be counted twice."""
        requests = count_requests(batch.deltas.values())
        USAGE_UNCERTAIN_REQUESTS.inc(requests)
        _log.error(USAGE_OUTCOME_UNKNOWN, requests=requests)
        self._deltas.on_stored(batch)

    def _count_once(self, request_id: str, count: UsageCount, wall: float) -> None:
        if request_id in self._counted_requests:
            return
        self._counted_requests[request_id] = None
        if len(self._counted_requests) > MAX_REMEMBERED_REQUESTS:
            self._counted_requests.popitem(last=False)
        self._deltas.count(count, wall)

    def _log_failure(self, error: PlatformError) -> None:
        if not self._is_failing:
            _log.warning(USAGE_FLUSH_FAILED, kind=error.kind, error=error.detail)
        self._is_failing = True
