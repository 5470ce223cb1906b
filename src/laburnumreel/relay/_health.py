"""How backend servers behave, judged by the answers that requests get."""

import math
from collections.abc import Callable, Mapping

# Weight of one result in the moving averages: about the last eight results count.
RESULT_WEIGHT = 0.12
# A backend server that gets no requests is given the benefit of the doubt after this time constant.
DECAY_S = 8.0
# A backend server that cannot be connected to is left alone for this time, doubled for each further
# failure up to the limit.
INITIAL_BACKOFF_S = 0.7
MAX_BACKOFF_S = 6.0
# Before anything was measured: milliseconds to read a prompt token at an engine that only reads,
# and milliseconds of work of a plain request.
INITIAL_READ_MS = 0.013
INITIAL_PLAIN_MS = 60.0
# A single measurement moves the average at most by this factor, so that one hung answer does not
# take a backend server out.
MAX_SAMPLE_FACTOR = 4.0


class _Record:
    """What is known of one backend server."""

    __slots__ = ("failure_share", "updated_at", "plain_ms", "read_ms", "backoff_until", "backoffs")

    def __init__(self, read_ms: float, plain_ms: float, now: float) -> None:
        self.failure_share = 0.0
        self.updated_at = now
        self.read_ms = read_ms
        self.plain_ms = plain_ms
        self.backoffs = 0
        self.backoff_until = float("-inf")


class HealthTracker:
    """Moving averages of failures and speed, and rests after failed connections.

    >>> health = HealthTracker()
    >>> health.record_unreachable("b1", now=0.0)
    >>> health.is_in_backoff("b1", now=0.1), health.is_in_backoff("b1", now=1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._read_ms = INITIAL_READ_MS
        self._plain_ms = INITIAL_PLAIN_MS
        self._peer_backoffs: dict[str, float] = {}

    def record_result(self, back_end: str, failed: bool, now: float) -> None:
        """Count a request that ended well or failed at a backend server."""
        record = self._record(back_end, now)
        record.failure_share *= _decay(record, now)
        record.updated_at = now
        record.failure_share += RESULT_WEIGHT * ((1.0 if failed else 0.0) - record.failure_share)
        if not failed:
            record.backoffs = 0
            record.backoff_until = float("-inf")

    def record_unreachable(self, back_end: str, now: float) -> None:
        """Count a connection that could not be opened, or went silent."""
        record = self._record(back_end, now)
        if now < record.backoff_until:
            # Further requests met the same silence.
            return
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**record.backoffs)
        record.backoffs += 1
        record.backoff_until = now + backoff_s

    def back_off(self, back_end: str, until: float, now: float) -> None:
        """Let a backend server rest until a time."""
        record = self._record(back_end, now)
        record.backoff_until = max(record.backoff_until, until)

    def on_peer_backoff(self, back_end: str, until: float) -> None:
        """Take a peer's word that a backend server cannot be reached."""
        self._peer_backoffs[back_end] = until

    def is_in_backoff(self, back_end: str, now: float) -> bool:
        """Return whether a backend server should get no requests for now."""
        record = self._records.get(back_end)
        if record is not None and now < record.backoff_until:
            return True
        return now < self._peer_backoffs.get(back_end, now)

    def backoffs(self, now: float) -> Mapping[str, float]:
        """Return how many seconds each backend server that this host found silent rests."""
        return {
            name: record.backoff_until - now
            for name, record in self._records.items()
            if record.backoff_until > now
        }

    def failure_share(self, back_end: str, now: float) -> float:
        """Return the share of recent requests that failed."""
        record = self._records.get(back_end)
        return record.failure_share * _decay(record, now) if record is not None else 0.0

    def estimates(self, back_end: str, now: float) -> tuple[float, float, float]:
        """Return the share of recent requests that failed, and the milliseconds that an engine needs
        for a prompt token and that a plain request takes."""
        record = self._records.get(back_end)
        if record is None:
            return 0.0, self._read_ms, self._plain_ms
        decay = _decay(record, now)
        return (
            record.failure_share * decay,
            self._read_ms + decay * (record.read_ms - self._read_ms),
            self._plain_ms + decay * (record.plain_ms - self._plain_ms),
        )

    def record_read_time(self, back_end: str, tokens: int, took_ms: float, now: float) -> None:
        """Count that an engine read `tokens`, those queued before included, in a time."""
        record = self._record(back_end, now)
        sample = min(took_ms / max(1, tokens), MAX_SAMPLE_FACTOR * record.read_ms)
        record.read_ms += RESULT_WEIGHT * (sample - record.read_ms)
        self._read_ms += RESULT_WEIGHT / 4 * (sample - self._read_ms)

    def read_ms(self, back_end: str, now: float) -> float:
        """Return the milliseconds that an engine needs for a prompt token."""
        record = self._records.get(back_end)
        if record is None:
            return self._read_ms
        return self._read_ms + _decay(record, now) * (record.read_ms - self._read_ms)

    def record_plain_time(self, back_end: str, took_ms: float, now: float) -> None:
        """Count how long a plain request took."""
        record = self._record(back_end, now)
        sample = min(took_ms, MAX_SAMPLE_FACTOR * record.plain_ms)
        record.plain_ms += RESULT_WEIGHT * (sample - record.plain_ms)
        self._plain_ms += RESULT_WEIGHT / 4 * (sample - self._plain_ms)

    def plain_ms(self, back_end: str, now: float) -> float:
        """Return the milliseconds that a plain request takes."""
        record = self._records.get(back_end)
        if record is None:
            return self._plain_ms
        return self._plain_ms + _decay(record, now) * (record.plain_ms - self._plain_ms)

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Forget the backend servers that are not known any more."""
        for name in [name for name in self._records if not is_known(name)]:
            del self._records[name]
        for name in [name for name in self._peer_backoffs if not is_known(name)]:
            del self._peer_backoffs[name]

    def _record(self, back_end: str, now: float) -> _Record:
        record = self._records.get(back_end)
        if record is None:
            record = self._records[back_end] = _Record(self._read_ms, self._plain_ms, now)
        return record


def _decay(record: _Record, now: float) -> float:
    """Return how much of what is known of a backend server still counts."""
    return math.exp(min(0.0, record.updated_at - now) / DECAY_S)
