"""How backend servers behave, judged by the answers that requests get."""

import math
from collections.abc import Callable, Mapping

# Weight of one result in the moving averages: about the last eight results count.
RESULT_WEIGHT = 0.12
# A backend server that gets no requests is given the benefit of the doubt after this time constant.
FORGIVE_S = 8.0
# A backend server that cannot be connected to is left alone for this time, doubled for each further
# failure up to the limit.
FIRST_REST_S = 0.7
LONGEST_REST_S = 6.0
# Before anything was measured: milliseconds to read a prompt token at an engine that only reads,
# and milliseconds of work of a plain request.
INITIAL_READ_MS = 0.013
INITIAL_PLAIN_MS = 60.0
# A single measurement moves the average at most by this factor, so that one hung answer does not
# take a backend server out.
MOST_SLOWER = 4.0


class _Record:
    """What is known of one backend server."""

    __slots__ = ("failures", "judged_at", "plain_ms", "read_ms", "rest_until", "rests")

    def __init__(self, read_ms: float, plain_ms: float, now: float) -> None:
        self.failures = 0.0
        self.judged_at = now
        self.read_ms = read_ms
        self.plain_ms = plain_ms
        self.rests = 0
        self.rest_until = float("-inf")


class Conduct:
    """Moving averages of failures and speed, and rests after failed connections.

    >>> conduct = Conduct()
    >>> conduct.unreachable("b1", now=0.0)
    >>> conduct.resting("b1", now=0.1), conduct.resting("b1", now=1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._read_ms = INITIAL_READ_MS
        self._plain_ms = INITIAL_PLAIN_MS
        self._told: dict[str, float] = {}

    def ended(self, back_end: str, failed: bool, now: float) -> None:
        """Count a request that ended well or failed at a backend server."""
        record = self._record(back_end, now)
        record.failures *= _fade(record, now)
        record.judged_at = now
        record.failures += RESULT_WEIGHT * ((1.0 if failed else 0.0) - record.failures)
        if not failed:
            record.rests = 0
            record.rest_until = float("-inf")

    def unreachable(self, back_end: str, now: float) -> None:
        """Count a connection that could not be opened, or went silent."""
        record = self._record(back_end, now)
        if now < record.rest_until:
            # Further requests met the same silence.
            return
        rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2**record.rests)
        record.rests += 1
        record.rest_until = now + rest_s

    def rest(self, back_end: str, until: float, now: float) -> None:
        """Let a backend server rest until a time."""
        record = self._record(back_end, now)
        record.rest_until = max(record.rest_until, until)

    def told(self, back_end: str, until: float) -> None:
        """Take a peer's word that a backend server cannot be reached."""
        self._told[back_end] = until

    def resting(self, back_end: str, now: float) -> bool:
        """Return whether a backend server should get no requests for now."""
        record = self._records.get(back_end)
        if record is not None and now < record.rest_until:
            return True
        return now < self._told.get(back_end, now)

    def rests(self, now: float) -> Mapping[str, float]:
        """Return how many seconds each backend server that this host found silent rests."""
        return {
            name: record.rest_until - now
            for name, record in self._records.items()
            if record.rest_until > now
        }

    def failure_share(self, back_end: str, now: float) -> float:
        """Return the share of recent requests that failed."""
        record = self._records.get(back_end)
        return record.failures * _fade(record, now) if record is not None else 0.0

    def figures(self, back_end: str, now: float) -> tuple[float, float, float]:
        """Return the share of recent requests that failed, and the milliseconds that an engine needs
        for a prompt token and that a plain request takes."""
        record = self._records.get(back_end)
        if record is None:
            return 0.0, self._read_ms, self._plain_ms
        fade = _fade(record, now)
        return (
            record.failures * fade,
            self._read_ms + fade * (record.read_ms - self._read_ms),
            self._plain_ms + fade * (record.plain_ms - self._plain_ms),
        )

    def read(self, back_end: str, tokens: int, took_ms: float, now: float) -> None:
        """Count that an engine read `tokens`, those queued before included, in a time."""
        record = self._record(back_end, now)
        sample = min(took_ms / max(1, tokens), MOST_SLOWER * record.read_ms)
        record.read_ms += RESULT_WEIGHT * (sample - record.read_ms)
        self._read_ms += RESULT_WEIGHT / 4 * (sample - self._read_ms)

    def read_ms(self, back_end: str, now: float) -> float:
        """Return the milliseconds that an engine needs for a prompt token."""
        record = self._records.get(back_end)
        if record is None:
            return self._read_ms
        return self._read_ms + _fade(record, now) * (record.read_ms - self._read_ms)

    def worked(self, back_end: str, took_ms: float, now: float) -> None:
        """Count how long a plain request took."""
        record = self._record(back_end, now)
        sample = min(took_ms, MOST_SLOWER * record.plain_ms)
        record.plain_ms += RESULT_WEIGHT * (sample - record.plain_ms)
        self._plain_ms += RESULT_WEIGHT / 4 * (sample - self._plain_ms)

    def plain_ms(self, back_end: str, now: float) -> float:
        """Return the milliseconds that a plain request takes."""
        record = self._records.get(back_end)
        if record is None:
            return self._plain_ms
        return self._plain_ms + _fade(record, now) * (record.plain_ms - self._plain_ms)

    def keep_only(self, known: Callable[[str], bool]) -> None:
        """Forget the backend servers that are not known any more."""
        for name in [name for name in self._records if not known(name)]:
            del self._records[name]
        for name in [name for name in self._told if not known(name)]:
            del self._told[name]

    def _record(self, back_end: str, now: float) -> _Record:
        record = self._records.get(back_end)
        if record is None:
            record = self._records[back_end] = _Record(self._read_ms, self._plain_ms, now)
        return record


def _fade(record: _Record, now: float) -> float:
    """Return how much of what is known of a backend server still counts."""
    return math.exp(min(0.0, record.judged_at - now) / FORGIVE_S)
