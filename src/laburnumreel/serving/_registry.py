"""The running requests of a node and the task that aborts them."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from laburnumreel.core import Clock, Log, Task
from laburnumreel.serving._events import REQUEST_ABORTED, REQUEST_CHECK_FAILED
from laburnumreel.state import ErrorKind, Refusal, RunState, WithdrawnKeys
from laburnumreel.transport import Exchange

CHECK_INTERVAL_S = 0.25

_log = Log("serving.registry")


class RunningRequest:
    """A request that runs or waits for admission.

    It belongs to the thread of the request. The registry's task only reads it and calls `abort`.
    """

    def __init__(
        self,
        request_id: str,
        key_digest: str | None,
        deadline: float,
        has_disconnected: Callable[[], bool],
        finish_without_caller: bool = False,
        is_repeatable: bool = True,
    ) -> None:
        self.request_id = request_id
        self.key_digest = key_digest
        self.deadline = deadline
        # A request with an Idempotency-Key continues after its caller disconnects, as the caller's
        # next attempt gets its answer.
        self.finish_without_caller = finish_without_caller
        # Whether the request may run more than once.
        self.is_repeatable = is_repeatable
        self._has_disconnected = has_disconnected
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None
        self._abort_reason: Refusal | None = None
        # Why the request is not sent again once its current exchange has ended, if it may not be.
        self._no_resend_reason: Refusal | None = None
        self._wake = threading.Event()

    @property
    def abort_reason(self) -> Refusal | None:
        """The reason why the request was aborted, or None."""
        return self._abort_reason

    @property
    def is_caller_gone(self) -> bool:
        return self._has_disconnected()

    def attach(self, exchange: Exchange) -> bool:
        """Attach an exchange, which `abort` then aborts. Return False if already aborted."""
        with self._lock:
            if self._abort_reason is not None:
                return False
            self._exchange = exchange
            return True

    def detach(self) -> None:
        """Detach the exchange before its connection returns to the pool."""
        with self._lock:
            self._exchange = None
            if self._abort_reason is None:
                self._abort_reason = self._no_resend_reason

    def abort(self, refusal: Refusal) -> bool:
        """Abort the request and shut down its back-end connection.

        Return False if it was aborted before: the first reason decides the caller's error.
        """
        with self._lock:
            if self._abort_reason is not None:
                return False
            self._abort_reason = refusal
            if self._exchange is not None:
                self._exchange.abort()
        self._wake.set()
        return True

    def abort_unsent(self, refusal: Refusal) -> bool:
        """Abort the request unless a back end has it, and never send it again.

        Return False if a back end has it, or if it was aborted before.
        """
        with self._lock:
            self._no_resend_reason = refusal
            if self._abort_reason is not None or self._exchange is not None:
                return False
            self._abort_reason = refusal
        self._wake.set()
        return True

    def sleep(self, seconds: float) -> None:
        """Wait for some seconds, or until the request is aborted."""
        self._wake.wait(seconds)


class _WatchRequest(NamedTuple):
    running: RunningRequest


class _UnwatchRequest(NamedTuple):
    running: RunningRequest


class _WithdrawKeys(NamedTuple):
    keys: WithdrawnKeys


class _AbortUnsent(NamedTuple):
    aborts_at: float
    refusal: Refusal


class _AbortAll(NamedTuple):
    pass


class RequestRegistry(Task):
    """Aborts requests with a withdrawn key, a passed deadline or a disconnected caller.

    `should_cut_streams` returns whether keys could not be verified for so long that requests with a key
    must be aborted.
    """

    def __init__(
        self,
        clock: Clock,
        should_cut_streams: Callable[[float], bool],
        check_interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        super().__init__("request-registry", tick_s=check_interval_s)
        self._clock = clock
        self._should_cut_streams = should_cut_streams
        # Callers may use the same request id more than once.
        self._running: set[RunningRequest] = set()
        self._withdrawn = WithdrawnKeys()
        self._stop: _AbortUnsent | None = None

    def watch(self, running: RunningRequest) -> None:
        """Start to watch a request."""
        self.tell(_WatchRequest(running))

    def unwatch(self, running: RunningRequest) -> None:
        """Stop watching a request."""
        self.tell(_UnwatchRequest(running))

    def on_keys_withdrawn(self, keys: WithdrawnKeys) -> None:
        """Abort the requests with these keys, including those that start later."""
        self.tell(_WithdrawKeys(keys))

    def abort_unsent(self, aborts_at: float, refusal: Refusal) -> None:
        """Refuse the requests that wait for a back end, may run only once and may outlast the stop.

        They would be cut at `aborts_at`, and their callers could not send them again.
        """
        self.tell(_AbortUnsent(aborts_at, refusal))

    def abort_all(self) -> None:
        """Abort all requests because the grace time of this node's stop is over.

        Callers get the same error as for a passed deadline, with the run state of the request.
        """
        self.tell(_AbortAll())

    def handle(self, message: object) -> None:
        match message:
            case _WatchRequest(running):
                self._running.add(running)
                self._check_key(running)
                self._check_stop(running)
            case _UnwatchRequest(running):
                self._running.discard(running)
            case _WithdrawKeys(keys):
                self._withdrawn = keys
                for running in self._running:
                    self._check_key(running)
            case _AbortUnsent():
                self._stop = message
                for running in self._running:
                    self._check_stop(running)
            case _AbortAll():
                for running in self._running:
                    self._abort(running, ErrorKind.BACK_END_TIMEOUT, "The node stops.")

    def tick(self) -> None:
        now = self._clock.now()
        should_cut_streams = self._should_cut_streams(now)
        for running in self._running:
            try:
                self._check_running(running, should_cut_streams, now)
            except Exception as error:
                # One request must not keep the others from their deadlines.
                _log.error(
                    REQUEST_CHECK_FAILED,
                    request=running.request_id,
                    error=repr(error),
                    exc_info=True,
                )

    def _check_running(self, running: RunningRequest, should_cut_streams: bool, now: float) -> None:
        if now >= running.deadline:
            self._abort(running, ErrorKind.BACK_END_TIMEOUT, "The deadline passed.")
        elif not running.finish_without_caller and running.is_caller_gone:
            self._abort(running, ErrorKind.CALLER_GONE)
        elif should_cut_streams and running.key_digest is not None:
            self._abort(running, ErrorKind.KEYS_UNVERIFIABLE)

    def _check_key(self, running: RunningRequest) -> None:
        if running.key_digest is not None and running.key_digest in self._withdrawn:
            self._abort(running, ErrorKind.WITHDRAWN_KEY)

    def _check_stop(self, running: RunningRequest) -> None:
        stop = self._stop
        if stop is None or running.is_repeatable or running.deadline <= stop.aborts_at:
            return
        if running.abort_unsent(stop.refusal):
            _log.info(REQUEST_ABORTED, request=running.request_id, kind=str(stop.refusal.kind))

    def _abort(self, running: RunningRequest, kind: ErrorKind, detail: str = "") -> None:
        if running.abort(Refusal(kind, detail, run_state=RunState.UNKNOWN)):
            _log.info(REQUEST_ABORTED, request=running.request_id, kind=str(kind))
