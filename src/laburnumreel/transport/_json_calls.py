"""HTTP calls with JSON bodies, on a persistent connection where that is safe."""

import json
import threading
import time
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.core import Log
from laburnumreel.transport._call_rate import CallKind, CallRateLimiter
from laburnumreel.transport._events import KEPT_CONNECTION_SILENT
from laburnumreel.transport._exchange import BackEndFailureError, Exchange, dial

# Limit of an answer's body. Answers of the store hold at most 1 MB of rows, in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024
# A kept connection without an answer for this long is taken for silent, and the read is repeated on a
# new one. The time is longer where the last answers took long.
KEPT_PATIENCE_S = 0.4
PATIENCE_FACTOR = 2.0

_log = Log("transport.calls")


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


class KeptConnections:
    """The persistent connections that several `JsonCalls` have to one address.

    Connections may go silent together, without an end, while new ones work. When that is seen of
    one, all that were opened before the new one are dropped. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._users: list[JsonCalls] = []

    def add(self, calls: "JsonCalls") -> None:
        """Add a user, whose connections are dropped with the others."""
        with self._lock:
            self._users.append(calls)

    def drop_older(self, than: float) -> None:
        """Drop all connections that were opened before a time of the monotonic clock."""
        with self._lock:
            users = list(self._users)
        for calls in users:
            calls.drop_older(than)


class JsonCalls:
    """Calls to one address. Threads may share an instance; its reads then run one at a time.

    Reads use one persistent connection and are repeated on a new one if that one was closed or is
    silent: only a new connection shows that the address does not answer. A call that changes
    something uses a connection of its own, because a stale connection would leave it unknown
    whether the change happened.

    With a `rate_limiter`, calls are limited to the host's share of the call rate. Calls of
    an `urgent` instance are counted there but never wait. `kept` has the connections of all instances
    for the address.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        rate_limiter: CallRateLimiter | None = None,
        urgent: bool = False,
        kept: KeptConnections | None = None,
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
        self._kept = kept or KeptConnections()
        self._kept.add(self)
        # Connections that were opened before this time of the monotonic clock are not used.
        self._opened_after = float("-inf")
        self._patience_s = min(KEPT_PATIENCE_S, timeout_s)

    def read(
        self, path: str, wait_s: float = 0.0, repeat_path: str | None = None
    ) -> Result[CallAnswer, CallFailure]:
        """Send a GET request. The answer may take `wait_s` seconds longer than the timeout.

        `repeat_path` is for a call that waits: the same call without the wait, which is sent instead
        if the call has to be repeated.
        """
        if not self._may_call("read"):
            return Error(_RATE_LIMITED)
        with self._lock:
            self._is_interrupted = False
            try:
                return Ok(self._read(path, wait_s, repeat_path or path))
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

    def drop_older(self, than: float) -> None:
        """Drop connections opened before a time of the monotonic clock. A read on one is repeated.

        May be called from any thread.
        """
        self._opened_after = max(self._opened_after, than)
        running = self._running_exchange
        if running is not None and running.opened_at < than:
            running.abort()

    def close(self) -> None:
        """Close the idle connection."""
        with self._lock:
            idle, self._idle_exchange = self._idle_exchange, None
            if idle is not None:
                idle.discard()

    def _take_idle(self) -> Exchange | None:
        """Return the idle exchange, or None if there is none or it must not be used.

        Unread bytes, for example of a duplicate answer, would be read as the answer to the next call.
        """
        idle, self._idle_exchange = self._idle_exchange, None
        if idle is not None and (self._is_dropped(idle) or idle.has_unread):
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

    def _read(self, path: str, wait_s: float, repeat_path: str) -> CallAnswer:
        idle = self._take_idle()
        exchange = self._dial() if idle is None else idle.next_exchange()
        # After a wait, a connection that was opened for the call is no newer than a kept one.
        is_new = idle is None and not wait_s
        timeout_s = self._timeout_s if is_new else self._patience_s
        sent_at = time.monotonic()
        try:
            answer = self._read_once(exchange, path, wait_s, timeout_s)
        except BackEndFailureError as error:
            if not self._may_repeat(exchange, error, is_new):
                raise
            return self._repeat(repeat_path, is_after_silence=error.reason == "silent")
        if not wait_s:
            self._set_patience(time.monotonic() - sent_at)
        return answer

    def _may_repeat(self, exchange: Exchange, error: BackEndFailureError, is_new: bool) -> bool:
        if self._is_interrupted:
            return False
        return self._is_dropped(exchange) or (not is_new and error.reason in ("lost", "silent"))

    def _repeat(self, path: str, is_after_silence: bool) -> CallAnswer:
        """Repeat a read on a new connection, and once more if that one is dropped meanwhile.

        After silence, an address that is as slow on the new connection counts as not answering: the
        old one may have been sound.
        """
        if self._rate_limiter is not None:
            self._rate_limiter.record_unlimited("read")
        timeout_s = self._patience_s if is_after_silence else self._timeout_s
        exchange = self._dial()
        try:
            answer = self._read_once(exchange, path, 0.0, timeout_s)
        except BackEndFailureError as error:
            if not self._may_repeat(exchange, error, is_new=True):
                raise
            return self._read_once(self._dial(), path, 0.0, timeout_s)
        if is_after_silence:
            took_s = time.monotonic() - exchange.opened_at
            address = "{}:{}".format(*self._address)
            _log.warning(KEPT_CONNECTION_SILENT, address=address, new_took_s=round(took_s, 3))
            self._kept.drop_older(exchange.opened_at)
        return answer

    def _set_patience(self, took_s: float) -> None:
        """Set for how long an answer is awaited on a kept connection, by how long the last one took."""
        self._patience_s = min(self._timeout_s, max(KEPT_PATIENCE_S, PATIENCE_FACTOR * took_s))

    def _is_dropped(self, exchange: Exchange) -> bool:
        return exchange.opened_at < self._opened_after

    def _read_once(
        self, exchange: Exchange, path: str, wait_s: float, timeout_s: float
    ) -> CallAnswer:
        self._running_exchange = exchange
        try:
            if self._is_dropped(exchange):
                exchange.abort()
            exchange.send("GET", path, {}, None, timeout_s + wait_s)
            exchange.set_timeout(timeout_s)
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
