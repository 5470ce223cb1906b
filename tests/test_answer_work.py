"""Tests of the bounds on the work of one answer, in heads, chunks and events, not in time."""

import http.client
import socket

import pytest

from laburnumreel.core import ManualClock
from laburnumreel.transport import BackEndFailureError, CostlyAnswerError, _answer_work
from laburnumreel.transport._answer_work import MAX_CHUNKS, MAX_HEADS, AnswerWork
from laburnumreel.transport._exchange import Exchange, _Connection
from laburnumreel.transport._metrics import COSTLY_ANSWERS
from laburnumreel.transport._sockets import BackEndSocket, set_timeout

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 10.0


@pytest.fixture
def connect():
    """A function that returns an exchange whose request was sent, and the server's socket."""
    sockets = []

    def open_exchange(answer):
        ours, theirs = socket.socketpair()
        sockets.append(theirs)
        theirs.sendall(answer)
        sock = BackEndSocket(fileno=ours.detach())
        set_timeout(sock, TIMEOUT_S)
        connection = _Connection("server", 80)
        connection.sock = sock
        exchange = Exchange(("server", 80), connection, 0.0, lambda exchange: None)
        exchange.write("GET", "/", {}, None, TIMEOUT_S)
        return exchange

    yield open_exchange
    for sock in sockets:
        sock.close()


@pytest.fixture
def heads_read(monkeypatch):
    """A list that grows by one entry with each head that is parsed."""
    heads, read_status = [], http.client.HTTPResponse._read_status

    def count(response):
        heads.append(response)
        return read_status(response)

    monkeypatch.setattr(http.client.HTTPResponse, "_read_status", count)
    return heads


@pytest.mark.parametrize("status", [100, 102, 103])
@pytest.mark.parametrize("one_head", [False, True])
class TestHeads:
    """Guards against servers that keep a core busy with interim answers in series."""

    def test_interim_heads_are_bounded_by_number(self, connect, heads_read, status, one_head):
        """With `one_head`, a hedged send reads one after the other, each within new limits."""
        exchange = connect(f"HTTP/1.1 {status} Interim\r\n\r\n".encode() * 3000 + OK)
        refused = COSTLY_ANSWERS.value(unit="heads")
        with pytest.raises(BackEndFailureError) as failed:
            while not exchange.read_head("GET", TIMEOUT_S, one_head=one_head):
                pass
        assert failed.value.reason == "too_costly" and failed.value.sent
        # A head more may be accepted for each second that the test takes.
        assert len(heads_read) < 2 * MAX_HEADS
        assert COSTLY_ANSWERS.value(unit="heads") == refused + 1

    def test_some_interim_heads_are_accepted(self, connect, heads_read, status, one_head):
        exchange = connect(f"HTTP/1.1 {status} Interim\r\n\r\n".encode() * (MAX_HEADS - 1) + OK)
        while not exchange.read_head("GET", TIMEOUT_S, one_head=one_head):
            pass
        assert exchange.read() == b"ok" and len(heads_read) == MAX_HEADS


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def make_chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def read_body(exchange):
    """Read the answer and return its body and the number of reads."""
    exchange.read_head("GET", TIMEOUT_S)
    pieces = []
    while piece := exchange.read():
        pieces.append(piece)
    return b"".join(pieces), len(pieces)


class TestChunks:
    """Guards against servers that keep a core busy with small chunks."""

    # The reader's buffer holds 8 KiB; what is cut at its end takes one or two further reads.
    MAX_READS = 4

    @pytest.mark.parametrize("size", [1, 10, 100])
    def test_chunks_that_were_received_together_are_read_together(self, connect, size):
        chunks = make_chunk(size * b"x") * (8000 // len(make_chunk(size * b"x")))
        exchange = connect(CHUNKED + chunks + LAST_CHUNK)
        body, reads = read_body(exchange)
        assert body.strip(b"x") == b"" and exchange.complete and reads <= self.MAX_READS

    @pytest.mark.parametrize("chunk", [make_chunk(b"x"), make_chunk(b"x", b";" + 500 * b"a")])
    def test_single_bytes_are_bounded_by_number(self, connect, monkeypatch, chunk):
        monkeypatch.setattr(_answer_work, "MAX_CHUNKS", 50)
        monkeypatch.setattr(_answer_work, "CHUNKS_PER_S", 0.0)
        exchange = connect(CHUNKED + 300 * chunk + LAST_CHUNK)
        with pytest.raises(BackEndFailureError) as failed:
            exchange.read_head("GET", TIMEOUT_S)
            while exchange.read():
                pass
        assert failed.value.reason == "too_costly"

    def test_single_bytes_from_a_server_are_bounded_by_number(self):
        work = AnswerWork(ManualClock().now)
        with pytest.raises(CostlyAnswerError):
            for _ in range(2 * MAX_CHUNKS):
                work.count_chunks(1, 1, 3)

    def test_bytes_of_a_chunk_allow_others_only_after_it_was_received(self, connect):
        exchange = connect(CHUNKED + b"fffffffffffffff\r\n" + 5000 * b"x")
        exchange.read_head("GET", TIMEOUT_S)
        exchange.set_timeout(0.05)
        with pytest.raises(BackEndFailureError) as failed:
            while exchange.read():
                pass
        assert failed.value.reason == "silent"

    @pytest.mark.parametrize(
        "event, count",
        [(b"data: a\n\n", 15_000), (b"id: 1\ndata: a\n\n", 100_000), (100 * b"x", 100_000)],
    )
    def test_sound_stream_may_come_at_any_rate_in_a_chunk_for_each_event(self, event, count):
        work = AnswerWork(ManualClock().now)
        for _ in range(count):
            work.count_chunks(1, len(event), 4)

    def test_single_bytes_at_a_human_rate_are_accepted_for_hours(self):
        clock = ManualClock()
        work = AnswerWork(clock.now)
        for _ in range(360_000):
            work.count_chunks(1, 1, 3)
            clock.advance(0.02)
