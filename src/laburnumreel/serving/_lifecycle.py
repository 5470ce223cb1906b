"""The admission of a request, and the clean-up after it that happens exactly once."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from types import TracebackType

from laburnumreel.coordination import BackEnd, Offer
from laburnumreel.serving._checks import Caller, check_key
from laburnumreel.serving._dispatcher import Wanted
from laburnumreel.serving._job import RequestFailedError
from laburnumreel.serving._parts import Parts
from laburnumreel.serving._registry import Running
from laburnumreel.state import ErrorKind, Refusal, RunState

ABORT_CHECK_S = 0.1


class Place:
    """A request's place among those that are admitted or queued."""

    def __init__(self, parts: Parts, running: Running) -> None:
        if not parts.slots.take():
            raise RequestFailedError(Refusal(ErrorKind.THREADS_EXHAUSTED))
        self._parts = parts
        self._running = running
        self._admitted = False
        self._lock = threading.Lock()
        self._released = False
        self.tokens = 0
        self.first: BackEnd | None = None
        parts.registry.started(running)

    def admit(self, offer: Offer, wanted: Wanted, caller: Caller) -> None:
        """Wait until the request may run. `first` is then the back end to try first, if any."""
        outcome = self._wait(self._parts.dispatcher.offer(offer, wanted))
        if isinstance(outcome, Refusal):
            raise RequestFailedError(outcome)
        self._admitted = True
        self.first = outcome
        check_key(self._parts, caller.digest)

    def release(self) -> None:
        """Give the place back. Further calls change nothing."""
        with self._lock:
            if self._released:
                return
            self._released = True
        request_id = self._running.request_id
        if self._admitted:
            if self.first is not None:
                # Of no effect where the attempt on it has ended already.
                self._parts.dispatcher.attempt_ended(self.first.name, request_id, False)
            self._parts.dispatcher.finish(request_id, self.tokens)
        self._parts.registry.ended(request_id)
        self._parts.slots.give_back()

    def __enter__(self) -> "Place":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def _wait(self, answer: "Future[Refusal | BackEnd | None]") -> Refusal | BackEnd | None:
        while True:
            try:
                return answer.result(timeout=ABORT_CHECK_S)
            except FutureTimeoutError:
                aborted = self._running.aborted
            if aborted is not None:
                self._parts.dispatcher.withdraw_offer(self._running.request_id)
                if aborted.kind == ErrorKind.BACK_END_TIMEOUT:
                    aborted = Refusal(ErrorKind.DEADLINE_UNMEETABLE)
                return aborted._replace(run_state=RunState.NOT_RUN)


class Body:
    """A WSGI body whose clean-up runs once, also when the caller never reads it."""

    def __init__(self, pieces: Iterator[bytes], ended: Callable[[], None]) -> None:
        self._pieces = pieces
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        try:
            self._pieces.close()
        finally:
            self._ended()
