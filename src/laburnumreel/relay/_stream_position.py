"""Where a stream stands, and whether what another engine sends goes on from there."""

import copy
import re
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from laburnumreel.relay._event_stream import EventSplitter, StreamEvent

_NUMBER = re.compile(r"[0-9]{1,18}")


class NotContinuedError(ValueError):
    """What an engine sends is not the rest of the stream that it was asked to resume."""


class StreamPosition:
    """The last event of a stream that was passed on, over all engines that send it.

    Until the stream is resumed, an engine's events are its own matter. From then on they must go on
    after the last one: by ids that increase, without a gap where the ids before had none, and each
    with an id where all before had one.

    >>> position = StreamPosition()
    >>> passed = position.take([StreamEvent(b"id: 1\\n\\n", "1"), StreamEvent(b"id: 2\\n\\n", "2")])
    >>> position.resume()
    >>> position.take([StreamEvent(b"id: 2\\n\\n", "2")])
    Traceback (most recent call last):
    ...
    laburnumreel.relay._stream_position.NotContinuedError: event 2 came after 2
    """

    def __init__(self, resume_after: str | None = None) -> None:
        self._last_id = resume_after
        # Whether events without an id were passed on after the last id.
        self._beyond_id = False
        # Whether each id was one more than the one before it, from 0 or 1.
        self._by_one = True
        # Whether each event had an id.
        self._all_ids = True
        self._resumed = False
        self._awaits_event = False

    @property
    def last_id(self) -> str | None:
        """The id of the last event with one, or the one after which the caller wants the stream."""
        return self._last_id

    @property
    def can_resume(self) -> bool:
        """Whether the last event that was passed on has an id."""
        return self._last_id is not None and not self._beyond_id

    @property
    def awaits_event(self) -> bool:
        """Whether the stream was resumed and no event came since."""
        return self._awaits_event

    def resume(self) -> None:
        """Expect the next event from another engine."""
        self._resumed = self._awaits_event = True

    def take(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Return the events that may be passed on, or raise `NotContinuedError` and take none.

        What comes between a break and the next event says nothing to the caller, and is dropped.
        """
        last_id, beyond_id, by_one = self._last_id, self._beyond_id, self._by_one
        all_ids, awaits_event, taken = self._all_ids, self._awaits_event, []
        for event in events:
            if not event.is_progress:
                if not awaits_event:
                    self._check_aside(event)
                    taken.append(event)
                continue
            follows = _follows(event.id, last_id)
            if self._resumed and (event.id or awaits_event or all_ids):
                self._check(event.id, last_id)
            by_one, all_ids = by_one and follows, all_ids and bool(event.id)
            last_id, beyond_id = (event.id, False) if event.id else (last_id, True)
            awaits_event = False
            taken.append(event)
        self._last_id, self._beyond_id, self._by_one = last_id, beyond_id, by_one
        self._all_ids, self._awaits_event = all_ids, awaits_event
        return taken

    def has_event(self, data: bytes, resumed: bool) -> bool:
        """Return whether the beginning of an answer has an event that could be taken.

        `resumed` is whether it is the answer of an engine that was asked to go on with the stream.
        Raises ValueError, or `NotContinuedError`, where it does not.
        """
        events, position = EventSplitter().feed(data), copy.copy(self)
        if resumed:
            position.resume()
        position.take(events)
        return any(event.is_progress for event in events)

    def _check_aside(self, event: StreamEvent) -> None:
        if self._resumed and event.is_text:
            raise NotContinuedError("text that is no event came")

    def _check(self, event_id: str | None, last_id: str | None) -> None:
        number, last = _number(event_id), _number(last_id)
        if number is None or last is None:
            raise NotContinuedError("ids that are no numbers do not show where the stream goes on")
        if number <= last or (self._by_one and number != last + 1):
            raise NotContinuedError(f"event {number} came after {last}")


def continues_head(
    head: tuple[int, Iterable[tuple[str, str]]], resumed: tuple[int, Iterable[tuple[str, str]]]
) -> bool:
    """Return whether the head of a resumed stream is of the kind that the caller was given.

    Where the end of the first part would have shown, that of the rest has to show as well.

    >>> begun = (200, [("Content-Type", "text/event-stream")])
    >>> continues_head(begun, (200, [("content-type", "text/event-stream; charset=utf-8")]))
    True
    >>> continues_head(begun, (200, [("Content-Type", "application/json")]))
    False
    """
    first, rest = _kind(*head), _kind(*resumed)
    return first == rest._replace(end_shows=first.end_shows and rest.end_shows)


class _Kind(NamedTuple):
    """What the parts of a stream have in common."""

    status: int
    media_types: tuple[str, ...]
    encodings: tuple[str, ...]
    # An answer that ends with its connection looks complete wherever it is cut.
    end_shows: bool


def _kind(status: int, headers: Iterable[tuple[str, str]]) -> _Kind:
    found: dict[str, list[str]] = defaultdict(list)
    for name, value in headers:
        found[name.lower()].append(value.strip().lower())
    types = tuple(value.partition(";")[0].strip() for value in found["content-type"])
    end_shows = bool(found["content-length"]) or found["transfer-encoding"] == ["chunked"]
    return _Kind(status, types, tuple(found["content-encoding"]), end_shows)


def _follows(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an id is the next one of a count that begins with 0 or 1."""
    number, last = _number(event_id), _number(last_id)
    if number is None:
        return False
    return number <= 1 if last is None else number == last + 1


def _number(event_id: str | None) -> int | None:
    return int(event_id) if event_id and _NUMBER.fullmatch(event_id) else None
