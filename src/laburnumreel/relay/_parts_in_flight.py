"""The requests with prompt parts that this host has admitted, which end when a part gets held."""

from collections.abc import Callable, Sequence
from typing import Protocol

from laburnumreel.core import Log
from laburnumreel.relay._crash_evidence import HeldReason
from laburnumreel.relay._events import HELD_REQUEST_ENDED
from laburnumreel.serving import RunningRequest
from laburnumreel.state import ErrorKind, Refusal

# Log lines use the name of the dispatcher, because this code runs on its thread.
_log = Log("relay.dispatcher")


class RequestWithParts(Protocol):
    """A request in progress; see `Job`."""

    parts: tuple[str, ...]
    token: str
    running: RunningRequest

    @property
    def is_answered(self) -> bool: ...


class PartsInFlight:
    """Ends admitted requests as at their deadline. Not thread-safe; owned by the dispatcher."""

    def __init__(self) -> None:
        self._requests: set[RequestWithParts] = set()

    def add(self, request: RequestWithParts) -> None:
        self._requests.add(request)

    def remove(self, request: RequestWithParts) -> None:
        self._requests.discard(request)

    def end_held(self, find_reason: Callable[[Sequence[str], str], HeldReason | None]) -> None:
        """End the requests that are held, except those whose answer has begun.

        `find_reason` returns why a request with some parts and a token is held, or None.
        """
        for request in self._requests:
            reason = find_reason(request.parts, request.token)
            if reason is None or request.is_answered:
                continue
            refusal = Refusal(ErrorKind.CRASHES_BACK_ENDS, reason.detail, reason.remaining_s)
            if request.running.abort(refusal):
                request_id = request.running.request_id
                _log.info(HELD_REQUEST_ENDED, request=request_id, detail=reason.detail)
