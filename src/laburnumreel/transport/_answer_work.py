"""Bounds on the work of one answer: a faulty server may send more parts than bytes would tell."""

import time
from collections.abc import Callable

# Heads of one answer: interim ones, those of answers to earlier requests, and its own. HTTP does
# not limit interim heads; servers send one or two, or one in some seconds while a request runs.
MAX_HEADS = 16
HEADS_PER_S = 1.0

# Chunks of one answer: a number, and more for the bytes that they carry and per second. A chunk
# with the shortest event that has an id carries more; single bytes come from typewriters.
MAX_CHUNKS = 4096
BYTES_PER_CHUNK = 12
CHUNKS_PER_S = 100.0
# A chunk with a longer size line counts as several.
LINE_BYTES_PER_CHUNK = 256

# Whole events of one answer: a number, more for each token that it may have, and per second.
MAX_EVENTS = 512
EVENTS_PER_TOKEN = 4
EVENTS_PER_S = 50.0
# Assumed for a request that states no maximum of output tokens.
UNSTATED_OUTPUT_TOKENS = 32 * 1024
# An event with more lines counts as several.
LINES_PER_EVENT = 16
# Comments and empty events of one answer: a number, more for each event with content, and per second.
MAX_COMMENTS = 256
COMMENTS_PER_EVENT = 2
RECEIVED_COMMENTS_PER_S = 32.0


class CostlyAnswerError(OSError):
    """An answer has more parts of a kind, such as heads or chunks, than a sound one has."""

    def __init__(self, unit: str, count: int) -> None:
        super().__init__(f"an answer has {count} {unit}")
        self.unit = unit


class WorkAllowance:
    """The parts of one kind that an answer may have: a number, and more with time.

    The number alone is enough for most answers, so that only long ones need the time. With time,
    a server that sends all day at a low rate is never cut.

    >>> allowance = WorkAllowance("heads", 2, 1.0, clock=iter([0.0, 1.0, 1.5]).__next__)
    >>> for _ in range(4): allowance.spend()
    Traceback (most recent call last):
    ...
    laburnumreel.transport._answer_work.CostlyAnswerError: an answer has 4 heads
    """

    def __init__(
        self,
        unit: str,
        max_count: float,
        per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._unit = unit
        self._max_count = max_count
        self._per_s = per_s
        self._clock = clock
        self._started_at = clock()
        self._count = 0

    def add(self, count: float) -> None:
        """Allow more parts, because of something else that was received."""
        self._max_count += count

    def spend(self, count: int = 1) -> None:
        """Count parts that were received. Raises `CostlyAnswerError` if they are too many."""
        self._count += count
        if self._count > self._max_count:
            elapsed_s = self._clock() - self._started_at
            if self._count > self._max_count + self._per_s * elapsed_s:
                raise CostlyAnswerError(self._unit, self._count)


class AnswerWork:
    """The work of the answer to one request, as far as it is HTTP's framing."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._heads = WorkAllowance("heads", MAX_HEADS, HEADS_PER_S, clock)
        self._chunks = WorkAllowance("chunks", MAX_CHUNKS, CHUNKS_PER_S, clock)

    def count_head(self) -> None:
        """Count a head, before it is parsed. Raises `CostlyAnswerError`."""
        self._heads.spend()

    def count_chunks(self, count: int, size: int, line_bytes: int = 0) -> None:
        """Count chunks with `size` bytes of data. Raises `CostlyAnswerError`.

        The size line, of `line_bytes`, may have been read alone: what its data allows is of use only
        for the next chunk, so after all of it was received.
        """
        self._chunks.spend(count + line_bytes // LINE_BYTES_PER_CHUNK)
        self._chunks.add(size / BYTES_PER_CHUNK)


class EventAllowance:
    """The events and comments that the answer to one request may have.

    An engine sends at least a token with each event, at any rate, so that the request's maximum of
    output tokens bounds the events, whatever their rate.
    """

    def __init__(
        self, max_output_tokens: int = 0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        tokens = max_output_tokens or UNSTATED_OUTPUT_TOKENS
        max_events = MAX_EVENTS + EVENTS_PER_TOKEN * tokens
        self._events = WorkAllowance("events", max_events, EVENTS_PER_S, clock)
        self._comments = WorkAllowance("comments", MAX_COMMENTS, RECEIVED_COMMENTS_PER_S, clock)

    def count(self, lines: int, has_content: bool) -> None:
        """Count an event or, without content, a comment. Raises `CostlyAnswerError`."""
        count = 1 + lines // LINES_PER_EVENT
        if has_content:
            self._events.spend(count)
            self._comments.add(COMMENTS_PER_EVENT)
        else:
            self._comments.spend(count)
