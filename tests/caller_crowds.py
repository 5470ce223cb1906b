"""Crowds of callers that stop short of the end of a request and keep their connections open."""

import contextlib
import errno
import selectors
import socket
import threading
import time
from pathlib import Path
from typing import NamedTuple

MB = 1024 * 1024
MAX_BODY_BYTES = 4 * MB
MAX_HEADER_BYTES = 16 * 1024
# What an unfinished body, or the framing around it, has of the largest size.
LONG_BYTES = MAX_BODY_BYTES - 64 * 1024
# A crowd has come to rest if nobody sent or received a byte for this long.
REST_S = 1.0
# A crowd that never comes to rest, or sends slowly, is met after this time.
MAX_REST_S = 8.0
SAMPLE_S = 0.05
# Connections that a crowd which comes again makes at most.
MAX_REJOINS = 50_000
REFUSALS = {400, 408, 413, 429, 431, 503}
# Receive buffer of callers that don't read their answers.
SMALL_BUFFER_BYTES = 4096
TCP_LISTEN_STATE = "0A"


class Form(NamedTuple):
    """What each caller of a crowd sends, after which it stays connected.

    With `pause_s`, the part after `prompt_bytes` is sent in single bytes with pauses between them.
    Without `reads`, answers stay unread; with `rejoins`, callers close and connect again.
    """

    wire: bytes
    piece_bytes: int = 256 * 1024
    pause_s: float = 0.0
    prompt_bytes: int = 0
    reads: bool = True
    rejoins: bool = False


def head(framing, path="/once/crowd", method="POST"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\n"
        f"Request-Id: crowd\r\nDeadline-Ms: 50000\r\n{framing}\r\n\r\n"
    ).encode()


LENGTH = head(f"Content-Length: {MAX_BODY_BYTES}")
CHUNKED = head("Transfer-Encoding: chunked")
SHORT_LENGTH = head(f"Content-Length: {32 * 1024}")
WHOLE = LENGTH + (MAX_BODY_BYTES - 1) * b"x"
TRAILER = b"X-Trailer-0123456789: 0123456789012345678901234567890123456789\r\n"
CHUNK = b"10000\r\n" + 0x10000 * b"x" + b"\r\n"
# Requests of a few bytes each, which fill a segment many times.
TINY_REQUEST = b"GET /open/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: tiny\r\n\r\n"

