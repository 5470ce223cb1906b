"""Server-sent events, cut into whole ones."""

from typing import NamedTuple

# An event larger than this is not passed on; engines send a few tokens at a time.
MOST_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """An event as it came, with its blank line, and its id if it has one."""

    raw: bytes
    id: str | None


class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [StreamEvent(raw=b'id: 1\\ndata: a\\n\\n', id='1')]
    >>> splitter.rest
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The beginning of an event whose end has not come."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that are whole now. Too large an event: ValueError."""
        self._rest += data
        events = []
        while True:
            end = self._end()
            if end is None:
                break
            raw, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(raw, _event_id(raw)))
        if len(self._rest) > MOST_EVENT_BYTES:
            raise ValueError(f"an event is larger than {MOST_EVENT_BYTES} bytes")
        return events

    def _end(self) -> int | None:
        ends = [
            at + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (at := self._rest.find(mark)) >= 0
        ]
        return min(ends, default=None)


def _event_id(raw: bytes) -> str | None:
    for line in raw.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            return value.strip().decode("latin-1")
    return None
