"""Servers that stall in the middle of responses and resume, and servers that die for good."""

import contextlib
import random
import select
import socket
import time

from platform_answers import echo, event
from silence_history import make_body

# A stalled server notices within this time that its caller has closed the connection.
POLL_INTERVAL_S = 0.02
# Shares of requests that a server refuses, and whose responses it breaks off.
REFUSED_SHARE, BROKEN_SHARE = 0.02, 0.02
# Where in a request or response a stall may begin. With "unread" the request waits unprocessed; if
# the caller leaves meanwhile, the request may run all the same.
STALL_PLACES = ("unread", "head", "first", "gap")


class _CallerLeftError(Exception):
    """The relay has closed the connection."""


class Server:
    """A worker that sends its responses in pieces and can stall between and within them."""

    def __init__(self, world, history, name, service, seed, stage=None):
        self.name, self.service, self.seed = name, service, seed
        self._history = history
        self._connections, self._open_sends = set(), set()
        self.stalled_until = 0.0
        # "dark": silent for good; "refused": resets and refuses connections; None: alive.
        self.failure_mode = None
        fields = {"Stage": stage} if stage else {}
        self.worker = world.worker(name, service, self._answer, **fields)
        self.entry = self.worker.entry(service, **fields)

    def stall(self, seconds):
        """Stall for the given time; has no effect on a server that is stalled already."""
        if time.monotonic() > self.stalled_until:
            self.stalled_until = time.monotonic() + seconds

    def kill(self, how):
        """Kill the server: "dark" sends nothing more, "refused" resets and refuses connections."""
        self.failure_mode = how
        for send in list(self._open_sends):
            send.end, send.ended_at = "broke", time.monotonic()
            self._history.dead_server_request_ids.add(send.request_id)
        if how == "refused":
            self.worker.end()
            for connection in list(self._connections):
                with contextlib.suppress(OSError):
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
                    )
                    connection.shutdown(socket.SHUT_RDWR)

    def _answer(self, handler):
        self._connections.add(handler.connection)
        if handler.path.startswith("/v1/"):
            # Releases of copies have succeeded already; copy orders conflict with one in progress.
            handler.respond(200 if handler.command == "DELETE" else 409)
            return
        request_id = handler.headers["Request-Id"]
        is_prefill = handler.headers.get("Serving-Stage") == "prefill"
        now = time.monotonic()
        send = self._history.record_arrival(request_id, self.name, self.service, is_prefill, now)
        rng = random.Random(f"{self.seed} {request_id} {self.name} {is_prefill}")
        self._open_sends.add(send)
        if self.failure_mode:
            send.end, send.ended_at = "broke", now
            self._history.dead_server_request_ids.add(request_id)
        try:
            self._serve(handler, send, rng)
            if send.end == "open":
                send.end = "whole"
        except (_CallerLeftError, OSError):
            handler.close_connection = True
            # If the server broke off by itself, `end` was set before.
            if send.end == "open":
                send.end, send.ended_at = "left", time.monotonic()
        finally:
            self._open_sends.discard(send)
            send.ended_at = send.ended_at or time.monotonic()

    def _serve(self, handler, send, rng):
        place = rng.choice(STALL_PLACES)
        send.unaffected_writes = STALL_PLACES.index(place) - 1
        if place == "unread":
            try:
                self._wait_out_stall(handler, send, "unread")
            except _CallerLeftError:
                # Half of the requests whose caller has left run all the same.
                if rng.random() < 0.5 and not self.failure_mode:
                    send.ran_at = time.monotonic()
                raise
        draw = rng.random()
        if draw < REFUSED_SHARE:
            handler.respond(503, headers=[("Not-Executed", "1"), *echo(handler)])
            handler.wfile.flush()
            return
        send.ran_at = time.monotonic()
        time.sleep(rng.uniform(0.0, 0.05))
        should_break = draw < REFUSED_SHARE + BROKEN_SHARE and not send.is_prefill
        if send.is_prefill:
            body = b'{"Handle":"h","Tokens":10,"Version":1}'
            self._write(
                handler, send, rng, _build_head(handler, f"Content-Length: {len(body)}") + body
            )
        elif self.service.startswith("quotes"):
            self._stream(handler, send, rng, should_break)
        else:
            size = int(handler.path.rpartition("/")[2])
            body = make_body(send.request_id, size)
            head = _build_head(handler, f"Content-Length: {size}")
            self._write(handler, send, rng, head)
            if should_break:
                self._break_off(handler, send, body[: size // 2])
            self._write(handler, send, rng, body)

    def _stream(self, handler, send, rng, should_break):
        count, _, gap_ms = handler.path.rpartition("/")[2].partition("-")
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        break_at = (
            rng.randrange(first, int(count) + 1) if should_break and first <= int(count) else None
        )
        head = _build_head(handler, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        self._write(handler, send, rng, head)
        for number in range(first, int(count) + 1):
            data = event(number)
            line = f"{len(data):x}\r\n".encode()
            chunk = line + data + b"\r\n"
            if number == break_at:
                self._break_off(handler, send, chunk[: rng.randrange(len(chunk))])
            self._write(handler, send, rng, chunk, len(line))
            time.sleep(int(gap_ms) / 1000 * rng.uniform(0.5, 1.5))
        self._write(handler, send, rng, b"0\r\n\r\n")

    def _write(self, handler, send, rng, data, line=0):
        """Send a piece; a stalled server sends its beginning now and the rest after the stall.

        `line` is the length in bytes of the chunk-size line at the start of a chunk.
        """
        if send.unaffected_writes > 0 and not self.failure_mode:
            send.unaffected_writes -= 1
        elif self._is_stalled():
            at = rng.choice([0, rng.randrange(line or len(data)), rng.randrange(len(data))])
            place = "before a piece" if not at else "in a chunk line" if at < line else "in a piece"
            handler.connection.sendall(data[:at])
            self._wait_out_stall(handler, send, f"{place} ({at} of {len(data)} bytes)")
            data = data[at:]
        handler.connection.sendall(data)

    def _is_stalled(self):
        return bool(self.failure_mode) or time.monotonic() < self.stalled_until

    def _wait_out_stall(self, handler, send, place):
        """Wait until the stall ends; raise `_CallerLeftError` if the caller leaves meanwhile."""
        started_at = time.monotonic()
        try:
            while self._is_stalled():
                readable, _, _ = select.select([handler.connection], [], [], POLL_INTERVAL_S)
                if readable and not handler.connection.recv(1, socket.MSG_PEEK):
                    raise _CallerLeftError
        finally:
            if time.monotonic() - started_at > POLL_INTERVAL_S:
                send.silences.append((place, started_at, time.monotonic()))

    def _break_off(self, handler, send, data):
        send.end, send.ended_at = "broke", time.monotonic()
        handler.connection.sendall(data)
        handler.connection.shutdown(socket.SHUT_RDWR)
        raise _CallerLeftError


def _build_head(handler, *lines):
    request_id = handler.headers["Request-Id"]
    lines = (f"Request-Id: {request_id}", f"Response-Signature: s.{request_id}", *lines)
    return ("HTTP/1.1 200 OK\r\n" + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()
