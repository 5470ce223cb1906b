"""Servers that stand still in the middle of answers and go on, and servers that are gone for good."""

import contextlib
import random
import select
import socket
import time

from platform_answers import echo, event
from silence_history import wanted_body

# How soon a server that stands still sees that its caller has left.
LOOK_S = 0.02
# The shares of requests that a server refuses, and whose answers it breaks off.
REFUSED, BROKEN = 0.02, 0.02
# Beside other places, a request may wait unread; a caller that leaves meanwhile may not stop its run.
PLACES = ("unread", "head", "first", "gap")


class _LeftError(Exception):
    """The relay has closed the connection."""


class Server:
    """A worker whose answers come in pieces, and that can stand still between and within them."""

    def __init__(self, world, history, name, service, seed, stage=None):
        self.name, self.service, self.seed = name, service, seed
        self._history = history
        self._connections, self._open = set(), set()
        self.still_until = 0.0
        # Gone: silent for good, or with its connections reset and its address refusing new ones.
        self.gone = None
        fields = {"Stage": stage} if stage else {}
        self.worker = world.worker(name, service, self._answer, **fields)
        self.entry = self.worker.entry(service, **fields)

    def stand_still(self, seconds):
        """Send nothing for a time; one that stands still already goes on as it was."""
        if time.monotonic() > self.still_until:
            self.still_until = time.monotonic() + seconds

    def die(self, how):
        """Be gone from now on: "dark" answers nothing more, "refused" is no longer there."""
        self.gone = how
        for held in list(self._open):
            held.end, held.ended_at = "broke", time.monotonic()
            self._history.met_gone.add(held.request_id)
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
            # Releases of copies hold already; orders meet another one that is in progress.
            handler.respond(200 if handler.command == "DELETE" else 409)
            return
        request_id = handler.headers["Request-Id"]
        only_read = handler.headers.get("Serving-Stage") == "prefill"
        now = time.monotonic()
        held = self._history.arrived(request_id, self.name, self.service, only_read, now)
        rng = random.Random(f"{self.seed} {request_id} {self.name} {only_read}")
        self._open.add(held)
        if self.gone:
            held.end, held.ended_at = "broke", now
            self._history.met_gone.add(request_id)
        try:
            self._serve(handler, held, rng)
            if held.end == "open":
                held.end = "whole"
        except (_LeftError, OSError):
            handler.close_connection = True
            # Where the server broke off by itself, that is noted before.
            if held.end == "open":
                held.end, held.ended_at = "left", time.monotonic()
        finally:
            self._open.discard(held)
            held.ended_at = held.ended_at or time.monotonic()

    def _serve(self, handler, held, rng):
        place = rng.choice(PLACES)
        held.passes = PLACES.index(place) - 1
        if place == "unread":
            try:
                self._pause(handler, held, "unread")
            except _LeftError:
                # Most servers drop a request whose caller has left.
                if rng.random() < 0.5 and not self.gone:
                    held.ran_at = time.monotonic()
                raise
        draw = rng.random()
        if draw < REFUSED:
            handler.respond(503, headers=[("Not-Executed", "1"), *echo(handler)])
            handler.wfile.flush()
            return
        held.ran_at = time.monotonic()
        time.sleep(rng.uniform(0.0, 0.05))
        breaks = draw < REFUSED + BROKEN and not held.only_read
        if held.only_read:
            body = b'{"Handle":"h","Tokens":10,"Version":1}'
            self._write(handler, held, rng, _head(handler, f"Content-Length: {len(body)}") + body)
        elif self.service.startswith("quotes"):
            self._stream(handler, held, rng, breaks)
        else:
            size = int(handler.path.rpartition("/")[2])
            body = wanted_body(held.request_id, size)
            head = _head(handler, f"Content-Length: {size}")
            self._write(handler, held, rng, head)
            if breaks:
                self._break_off(handler, held, body[: size // 2])
            self._write(handler, held, rng, body)

    def _stream(self, handler, held, rng, breaks):
        count, _, gap_ms = handler.path.rpartition("/")[2].partition("-")
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        break_at = rng.randrange(first, int(count) + 1) if breaks and first <= int(count) else None
        head = _head(handler, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        self._write(handler, held, rng, head)
        for number in range(first, int(count) + 1):
            data = event(number)
            line = f"{len(data):x}\r\n".encode()
            whole = line + data + b"\r\n"
            if number == break_at:
                self._break_off(handler, held, whole[: rng.randrange(len(whole))])
            self._write(handler, held, rng, whole, len(line))
            time.sleep(int(gap_ms) / 1000 * rng.uniform(0.5, 1.5))
        self._write(handler, held, rng, b"0\r\n\r\n")

    def _write(self, handler, held, rng, data, line=0):
        """Send a piece; a server that stands still sends its beginning and the rest later.

        `line` is the length of the line that begins a chunk.
        """
        if held.passes > 0 and not self.gone:
            held.passes -= 1
        elif self._is_still():
            at = rng.choice([0, rng.randrange(line or len(data)), rng.randrange(len(data))])
            place = "before a piece" if not at else "in a chunk line" if at < line else "in a piece"
            handler.connection.sendall(data[:at])
            self._pause(handler, held, f"{place} ({at} of {len(data)} bytes)")
            data = data[at:]
        handler.connection.sendall(data)

    def _is_still(self):
        return bool(self.gone) or time.monotonic() < self.still_until

    def _pause(self, handler, held, place):
        """Stand still as long as the server does; raises where the caller leaves meanwhile."""
        began = time.monotonic()
        try:
            while self._is_still():
                readable, _, _ = select.select([handler.connection], [], [], LOOK_S)
                if readable and not handler.connection.recv(1, socket.MSG_PEEK):
                    raise _LeftError
        finally:
            if time.monotonic() - began > LOOK_S:
                held.silences.append((place, began, time.monotonic()))

    def _break_off(self, handler, held, data):
        held.end, held.ended_at = "broke", time.monotonic()
        handler.connection.sendall(data)
        handler.connection.shutdown(socket.SHUT_RDWR)
        raise _LeftError


def _head(handler, *lines):
    request_id = handler.headers["Request-Id"]
    lines = (f"Request-Id: {request_id}", f"Response-Signature: s.{request_id}", *lines)
    return ("HTTP/1.1 200 OK\r\n" + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()
