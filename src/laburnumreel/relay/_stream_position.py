"""The position in a stream, and whether another engine's events continue from it."""

import copy
import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from laburnumreel.relay._event_stream import EventSplitter, StreamEvent
from laburnumreel.transport import EventAllowance

_ID_PATTERN = re.compile(r"[0-9]{1,18}")


class NotContinuedError(ValueError):
    """Raised when an engine's events do not continue the stream that it was asked to resume."""


class StreamPosition:
    """The last event of a stream that was passed on, across all engines that send it.

    Until the stream is resumed, events are not checked. From then on, they must continue after the
    last one: their ids must increase, without a gap if the earlier ids had none, and every event
    must have an id if all earlier ones had one.

    >>> position = StreamPosition()
    >>> passed = position.accept([StreamEvent(b"id: 1\\n\\n", "1"), StreamEvent(b"id: 2\\n\\n", "2")])
    >>> position.resume()
    >>> position.accept([StreamEvent(b"id: 2\\n\\n", "2")])
    Traceback (most recent call last):
    ...
    laburnumreel.relay._stream_position.NotContinuedError: event 2 came after 2
    """

    def __init__(self, resume_after: str | None = None) -> None:
        self._last_id = resume_after
        # Whether events without an id were passed on after the last one with an id.
        self._has_event_after_id = False
        # Whether the ids are consecutive numbers that start with 0 or 1.
        self._ids_are_consecutive = True
        # Whether every event had an id.
        self._every_event_has_id = True
        self._resumed = False
        self._awaits_event = False

    @property
    def last_id(self) -> str | None:
        """The id of the last event that had one, or else the id that the caller resumes after."""
        return self._last_id

    @property
    def can_resume(self) -> bool:
        """Whether the last event that was passed on has an id."""
        return self._last_id is not None and not self._has_event_after_id

    @property
    def awaits_event(self) -> bool:
        """Whether the stream was resumed and no event has arrived since."""
        return self._awaits_event

    def resume(self) -> None:
        """Expect the following events from another engine."""
        self._resumed = self._awaits_event = True

    def accept(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Return the events that may be passed on, and advance the position.

        Comments between a break and the next event mean nothing to the caller and are dropped.
        Raises `NotContinuedError`, and then leaves the position unchanged.
        """
        last_id, has_event_after_id, ids_are_consecutive = (
            self._last_id,
            self._has_event_after_id,
            self._ids_are_consecutive,
        )
        every_event_has_id, awaits_event, accepted = (
            self._every_event_has_id,
            self._awaits_event,
            [],
        )
        for event in events:
            if not event.is_progress:
                if not awaits_event:
                    self._check_non_event(event)
                    accepted.append(event)
                continue
            is_next = _is_next_id(event.id, last_id)
            if self._resumed and (event.id or awaits_event or every_event_has_id):
                self._check_order(event.id, last_id)
            ids_are_consecutive, every_event_has_id = (
                ids_are_consecutive and is_next,
                every_event_has_id and bool(event.id),
            )
            last_id, has_event_after_id = (event.id, False) if event.id else (last_id, True)
            awaits_event = False
            accepted.append(event)
        self._last_id, self._has_event_after_id, self._ids_are_consecutive = (
            last_id,
            has_event_after_id,
            ids_are_consecutive,
        )
        self._every_event_has_id, self._awaits_event = every_event_has_id, awaits_event
        return accepted

    def make_event_finder(
        self, resumed: bool, allowance: EventAllowance | None = None
    ) -> Callable[[bytes], bool]:
        """Return a function that is called with each piece of the beginning of an answer.

        It returns whether the pieces so far contain an event that could be accepted. `resumed` is
        whether the answering engine was asked to resume the stream. Raises `NotContinuedError` if
        the answer does not continue the stream, ValueError if an event is too large, and
        `CostlyAnswerError` if there are too many.
        """
        splitter, events = EventSplitter(allowance), []

        def has_event(piece: bytes) -> bool:
            new_events = splitter.feed(piece)
            if not new_events:
                return False
            events.extend(new_events)
            position = copy.copy(self)
            if resumed:
                position.resume()
            position.accept(events)
            return any(event.is_progress for event in new_events)

        return has_event

    def _check_non_event(self, event: StreamEvent) -> None:
        if self._resumed and event.is_stray_text:
            raise NotContinuedError("text that is no event came")

    def _check_order(self, event_id: str | None, last_id: str | None) -> None:
        number, last = _parse_id(event_id), _parse_id(last_id)
        if number is None or last is None:
            raise NotContinuedError("ids that are no numbers do not show where the stream goes on")
        if number <= last or (self._ids_are_consecutive and number != last + 1):
            raise NotContinuedError(f"event {number} came after {last}")


def heads_match(
    head: tuple[int, Iterable[tuple[str, str]]], resumed: tuple[int, Iterable[tuple[str, str]]]
) -> bool:
    """Return whether the head of a resumed stream is compatible with the one sent to the caller.

    If a truncation of the first part would have been detectable, that of the rest must be as well.

    >>> begun = (200, [("Content-Type", "text/event-stream")])
    >>> heads_match(begun, (200, [("content-type", "text/event-stream; charset=utf-8")]))
    True
    >>> heads_match(begun, (200, [("Content-Type", "application/json")]))
    False
    """
    first, rest = _head_kind(*head), _head_kind(*resumed)
    return first == rest._replace(has_visible_end=first.has_visible_end and rest.has_visible_end)


class _HeadKind(NamedTuple):
    """The properties of a head that all parts of a stream must share."""

    status: int
    media_types: tuple[str, ...]
    encodings: tuple[str, ...]
    # False if the answer ends with its connection, as it then looks complete wherever it is cut.
    has_visible_end: bool


def _head_kind(status: int, headers: Iterable[tuple[str, str]]) -> _HeadKind:
    found: dict[str, list[str]] = defaultdict(list)
    for name, value in headers:
        found[name.lower()].append(value.strip().lower())
    types = tuple(value.partition(";")[0].strip() for value in found["content-type"])
    has_visible_end = bool(found["content-length"]) or found["transfer-encoding"] == ["chunked"]
    return _HeadKind(status, types, tuple(found["content-encoding"]), has_visible_end)


def _is_next_id(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an id is the next of consecutive numbers that start with 0 or 1."""
    number, last = _parse_id(event_id), _parse_id(last_id)
    if number is None:
        return False
    return number <= 1 if last is None else number == last + 1


def _parse_id(event_id: str | None) -> int | None:
    return int(event_id) if event_id and _ID_PATTERN.fullmatch(event_id) else None
