"""The part of an answer that a single engine streams: event validation and buffering."""

from typing import Any

import orjson

from laburnumreel.protocol import DONE, SseParser
from laburnumreel.serving._repeat_detector import RepeatDetector
from laburnumreel.transport import BackEndFailureError, EventAllowance

# How much of a token is kept and compared; the first and the last eight are kept for the whole stream.
MAX_COMPARED_CHARS = 256
# An event that is held back takes its data, the chunk parsed from it, and the chunk's objects.
EVENT_COPIES = 2
EVENT_OBJECT_BYTES = 1024

# The raw data of an event and the chunk parsed from it.
StreamEvent = tuple[bytes, dict[str, Any]]


class StreamSegment:
    """The events that one engine sends for a request.

    Events that end the answer are held back until `[DONE]` is received. Events without a token are
    dropped from a resumed part, and its first tokens are held back while they may repeat the
    beginning of the answer.
    """

    def __init__(
        self,
        request_id: str,
        repeat_detector: RepeatDetector,
        is_resumed: bool,
        allowance: EventAllowance,
    ) -> None:
        self._request_id = request_id
        self._repeat_detector = repeat_detector
        self._is_resumed = is_resumed
        self._parser = SseParser(allowance.count)
        self._ready: list[StreamEvent] = []
        self._unconfirmed: list[StreamEvent] = []
        self._new_tokens = 0
        self._final_bytes = 0
        self.final_events: list[StreamEvent] = []
        self.usage: dict[str, Any] = {}
        # Whether only the engine's own token count can reveal that it restarted the answer.
        self.needs_count_check = is_resumed and not repeat_detector.is_distinctive
        if is_resumed:
            repeat_detector.resume()

    def feed(self, data: bytes) -> bool:
        """Process the next bytes and return whether the final event was received.

        Raises BackEndFailureError at an event that does not belong to the answer. The events
        before it are returned by `take_ready`. Raises CostlyAnswerError if there are too many.
        """
        for payload in self._parser.feed(data):
            if payload == DONE:
                if self._is_resumed and not any(
                    _ends_choice(chunk) for _, chunk in self.final_events
                ):
                    raise BackEndFailureError("short", "nothing says how it finished", True)
                return True
            self._classify(payload, self._parse_checked(payload))
        return False

    @property
    def held_bytes(self) -> int:
        """The approximate memory of the events that are held back."""
        return self._final_bytes + sum(_event_memory(event) for event in self._unconfirmed)

    def take_ready(self) -> tuple[list[StreamEvent], int]:
        """Return the events that may be sent to the caller now, and the number of tokens in them."""
        ready_events = self._ready, self._new_tokens
        self._ready, self._new_tokens = [], 0
        return ready_events

    def _parse_checked(self, payload: bytes) -> dict[str, Any]:
        chunk = _parse(payload)
        if not _has_valid_types(chunk):
            raise BackEndFailureError("lost", "an event has not the form of a chunk", True)
        if chunk.get("id") != self._request_id:
            raise BackEndFailureError("lost", "a chunk belongs to another request", True)
        if chunk.get("error"):
            raise BackEndFailureError("lost", "the stream has an error", True)
        return chunk

    def _classify(self, payload: bytes, chunk: dict[str, Any]) -> None:
        event = payload, chunk
        if self.final_events or chunk.get("usage") or _ends_choice(chunk):
            self._accept_unconfirmed()
            self.final_events.append(event)
            self._final_bytes += _event_memory(event)
            if chunk.get("usage"):
                self.usage = chunk["usage"]
        elif _has_token(chunk):
            self._unconfirmed.append(event)
            if not (self._is_resumed and self._repeat_detector.matches_next(_token_text(chunk))):
                self._accept_unconfirmed()
            elif self._repeat_detector.is_repeated:
                raise BackEndFailureError("lost", "the answer is begun anew", True)
        elif not self._is_resumed:
            self._ready.append(event)

    def _accept_unconfirmed(self) -> None:
        for event in self._unconfirmed:
            self._repeat_detector.add(_token_text(event[1]))
        self._ready += self._unconfirmed
        self._new_tokens += len(self._unconfirmed)
        self._unconfirmed = []


def _event_memory(event: StreamEvent) -> int:
    return EVENT_COPIES * len(event[0]) + EVENT_OBJECT_BYTES


def _parse(payload: bytes) -> dict[str, Any]:
    try:
        # orjson is several times faster than json, and this runs for every token.
        chunk = orjson.loads(payload)
    except ValueError as error:
        raise BackEndFailureError("lost", "a chunk is not JSON", True) from error
    if not isinstance(chunk, dict):
        raise BackEndFailureError("lost", "a chunk is not an object", True)
    return chunk


def _has_valid_types(chunk: dict[str, Any]) -> bool:
    """Return whether the fields that the gateway reads have the expected types."""
    choices, usage = chunk.get("choices"), chunk.get("usage")
    if not isinstance(choices, list | None) or not isinstance(usage, dict | None):
        return False
    return all(
        isinstance(choice, dict)
        and isinstance(choice.get("index", 0), int)
        and isinstance(choice.get("text"), str | None)
        and isinstance(choice.get("delta"), dict | None)
        and isinstance(choice.get("finish_reason"), str | None)
        for choice in choices or ()
    )


def _has_token(chunk: dict[str, Any]) -> bool:
    for choice in chunk.get("choices") or ():
        if choice.get("text"):
            return True
        delta = choice.get("delta")
        if delta and (delta.get("content") or len(delta.keys() - {"role", "content"}) > 0):
            return True
    return False


def _token_text(chunk: dict[str, Any]) -> str:
    """Return the beginning of a token's content, for comparison with others."""
    choice = chunk["choices"][0]
    return str(choice.get("text") or choice.get("delta"))[:MAX_COMPARED_CHARS]


def _ends_choice(chunk: dict[str, Any]) -> bool:
    return any(choice.get("finish_reason") for choice in chunk.get("choices") or ())
