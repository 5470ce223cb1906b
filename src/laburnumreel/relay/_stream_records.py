"""The software that began each stream, as this host and its peers know it."""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

# The most streams that are remembered; the oldest are forgotten first.
MAX_STREAMS = 20_000
# Bytes of the key of a stream.
KEY_BYTES = 12


class StreamRecord(NamedTuple):
    """The version of the software that began a stream, and when the stream can't live any more.

    `is_own` tells whether this host has sent the caller events of the stream.
    """

    service: str
    software: str
    until: float
    is_own: bool


def stream_key(customer: str, service: str, request_id: str) -> bytes:
    """Return the key of a stream, which its first request names.

    Callers choose the ids of their requests, and different customers may choose the same ones.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (customer, service, request_id):
        digest.update(part.encode("utf-8", "replace") + b"\0")
    return digest.digest()


class StreamRecords:
    """The streams that callers may still take up.

    >>> records = StreamRecords()
    >>> records.add_own(b"key", StreamRecord("quotes", "v1", 10.0, True))
    >>> records.software(b"key", now=9.0), records.software(b"key", now=10.0)
    ('v1', None)
    """

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._records: dict[bytes, StreamRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add_own(self, stream: bytes, record: StreamRecord) -> None:
        """Add a stream of which this host is about to send its caller an event."""
        self._put(stream, record)

    def add_from_peer(self, stream: bytes, record: StreamRecord, now: float) -> None:
        """Add a stream that a peer knows.

        Where two hosts name different versions, callers have used an id twice, and it isn't known
        which of the streams a take-up means.
        """
        known = self._records.get(stream)
        if known is None or now >= known.until:
            self._put(stream, record)
        elif known.software != record.software:
            self._put(stream, known._replace(software="", until=max(known.until, record.until)))
        elif record.until > known.until:
            self._put(stream, known._replace(until=record.until))

    def software(self, stream: bytes, now: float) -> str | None:
        """Return the version that began a stream, empty if it can't be told, None if unknown."""
        record = self._records.get(stream)
        return record.software if record is not None and now < record.until else None

    def remaining_s(self, stream: bytes, now: float) -> float:
        """Return for how many more seconds a known stream may live."""
        return self._records[stream].until - now

    def own(self, service: str, now: float) -> Iterator[tuple[bytes, StreamRecord]]:
        """Yield the live streams of a service that this host has sent events of."""
        for stream, record in self._records.items():
            if record.is_own and record.service == service and now < record.until:
                yield stream, record

    def forget_old(self, now: float) -> None:
        """Forget the streams that can't live any more."""
        for stream in [each for each, record in self._records.items() if now >= record.until]:
            del self._records[stream]

    def _put(self, stream: bytes, record: StreamRecord) -> None:
        # Inserted again, so that the oldest come first.
        self._records.pop(stream, None)
        self._records[stream] = record
        if len(self._records) > self._max_streams:
            del self._records[next(iter(self._records))]
