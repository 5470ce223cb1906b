"""Health of backend servers, derived from the answers to requests."""

import math
from collections.abc import Callable, Mapping

# Weight of one result in the moving averages; about the last eight results count.
RESULT_WEIGHT = 0.12
# Time constant with which measurements lose weight, so that a backend server that gets no requests
# is tried again.
DECAY_S = 8.0
# Initial backoff after a failed connection, doubled for each further failure up to the limit.
INITIAL_BACKOFF_S = 0.7
MAX_BACKOFF_S = 6.0
# Estimates before anything was measured: milliseconds per prompt token at an engine that only reads
# prompts, and milliseconds of work of a plain request.
INITIAL_READ_MS = 0.013
INITIAL_PLAIN_MS = 60.0
# A measurement is capped at this multiple of the average, so that one hung answer does not
# disable a backend server.
MAX_SAMPLE_FACTOR = 4.0


class _Record:
    """Measurements and backoff of one backend server."""

    __slots__ = (
        "failure_share",
        "updated_at",
        "plain_ms",
        "read_ms",
        "backoff_until",
        "backoffs",
        "unreachable_since",
    )

    def __init__(self, read_ms: float, plain_ms: float, now: float) -> None:
        self.failure_share = 0.0
        self.updated_at = now
        self.read_ms = read_ms
        self.plain_ms = plain_ms
        self.backoffs = 0
        self.backoff_until = float("-inf")
        # When the connection failed that began the backoff; backoffs for other reasons have none.
        self.unreachable_since = float("-inf")


class HealthTracker:
    """Moving averages of failures and speed, and backoffs after failed connections.

    >>> health = HealthTracker()
    >>> health.record_unreachable("b1", now=0.0)
    True
    >>> health.is_in_backoff("b1", now=0.1), health.is_in_backoff("b1", now=1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._read_ms = INITIAL_READ_MS
        self._plain_ms = INITIAL_PLAIN_MS
        self._peer_backoffs: dict[str, float] = {}

    def record_result(self, back_end: str, failed: bool, now: float) -> None:
        """Record a request that succeeded or failed at a backend server."""
        record = self._record(back_end, now)
        record.failure_share *= _decay(record, now)
        record.updated_at = now
        record.failure_share += RESULT_WEIGHT * ((1.0 if failed else 0.0) - record.failure_share)
        if not failed:
            record.backoffs = 0
            record.backoff_until = float("-inf")
            self._peer_backoffs.pop(back_end, None)

    def record_unreachable(self, back_end: str, now: float) -> bool:
        """Record a connection that could not be opened or became silent, and start a backoff.

        Returns False if the backend server is in a backoff already.
        """
        record = self._record(back_end, now)
        if now < record.backoff_until:
            # Other requests failed for the same reason; count it only once.
            return False
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**record.backoffs)
        record.backoffs += 1
        record.backoff_until = now + backoff_s
        record.unreachable_since = now
        return True

    def back_off(self, back_end: str, until: float, now: float) -> None:
        """Avoid a backend server at least until a time."""
        record = self._record(back_end, now)
        record.backoff_until = max(record.backoff_until, until)

    def on_peer_backoff(self, back_end: str, until: float) -> None:
        """Record that a peer could not reach a backend server."""
        self._peer_backoffs[back_end] = until

    def is_in_backoff(self, back_end: str, now: float) -> bool:
        """Return whether a backend server should currently get no requests."""
        record = self._records.get(back_end)
        if record is not None and now < record.backoff_until:
            return True
        return now < self._peer_backoffs.get(back_end, now)

    def backoffs(self, now: float, unreachable_until: float = float("inf")) -> Mapping[str, float]:
        """Return the remaining backoff in seconds of each server that this host avoids.

        Those that could not be reached after `unreachable_until` are left out.
        """
        return {
            name: record.backoff_until - now
            for name, record in self._records.items()
            if record.backoff_until > now and record.unreachable_since <= unreachable_until
        }

    def end_backoffs_since(self, since: float) -> None:
        """Forget the connections that failed from a time on, which was not the servers' fault."""
        for record in self._records.values():
            if record.unreachable_since >= since:
                record.backoffs = 0
                record.backoff_until = record.unreachable_since = float("-inf")

    def failure_share(self, back_end: str, now: float) -> float:
        """Return the share of recent requests that failed."""
        record = self._records.get(back_end)
        return record.failure_share * _decay(record, now) if record is not None else 0.0

    def estimates(self, back_end: str, now: float) -> tuple[float, float, float]:
        """Return the estimates of a backend server, as placement uses them.

        These are the share of recent requests that failed, the milliseconds per prompt token, and
        the milliseconds that a plain request takes.
        """
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
        """Record the time in which an engine read `tokens`, including those queued before."""
        record = self._record(back_end, now)
        sample = min(took_ms / max(1, tokens), MAX_SAMPLE_FACTOR * record.read_ms)
        record.read_ms += RESULT_WEIGHT * (sample - record.read_ms)
        self._read_ms += RESULT_WEIGHT / 4 * (sample - self._read_ms)

    def read_ms(self, back_end: str, now: float) -> float:
        """Return the milliseconds per prompt token of an engine."""
        record = self._records.get(back_end)
        if record is None:
            return self._read_ms
        return self._read_ms + _decay(record, now) * (record.read_ms - self._read_ms)

    def record_plain_time(self, back_end: str, took_ms: float, now: float) -> None:
        """Record how long a plain request took."""
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

    def on_restart(self, back_end: str) -> None:
        """Forget the backoffs of a backend server whose process was replaced by a new one."""
        self._peer_backoffs.pop(back_end, None)
        record = self._records.get(back_end)
        if record is not None:
            record.backoffs = 0
            record.backoff_until = float("-inf")

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Forget the backend servers that are no longer known."""
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
    """Return the weight, from 0 to 1, that the measurements of a backend server still have."""
    return math.exp(min(0.0, record.updated_at - now) / DECAY_S)
