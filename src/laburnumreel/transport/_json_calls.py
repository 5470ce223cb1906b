"""Calls with JSON bodies over HTTP, on a kept connection where that is safe."""

import http.client
import json
import socket
import threading
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from expression import Error, Ok, Result

from laburnumreel.transport._call_pace import CallKind, CallPace


class CallAnswer(NamedTuple):
    """An answer's status and its JSON body; an empty mapping where the body is none."""

    status: int
    body: Mapping[str, Any]


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
        self._kept: http.client.HTTPConnection | None = None
        self._interrupted = False

    def read(self, path: str, wait_s: float = 0.0) -> Result[CallAnswer, CallFailure]:
        """GET a path; the answer may take `wait_s` longer than the timeout."""
        if not self._may_call("read"):
            return Error(_BEYOND_SHARE)
        with self._lock:
            kept = self._kept is not None
            self._interrupted = False
            result = self._read_once(path, wait_s)
            closed = result.is_error() and result.error.detail.startswith("closed")
            if closed and kept and not self._interrupted:
                result = self._read_once(path, wait_s)
            return result

    def change(self, path: str, body: Any, method: str = "POST") -> Result[CallAnswer, CallFailure]:
        """Send a call that changes something."""
        if not self._may_call("write"):
            return Error(_BEYOND_SHARE)
        connection = self._connection(0.0)
        try:
            connection.connect()
        except OSError as error:
            return Error(CallFailure("not_sent", repr(error)))
        try:
            payload = json.dumps(body, separators=(",", ":")).encode()
            connection.request(method, path, payload, {"Content-Type": "application/json"})
            return Ok(_answer(connection.getresponse()))
        except (OSError, http.client.HTTPException, ValueError) as error:
            return Error(CallFailure("lost", repr(error)))
        finally:
            connection.close()

    def interrupt(self) -> None:
        """Shut the kept connection down, which ends a read on another thread."""
        self._interrupted = True
        kept = self._kept
        try:
            if kept is not None and kept.sock is not None:
                kept.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other thread has closed it already.
            return

    def close(self) -> None:
        """Close the kept connection."""
        with self._lock:
            self._drop()

    def _may_call(self, kind: CallKind) -> bool:
        if self._pace is None:
            return True
        if self._urgent:
            self._pace.took(kind)
            return True
        return self._pace.take(kind)

    def _read_once(self, path: str, wait_s: float) -> Result[CallAnswer, CallFailure]:
        try:
            if self._kept is None:
                self._kept = self._connection(wait_s)
                self._kept.connect()
            self._kept.sock.settimeout(self._timeout_s + wait_s)
            self._kept.request("GET", path)
            answer = self._kept.getresponse()
            result = _answer(answer)
            if answer.will_close:
                self._drop()
            return Ok(result)
        except (ConnectionError, http.client.RemoteDisconnected) as error:
            self._drop()
            return Error(CallFailure("lost", f"closed: {error!r}"))
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._drop()
            return Error(CallFailure("lost", repr(error)))

    def _connection(self, wait_s: float) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self._address, timeout=self._timeout_s + wait_s)

    def _drop(self) -> None:
        if self._kept is not None:
            self._kept.close()
            self._kept = None


def _answer(answer: http.client.HTTPResponse) -> CallAnswer:
    payload = answer.read()
    body = json.loads(payload) if payload else {}
    return CallAnswer(answer.status, body if isinstance(body, dict) else {})
