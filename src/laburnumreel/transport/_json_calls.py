"""HTTP calls with JSON bodies, on a persistent connection where that is safe."""

import json
import threading
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.transport._call_rate import CallKind, CallRateLimiter
from laburnumreel.transport._exchange import BackEndFailureError, Exchange, dial

# Limit of an answer's body. Answers of the store hold at most 1 MB of rows, in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class CallAnswer(NamedTuple):
    """An answer: status, JSON body and headers. `body` is empty if it was no JSON object."""

    status: int
    body: Mapping[str, Any]
    headers: Mapping[str, str] = {}


class CallFailure(NamedTuple):
    """A call without an answer. `not_sent` means no effect, `lost` that it may have had one."""

    kind: Literal["not_sent", "lost"]
    detail: str


_RATE_LIMITED = CallFailure("not_sent", "this host's share of the calls is used up")


class JsonCalls:
    """Calls to one address. Threads may share an instance; its reads then run one at a time.

    Reads use one persistent connection and are repeated on a new one if that one was closed. A
    call that changes something uses a connection of its own, because a stale connection would
    leave it unknown whether the change happened.

    With a `rate_limiter`, calls are limited to the host's share of the call rate. Calls of
    an `urgent` instance are counted there but never wait.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        rate_limiter: CallRateLimiter | None = None,
        urgent: bool = False,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._rate_limiter = rate_limiter
        self._is_urgent = urgent
        self._lock = threading.Lock()
        # The exchange whose connection is idle, and the running one, which `interrupt` aborts.
        self._idle_exchange: Exchange | None = None
        self._running_exchange: Exchange | None = None
        self._is_interrupted = False

    def read(self, path: str, wait_s: float = 0.0) -> Result[CallAnswer, CallFailure]:
        """Send a GET request. The answer may take `wait_s` seconds longer than the timeout."""
        if not self._may_call("read"):
            return Error(_RATE_LIMITED)
        with self._lock:
            self._is_interrupted = False
            idle = self._take_idle()
            try:
                if idle is None:
                    return Ok(self._read_once(self._dial(), path, wait_s))
                try:
                    return Ok(self._read_once(idle.next_exchange(), path, wait_s))
                except BackEndFailureError as error:
                    if error.reason != "lost" or self._is_interrupted:
                        raise
                # The idle connection had been closed; a read may be repeated.
                return Ok(self._read_once(self._dial(), path, wait_s))
            except (BackEndFailureError, ValueError, RecursionError) as error:
                return Error(CallFailure("lost", str(error)))

    def change(self, path: str, body: Any, method: str = "POST") -> Result[CallAnswer, CallFailure]:
        """Send a call that changes something. It is never repeated."""
        if not self._may_call("write"):
            return Error(_RATE_LIMITED)
        try:
            exchange = self._dial()
        except BackEndFailureError as error:
            return Error(CallFailure("not_sent", str(error)))
        try:
            payload = json.dumps(body, separators=(",", ":")).encode()
            headers = {"Content-Type": "application/json"}
            exchange.send(method, path, headers, payload, self._timeout_s)
            return Ok(_read_answer(exchange, self._timeout_s))
        except (BackEndFailureError, ValueError, RecursionError) as error:
            return Error(CallFailure("lost", str(error)))
        finally:
            exchange.discard()

    def interrupt(self) -> None:
        """Abort the read that runs on another thread, if any."""
        self._is_interrupted = True
        running = self._running_exchange
        if running is not None:
            running.abort()

    def close(self) -> None:
        """Close the idle connection."""
        with self._lock:
            idle, self._idle_exchange = self._idle_exchange, None
            if idle is not None:
                idle.discard()

    def _take_idle(self) -> Exchange | None:
        """Return the idle exchange, or None if there is none or its connection has unread bytes.

        Such bytes, for example a duplicate answer, would be read as the answer to the next call.
        """
        idle, self._idle_exchange = self._idle_exchange, None
        if idle is not None and idle.has_unread:
            idle.discard()
            return None
        return idle

    def _may_call(self, kind: CallKind) -> bool:
        if self._rate_limiter is None:
            return True
        if self._is_urgent:
            self._rate_limiter.record_unlimited(kind)
            return True
        return self._rate_limiter.acquire(kind)

    def _read_once(self, exchange: Exchange, path: str, wait_s: float) -> CallAnswer:
        self._running_exchange = exchange
        try:
            exchange.send("GET", path, {}, None, self._timeout_s + wait_s)
            return _read_answer(exchange, self._timeout_s)
        finally:
            self._running_exchange = None
            exchange.close()

    def _dial(self) -> Exchange:
        return dial(self._address, self._timeout_s, self._keep_idle)

    def _keep_idle(self, exchange: Exchange) -> None:
        self._idle_exchange = exchange


def _read_answer(exchange: Exchange, timeout_s: float) -> CallAnswer:
    payload = exchange.read_whole(MAX_BODY_BYTES, timeout_s)
    body = json.loads(payload) if payload else {}
    return CallAnswer(exchange.status, body if isinstance(body, dict) else {}, exchange.header_map)
