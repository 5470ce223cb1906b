"""Tests of the bounds on the work of one answer, in heads, chunks and events, not in time."""

import http.client
import socket

import pytest

from laburnumreel.transport import BackEndFailureError
from laburnumreel.transport._answer_work import MAX_HEADS
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
