"""Splitting of a byte stream into whole server-sent events."""

from typing import NamedTuple

from laburnumreel.transport import EventAllowance

# Larger events are rejected; engines send a few tokens at a time.
MAX_EVENT_BYTES = 1 << 20
# A stream is not resumed after an event with a longer id, which would be kept until the next one and
# be sent in a header. Ids are numbers or short keys.
MAX_ID_BYTES = 1024
# Fields that mean nothing to the caller without data.
_FIELDS_WITHOUT_CONTENT = (b"event", b"retry")

# What ends an event: a blank line, with either line end.
_LF_END = b"\n\n"
_CRLF_END = b"\r\n\r\n"

# Comments that are passed on at once, and per second after that: keep-alive comments are rare.
MAX_COMMENT_BURST = 16
COMMENTS_PER_S = 2.0


class StreamEvent(NamedTuple):
    """An event as it was received, with its blank line, and its id if it has one.

    `is_progress` is False for comments and empty events, which mean nothing to the caller.
    """

    raw: bytes
    id: str | None
    is_progress: bool = True

    @property
    def is_stray_text(self) -> bool:
        """Whether it is neither an event nor a comment, such as an engine's bare error text.

        >>> StreamEvent(b"out of memory\\n\\n", None, False).is_stray_text
        True
        >>> StreamEvent(b": still here\\nretry: 500\\n\\n", None, False).is_stray_text
        False
        """
        lines = (line.partition(b":")[0].strip() for line in self.raw.splitlines())
        return not self.is_progress and any(
            name and name not in _FIELDS_WITHOUT_CONTENT for name in lines
        )


class CommentRateLimiter:
    """Token bucket that passes enough comments to keep a connection alive."""

    def __init__(self) -> None:
        self._tokens = float(MAX_COMMENT_BURST)
        self._updated_at = float("-inf")

    def try_pass(self, now: float) -> bool:
        """Return whether a comment may be passed on at `now`, and count it if so."""
        self._tokens = min(
            MAX_COMMENT_BURST, self._tokens + COMMENTS_PER_S * (now - self._updated_at)
        )
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventSplitter:
    """Splits the bytes of a stream into whole events, within the `allowance` of the answer.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [StreamEvent(raw=b'id: 1\\ndata: a\\n\\n', id='1', is_progress=True)]
    >>> splitter.incomplete_event
    b'id: 2\\nda'
    """

    def __init__(self, allowance: EventAllowance | None = None) -> None:
        self._allowance = allowance or EventAllowance()
        self._buffer = bytearray()
        # Bytes at the beginning of the buffer in which no event ends.
        self._searched = 0

    @property
    def incomplete_event(self) -> bytes:
        """The beginning of an event whose end has not arrived yet."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """The size of the beginning of an event whose end has not arrived yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Each byte is searched once and copied once, however small the pieces are. Raises ValueError
        if an event is larger than `MAX_EVENT_BYTES`, and `CostlyAnswerError` if there are too many.
        """
        buffer = self._buffer
        buffer += data
        events, begin = [], 0
        lf_at = buffer.find(_LF_END, self._searched)
        crlf_at = buffer.find(_CRLF_END, self._searched)
        while lf_at >= 0 or crlf_at >= 0:
            if crlf_at < 0 or 0 <= lf_at < crlf_at:
                end = lf_at + len(_LF_END)
            else:
                end = crlf_at + len(_CRLF_END)
            event = _parse_event(bytes(buffer[begin:end]))
            self._allowance.count(event.raw.count(b"\n"), event.is_progress)
            events.append(event)
            begin = end
            if 0 <= lf_at < end:
                lf_at = buffer.find(_LF_END, end)
            if 0 <= crlf_at < end:
                crlf_at = buffer.find(_CRLF_END, end)
        del buffer[:begin]
        # The last bytes may be the beginning of a line end.
        self._searched = max(0, len(buffer) - len(_CRLF_END) + 1)
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def clear(self) -> None:
        """Drop the beginning of an event, also where an error's traceback refers to the splitter."""
        self._buffer, self._searched = bytearray(), 0


def _parse_event(raw: bytes) -> StreamEvent:
    event_id, is_progress = None, False
    for line in raw.split(b"\n"):
        name, colon, value = line.partition(b":")
        if name.strip() in (b"id", b"data"):
            is_progress = True
        if colon and name == b"id":
            # Callers use the last id of an event.
            event_id = value.strip().decode("latin-1") if len(value) <= MAX_ID_BYTES else None
    return StreamEvent(raw, event_id, is_progress)
