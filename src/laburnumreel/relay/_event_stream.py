"""Splitting of a byte stream into whole server-sent events."""

from typing import NamedTuple

# Larger events are rejected; engines send a few tokens at a time.
MAX_EVENT_BYTES = 1 << 20
# Fields that mean nothing to the caller without data.
_FIELDS_WITHOUT_CONTENT = (b"event", b"retry")

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
    """Splits the bytes of a stream into whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [StreamEvent(raw=b'id: 1\\ndata: a\\n\\n', id='1', is_progress=True)]
    >>> splitter.incomplete_event
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete_event(self) -> bytes:
        """The beginning of an event whose end has not arrived yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises ValueError if an event is larger than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        while True:
            end = self._event_end()
            if end is None:
                break
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse_event(raw))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def clear(self) -> None:
        """Drop the beginning of an event, also where an error's traceback refers to the splitter."""
        self._buffer = b""

    def _event_end(self) -> int | None:
        ends = [
            at + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (at := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=None)


def _parse_event(raw: bytes) -> StreamEvent:
    event_id, is_progress = None, False
    for line in raw.split(b"\n"):
        name, colon, value = line.partition(b":")
        if name.strip() in (b"id", b"data"):
            is_progress = True
        if colon and name == b"id":
            # Callers use the last id of an event.
            event_id = value.strip().decode("latin-1")
    return StreamEvent(raw, event_id, is_progress)
