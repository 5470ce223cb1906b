"""The requests with prompt parts that this host has admitted, which end when a part gets held."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from laburnumreel.core import Log
from laburnumreel.relay._crash_evidence import HeldReason, LostRequest
from laburnumreel.relay._events import HELD_REQUEST_ENDED
from laburnumreel.serving import RunningRequest
from laburnumreel.state import ErrorKind, Refusal

# Log lines use the name of the dispatcher, because this code runs on its thread.
_log = Log("relay.dispatcher")


class RequestWithParts(Protocol):
    """A request in progress; see `Job`."""

    parts: tuple[str, ...]
    token: str
    digest: str
    back_ends: frozenset[str]
    running: RunningRequest

    @property
    def is_answered(self) -> bool: ...

    def end_unanswered(self, refusal: Refusal) -> bool: ...


class EndedRequest(NamedTuple):
    """A request that was ended while some backend servers had it."""

    back_ends: frozenset[str]
    lost: LostRequest


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

    def end_held(
        self, find_reason: Callable[[RequestWithParts], HeldReason | None]
    ) -> list[EndedRequest]:
        """End the requests that are held, except those whose answer has begun, and return them.

        `find_reason` returns why a request is held, or None.
        """
        ended = []
        for request in self._requests.values():
            if request.is_answered or request.running.abort_reason is not None:
                continue
            reason = find_reason(request)
            if reason is None:
                continue
            refusal = Refusal(ErrorKind.CRASHES_BACK_ENDS, reason.detail, reason.remaining_s)
            # Its thread takes them out as soon as it is aborted.
            back_ends = request.back_ends
            if request.end_unanswered(refusal):
                request_id = request.running.request_id
                _log.info(HELD_REQUEST_ENDED, request=request_id, detail=reason.detail)
                lost = LostRequest(request_id, request.token, request.digest, request.parts)
                ended.append(EndedRequest(back_ends, lost))
        return ended
