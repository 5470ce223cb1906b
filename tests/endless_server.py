"""Faulty servers that send bytes without completing an answer until the caller disconnects."""

import contextlib
import itertools
import socket
import threading
import time

from laburnumreel_standins.processes import free_port, fresh_host

# Bytes after which the server stops; only a caller without a limit reads that many.
MAX_SENT = 400 * 1024 * 1024
PIECE = 64 * 1024


def make_endless_answer(head, piece, pause_s=0.0):
    """Return a handler that sends `head` and then `piece` again and again."""

    def answer(sock):
        sock.sendall(head)
        block = piece if pause_s else piece * max(1, PIECE // len(piece))
        for _ in range(MAX_SENT // len(block)):
            sock.sendall(block)
            time.sleep(pause_s)

    return answer


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"2\r\nok\r\n0\r\n"
LONG_BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"

# Answers that never end, by the part that is repeated. None of them has a complete body.
ENDLESS = {
    "lines of a head": make_endless_answer(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n"),
    "one line of a head": make_endless_answer(b"HTTP/1.1 200 OK\r\nX-More: ", b"x"),
    "lines of a head, bit by bit": make_endless_answer(b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n", 0.05),
    "answers with 100": make_endless_answer(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "answers with 103": make_endless_answer(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "answers with 102, bit by bit": make_endless_answer(
        b"", b"HTTP/1.1 102 Processing\r\n\r\n", 0.05
    ),
    "bytes of no protocol": make_endless_answer(b"", b"\x00\xff"),
    "a body": make_endless_answer(LONG_BODY, b"x"),
    "a body without length": make_endless_answer(b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "chunks": make_endless_answer(CHUNKED, b"2\r\nok\r\n"),
    "the line of a chunk": make_endless_answer(CHUNKED + b"2;", b"x"),
    "the line of a chunk, bit by bit": make_endless_answer(CHUNKED + b"2;", b"x", 0.05),
    "trailers": make_endless_answer(LAST_CHUNK, b"X-More: 1\r\n"),
    "trailers, bit by bit": make_endless_answer(LAST_CHUNK, b"X: 1\r\n", 0.05),
}


class EndlessServer:
    """Answers each request with the next of the given functions of the socket."""

    def __init__(self, *answers):
        self.address = (host := fresh_host(), free_port(host))
        self.connections = 0
        self._listener = socket.create_server(self.address)
        self._answers = itertools.cycle(answers)
        self._open = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connections += 1
                self._open.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        # Sending fails when the caller closes the connection.
        with contextlib.suppress(OSError):
            while sock.recv(PIECE):
                next(self._answers)(sock)

    def end(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._open:
            sock.close()
