"""Callers for a soak of planned work that pipeline, send bodies late and close by half."""

import dataclasses
import http.client
import socket
import threading
import time
from types import SimpleNamespace

from silence_callers import RESPONSE_MARGIN_S, Caller
from silence_history import STREAM_KINDS

# How a request is sent, with weights.
SEND_WAYS = {"whole": 70, "late body": 8, "chunked": 6, "pipelined": 8, "half closed": 2}
# The longest time between two parts of a late body.
BODY_PAUSE_S = 0.35
# Share of requests on idempotent routes that are sent twice at once, where the soak asks for it.
TWIN_SHARE = 0.2


class _SharedFile:
    """The reading side of a connection that several responses are read from."""

    def __init__(self, connection_socket):
        self._file = connection_socket.makefile("rb")

    def makefile(self, mode):
        file = self._file
        unclosed = {"close": lambda: None, "flush": lambda: None, "closed": False}
        reads = {
            name: getattr(file, name) for name in ("read", "read1", "readinto", "readline", "peek")
        }
        return SimpleNamespace(**unclosed, **reads)


class PlannedCaller(Caller):
    """A caller that also pipelines, sends bodies late or in chunks, and closes by half."""

    def _exchange(self, connection, record):
        self._way = self._rng.choices(list(SEND_WAYS), list(SEND_WAYS.values()))[0]
        if self._way == "pipelined" and record.kind not in STREAM_KINDS:
            return self._exchange_pipelined(connection, record)
        if self._setup.has_twins and record.kind == "safe" and self._rng.random() < TWIN_SHARE:
            return self._exchange_twins(connection, record)
        ended_at, is_reusable = super()._exchange(connection, record)
        if self._way == "half closed" and record.end != "whole":
            # The host takes this for a caller that has left.
            record.end = "left"
        return ended_at, is_reusable

    def _send_request(self, connection, record, headers):
        if self._way == "late body":
            connection.request(
                "POST", record.path, self._pieces(), {**headers, "Content-Length": "2"}
            )
        elif self._way == "chunked":
            headers["Transfer-Encoding"] = "chunked"
            connection.request("POST", record.path, self._pieces(), headers, encode_chunked=True)
        else:
            super()._send_request(connection, record, headers)
        if self._way == "half closed":
            connection.sock.shutdown(socket.SHUT_WR)

    def _pieces(self):
        for piece in (b"{", b"}"):
            time.sleep(self._rng.uniform(0.0, BODY_PAUSE_S))
            yield piece

    def _exchange_pipelined(self, connection, record):
        """Send two requests at once and read both responses."""
        second = self._new_record(record.relay, record.is_reused)
        data = b"".join(self._build_request(each) for each in (record, second))
        try:
            if connection.sock is None:
                connection.connect()
            connection.sock.sendall(data)
        except OSError:
            return time.monotonic(), False
        record.sent_at = second.sent_at = time.monotonic()
        connection.sock.settimeout(2 * self._setup.max_timeout_s + RESPONSE_MARGIN_S)
        shared = _SharedFile(connection.sock)
        is_reusable = False
        for each in (record, second):
            each.ended_at, is_reusable = self._read_response(lambda: _begin(shared), each)
            if not is_reusable:
                break
        if second.end == "unsent":
            # The connection ended with the first response, which excuses nothing if it was whole.
            second.end, second.ended_at = "closed", time.monotonic()
            if record.end != "whole":
                second.end = "left"
        self._history.record_request(second)
        return record.ended_at, is_reusable

    def _exchange_twins(self, connection, record):
        """Send two requests with one id at once, on two connections to the same host."""
        twin = dataclasses.replace(record)
        other = http.client.HTTPConnection(connection.host, connection.port, timeout=1.0)
        self._way = "whole"
        self._setup.twin_ids.add(record.request_id)

        def send_twin():
            twin.ended_at, _ = Caller._exchange(self, other, twin)

        thread = threading.Thread(target=send_twin)
        thread.start()
        ended_at, is_reusable = super()._exchange(connection, record)
        thread.join()
        other.close()
        self._history.record_request(twin)
        return ended_at, is_reusable

    def _build_request(self, record):
        headers = {**self._make_headers(record), "Content-Length": "2"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return f"POST {record.path} HTTP/1.1\r\n{lines}\r\n{{}}".encode()


def _begin(shared):
    response = http.client.HTTPResponse(shared, method="POST")
    response.begin()
    return response
