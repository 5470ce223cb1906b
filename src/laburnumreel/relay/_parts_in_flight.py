"""The requests with prompt parts that this host has admitted, which end when a part gets held."""

from collections.abc import Callable
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
        self._requests: dict[str, RequestWithParts] = {}

    def add(self, request: RequestWithParts) -> None:
        self._requests[request.token] = request

    def remove(self, request: RequestWithParts) -> None:
        self._requests.pop(request.token, None)

    def abort_reason(self, token: str) -> Refusal | None:
        """Return why the request with a token was aborted, or None."""
        request = self._requests.get(token)
        return request.running.abort_reason if request is not None else None

    def end_held(self, find_reason: Callable[[RequestWithParts], HeldReason | None]) -> None:
        """End the requests that are held, except those whose answer has begun.

        `find_reason` returns why a request is held, or None.
        """
        for request in self._requests.values():
            if request.is_answered or request.running.abort_reason is not None:
                continue
            reason = find_reason(request)
            if reason is None:
                continue
            refusal = Refusal(ErrorKind.CRASHES_BACK_ENDS, reason.detail, reason.remaining_s)
            if request.running.abort(refusal):
                request_id = request.running.request_id
                _log.info(HELD_REQUEST_ENDED, request=request_id, detail=reason.detail)
