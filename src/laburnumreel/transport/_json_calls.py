"""Calls with JSON bodies over HTTP, on a kept connection where that is safe."""

import json
import threading
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.transport._call_pace import CallKind, CallPace
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


_BEYOND_SHARE = CallFailure("not_sent", "this host's share of the calls is used up")


class JsonCalls:
    """Calls to one address. An instance may be shared between threads, which take turns.

    Reads use one kept connection and are sent again on a new one if the kept one was closed. A call
    that changes something goes out on a connection of its own, so that no stale connection leaves
    its effect unknown.

    With a `pace`, calls keep to the host's share of what the address takes; those of an `urgent`
    instance are counted there and never wait.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        pace: CallPace | None = None,
        urgent: bool = False,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pace = pace
        self._urgent = urgent
        self._lock = threading.Lock()
        # The exchange whose connection is kept, and the one at work, for `interrupt`.
        self._kept: Exchange | None = None
        self._running: Exchange | None = None
        self._interrupted = False

    def read(self, path: str, wait_s: float = 0.0) -> Result[CallAnswer, CallFailure]:
        """GET a path; the answer may take `wait_s` longer than the timeout."""
        if not self._may_call("read"):
            return Error(_BEYOND_SHARE)
        with self._lock:
            self._interrupted = False
            kept = self._take_kept()
            try:
                if kept is None:
                    return Ok(self._read_once(self._dial(), path, wait_s))
                try:
                    return Ok(self._read_once(kept.again(), path, wait_s))
                except BackEndFailureError as error:
                    if error.reason != "lost" or self._interrupted:
                        raise
                # The kept connection was closed meanwhile; a read may be sent again.
                return Ok(self._read_once(self._dial(), path, wait_s))
            except (BackEndFailureError, ValueError, RecursionError) as error:
                return Error(CallFailure("lost", str(error)))

    def change(self, path: str, body: Any, method: str = "POST") -> Result[CallAnswer, CallFailure]:
        """Send a call that changes something."""
        if not self._may_call("write"):
            return Error(_BEYOND_SHARE)
        try:
            exchange = self._dial()
        except BackEndFailureError as error:
            return Error(CallFailure("not_sent", str(error)))
        try:
            payload = json.dumps(body, separators=(",", ":")).encode()
            headers = {"Content-Type": "application/json"}
            exchange.send(method, path, headers, payload, self._timeout_s)
            return Ok(_answer(exchange, self._timeout_s))
        except (BackEndFailureError, ValueError, RecursionError) as error:
            return Error(CallFailure("lost", str(error)))
        finally:
            exchange.discard()

    def interrupt(self) -> None:
        """Shut the kept connection down, which ends a read on another thread."""
        self._interrupted = True
        running = self._running
        if running is not None:
            running.abort()

    def close(self) -> None:
        """Close the kept connection."""
        with self._lock:
            kept, self._kept = self._kept, None
            if kept is not None:
                kept.discard()

    def _take_kept(self) -> Exchange | None:
        """Return the kept exchange, unless something came on its connection that answers no call."""
        kept, self._kept = self._kept, None
        if kept is not None and kept.has_unread:
            kept.discard()
            return None
        return kept

    def _may_call(self, kind: CallKind) -> bool:
        if self._pace is None:
            return True
        if self._urgent:
            self._pace.took(kind)
            return True
        return self._pace.take(kind)

    def _read_once(self, exchange: Exchange, path: str, wait_s: float) -> CallAnswer:
        self._running = exchange
        try:
            exchange.send("GET", path, {}, None, self._timeout_s + wait_s)
            return _answer(exchange, self._timeout_s)
        finally:
            self._running = None
            exchange.close()

    def _dial(self) -> Exchange:
        return dial(self._address, self._timeout_s, self._keep)

    def _keep(self, exchange: Exchange) -> None:
        self._kept = exchange


def _answer(exchange: Exchange, timeout_s: float) -> CallAnswer:
    payload = exchange.read_whole(MAX_BODY_BYTES, timeout_s)
    body = json.loads(payload) if payload else {}
    return CallAnswer(exchange.status, body if isinstance(body, dict) else {}, exchange.message)