# Forms that ended a process or hung it by what they hold or by their work.
LOADS = {
    "whole_bodies": Form(WHOLE),
    "bodies_in_pieces": Form(WHOLE, piece_bytes=64 * 1024),
    "one_large_chunk": Form(CHUNKED + b"3f0000\r\n" + (0x3F0000 - 1) * b"x"),
    "chunks_of_64_KiB": Form(CHUNKED + 60 * CHUNK),
    "chunks_of_one_byte": Form(CHUNKED + LONG_BYTES // 6 * b"1\r\nx\r\n"),
    "chunks_of_some_bytes": Form(CHUNKED + LONG_BYTES // 12 * b"7\r\nseven 7\r\n"),
    "size_line_without_end": Form(CHUNKED + b"1;name=" + LONG_BYTES * b"x"),
    "trailers_without_end": Form(
        CHUNKED + b"1\r\nx\r\n0\r\n" + LONG_BYTES // len(TRAILER) * TRAILER
    ),
    "blank_lines": Form(LONG_BYTES // 2 * b"\r\n"),
    "requests_in_one_segment": Form(2000 * TINY_REQUEST),
}

# Forms that use up the connections.
STALLS = {
    "half_a_head": Form(CHUNKED[:60]),
    "largest_heads": Form(CHUNKED[:-2] + b"X-Long: " + (MAX_HEADER_BYTES - 400) * b"x"),
    "bodies_of_32_KiB": Form(SHORT_LENGTH + (32 * 1024 - 1) * b"x"),
    "whole_bodies": Form(WHOLE),
    "trailers_without_end": LOADS["trailers_without_end"],
    "a_byte_now_and_then": Form(
        SHORT_LENGTH + 32 * 1024 * b"x", pause_s=0.3, prompt_bytes=len(SHORT_LENGTH)
    ),
    "a_head_by_bytes": Form(CHUNKED, pause_s=0.3, prompt_bytes=20),
    "awaited_continue": Form(head(f"Content-Length: {32 * 1024}\r\nExpect: 100-continue")),
    "unread_answers": Form(
        head("Accept: */*", "/safe/large", "GET") + TINY_REQUEST[:20], reads=False
    ),
    "half_a_head_again_and_again": Form(CHUNKED[:60], rejoins=True),
}


class _Member:
    """One caller of a crowd, on the thread of the crowd."""

    def __init__(self, form, address):
        self.form = form
        self.position = 0
        self.next_at = 0.0
        self.received = bytearray()
        self.sock = socket.socket()
        if not form.reads:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.setblocking(False)
        error = self.sock.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, "a caller of the crowd can't connect")

    @property
    def has_sent_all(self):
        return self.position >= len(self.form.wire)

    def send(self, now):
        """Send the next piece and return whether any byte was accepted."""
        if self.has_sent_all or now < self.next_at:
            return False
        size = self.form.piece_bytes
        if self.form.pause_s:
            prompt = self.form.prompt_bytes
            size = prompt - self.position if self.position < prompt else 1
            self.next_at = now + self.form.pause_s
        sent = self.sock.send(memoryview(self.form.wire)[self.position : self.position + size])
        self.position += sent
        return sent > 0

    def receive(self):
        """Read what has come; return None at the end of the connection."""
        data = self.sock.recv(65536)
        if not data:
            return None
        self.received += data[: max(0, 4096 - len(self.received))]
        return data


class Crowd:
    """Callers that send a form each, by turns if there are several, on a thread of its own."""

    def __init__(self, address, count, *forms):
        self._address = address
        self._forms = forms
        self._stopping = threading.Event()
        self._changed_at = time.monotonic()
        self._selector = selectors.DefaultSelector()
        self._members = []
        self._joined = 0
        # Answers of members that have left.
        self._answers = []
        for number in range(count):
            self._join(forms[number % len(forms)])
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._stopping.set()
        self._thread.join()
        for member in self._members:
            member.sock.close()

    @property
    def statuses(self):
        """The statuses of final answers that callers got."""
        answers = [*self._answers, *(bytes(member.received) for member in self._members)]
        lines = [answer.split(b"\r\n", 1)[0] for answer in answers]
        return {int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1 ")} - {100}

    def wait_until_at_rest(self):
        """Wait until nobody sends or receives any more, but not for longer than `MAX_REST_S`."""
        began = time.monotonic()
        while time.monotonic() - began < MAX_REST_S:
            if time.monotonic() - self._changed_at > REST_S:
                return
            time.sleep(0.05)

    def _join(self, form):
        member = _Member(form, self._address)
        self._members.append(member)
        self._selector.register(member.sock, selectors.EVENT_WRITE, member)
        self._joined += 1

    def _leave(self, member):
        self._selector.unregister(member.sock)
        member.sock.close()
        self._members.remove(member)
        self._answers.append(bytes(member.received))
        if member.form.rejoins and self._joined < MAX_REJOINS and not self._stopping.is_set():
            self._join(member.form)

    def _run(self):
        while not self._stopping.is_set():
            now = time.monotonic()
            is_any_waiting = False
            for member in self._members:
                wanted = selectors.EVENT_READ if member.form.reads else 0
                if not member.has_sent_all and now >= member.next_at:
                    wanted |= selectors.EVENT_WRITE
                is_any_waiting = is_any_waiting or not member.has_sent_all
                self._selector.modify(member.sock, wanted or selectors.EVENT_WRITE, member)
            for key, events in self._selector.select(0.05):
                try:
                    self._serve(key.data, events, now)
                except BlockingIOError:
                    continue
                except OSError:
                    self._changed_at = now
                    self._leave(key.data)
            if not is_any_waiting:
                self._stopping.wait(0.02)

    def _serve(self, member, events, now):
        if events & selectors.EVENT_WRITE and member.send(now):
            self._changed_at = now
        if events & selectors.EVENT_READ and member.form.reads:
            data = member.receive()
            self._changed_at = now
            if data is None:
                self._leave(member)
                return
        if member.form.rejoins and member.has_sent_all:
            self._leave(member)


class ProcessWatch:
    """Samples what a process holds: its memory with bytes that nobody read yet, and descriptors."""

    def __init__(self, pid, host):
        self._folder = Path(f"/proc/{pid}")
        self._address = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        # The process may end while it is read.
        with contextlib.suppress(FileNotFoundError, ProcessLookupError, PermissionError):
            while not self._stopping.wait(SAMPLE_S):
                resident = self._status_bytes("VmRSS:") + self._unread_bytes()
                peak = max(resident, self._status_bytes("VmHWM:"))
                self.peak_bytes = max(self.peak_bytes, peak)
                descriptors = len(list((self._folder / "fd").iterdir()))
                self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _status_bytes(self, name):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(name):
                return 1024 * int(line.split()[1])
        return 0

    def _unread_bytes(self):
        """Return the bytes that the kernel has received for the process's host address."""
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.startswith(self._address) and state != TCP_LISTEN_STATE:
                unread += int(queues.partition(":")[2], 16)
        return unread
