"""Admission of a request, and its clean-up, which runs exactly once."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from types import TracebackType

from laburnumreel.coordination import BackEnd, Offer
from laburnumreel.serving._checks import Caller, check_key
from laburnumreel.serving._dependencies import GatewayDependencies
from laburnumreel.serving._dispatcher import BackEndSelection
from laburnumreel.serving._job import RequestFailedError
from laburnumreel.serving._registry import RunningRequest
from laburnumreel.state import ErrorKind, Refusal, RunState

ABORT_POLL_INTERVAL_S = 0.1


class AdmissionSlot:
    """The slot of a request among those that are admitted or queued.

    Raises RequestFailedError if no slot is free.
    """

    def __init__(self, deps: GatewayDependencies, running: RunningRequest) -> None:
        if not deps.slots.acquire():
            raise RequestFailedError(Refusal(ErrorKind.THREADS_EXHAUSTED))
        self._deps = deps
        self._running = running
        self._admitted = False
        self._lock = threading.Lock()
        self._released = False
        self.tokens = 0
        self.initial_back_end: BackEnd | None = None
        deps.registry.watch(running)

    def admit(self, offer: Offer, selection: BackEndSelection, caller: Caller) -> None:
        """Wait until the request may run, and set `initial_back_end` to the back end to try first, if any.

        Raises RequestFailedError if the request is refused or aborted.
        """
        outcome = self._await_admission(self._deps.dispatcher.offer(offer, selection))
        if isinstance(outcome, Refusal):
            raise RequestFailedError(outcome)
        self._admitted = True
        self.initial_back_end = outcome
        check_key(self._deps, caller.digest)

    def release(self) -> None:
        """Release the slot. Further calls have no effect."""
        with self._lock:
            if self._released:
                return
            self._released = True
        request_id = self._running.request_id
        if self._admitted:
            if self.initial_back_end is not None:
                # Has no effect if the attempt on this back end has already ended.
                self._deps.dispatcher.on_attempt_ended(
                    self.initial_back_end.name, request_id, False
                )
            self._deps.dispatcher.finish(request_id, self.tokens)
        self._deps.registry.unwatch(self._running)
        self._deps.slots.release()

    def __enter__(self) -> "AdmissionSlot":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def _await_admission(
        self, answer: "Future[Refusal | BackEnd | None]"
    ) -> Refusal | BackEnd | None:
        while True:
            try:
                return answer.result(timeout=ABORT_POLL_INTERVAL_S)
            except FutureTimeoutError:
                abort_reason = self._running.abort_reason
            if abort_reason is not None:
                self._deps.dispatcher.cancel_offer(self._running.request_id)
                if abort_reason.kind == ErrorKind.BACK_END_TIMEOUT:
                    abort_reason = Refusal(ErrorKind.DEADLINE_UNMEETABLE)
                return abort_reason._replace(run_state=RunState.NOT_RUN)


class ResponseBody:
    """A WSGI response body that calls a clean-up function on close, even if it is never read."""

    def __init__(self, pieces: Iterator[bytes], on_closed: Callable[[], None]) -> None:
        self._pieces = pieces
        self._on_closed = on_closed

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        try:
            self._pieces.close()
        finally:
            self._on_closed()
