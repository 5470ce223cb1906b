"""Calls with JSON bodies over HTTP, on a kept connection where that is safe."""

import json
import threading
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.transport._call_rate import CallKind, CallRateLimiter
from laburnumreel.transport._exchange import BackEndFailureError, Exchange, dial

# What the body of an answer may have: the store's answers have 1 MB of rows at most, in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class CallAnswer(NamedTuple):
    """An answer's status, its JSON body and its headers; an empty mapping where the body is none."""

    status: int
    body: Mapping[str, Any]
    headers: Mapping[str, str] = {}


class CallFailure(NamedTuple):
    """A call without an answer. `not_sent` means that it had no effect, `lost` that it may have."""

    kind: Literal["not_sent", "lost"]
    detail: str


_RATE_LIMITED = CallFailure("not_sent", "this host's share of the calls is used up")


class JsonCalls:
    """Calls to one address. An instance may be shared between threads, which take turns.

    Reads use one kept connection and are sent again on a new one if the kept one was closed. A call
    that changes something goes out on a connection of its own, so that no stale connection leaves
    its effect unknown.

    With a `rate_limiter`, calls keep to the host's share of what the address takes; those of an `urgent`
    instance are counted there and never wait.
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
        # The exchange whose connection is kept, and the one at work, for `interrupt`.
        self._idle_exchange: Exchange | None = None
        self._running_exchange: Exchange | None = None
        self._is_interrupted = False

    def read(self, path: str, wait_s: float = 0.0) -> Result[CallAnswer, CallFailure]:
        """GET a path; the answer may take `wait_s` longer than the timeout."""
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
                # The kept connection was closed meanwhile; a read may be sent again.
                return Ok(self._read_once(self._dial(), path, wait_s))
            except (BackEndFailureError, ValueError, RecursionError) as error:
                return Error(CallFailure("lost", str(error)))

    def change(self, path: str, body: Any, method: str = "POST") -> Result[CallAnswer, CallFailure]:
        """Send a call that changes something."""
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
        """Shut the kept connection down, which ends a read on another thread."""
        self._is_interrupted = True
        running = self._running_exchange
        if running is not None:
            running.abort()

    def close(self) -> None:
        """Close the kept connection."""
        with self._lock:
            idle, self._idle_exchange = self._idle_exchange, None
            if idle is not None:
                idle.discard()

    def _take_idle(self) -> Exchange | None:
        """Return the kept exchange, unless something came on its connection that answers no call."""
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
