"""Tests of waits for servers in a process that is stopped and continued meanwhile."""

import select
import signal
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import pytest

from laburnumreel.transport import _sockets
from laburnumreel.transport._sockets import BackEndSocket, set_timeout

LIMIT_S = 2.0
STOP_AFTER_S = 0.3
STOP_S = 0.5
# Ends an endless wait; a process that waits in time ends long before.
MAX_WAIT_S = 30
CALL = f"""
import sys
from laburnumreel.transport import BackEndFailureError
from laburnumreel.transport._exchange import dial
print("began", flush=True)
try:
    exchange = dial((sys.argv[1], int(sys.argv[2])), {LIMIT_S}, lambda exchange: None)
    exchange.send("GET", "/", {{}}, None, {LIMIT_S})
except BackEndFailureError as error:
    print(error.reason)
"""


@pytest.fixture
def run_with_a_stop():
    """A function that calls a server in a process, stops it for a while, and returns its result."""
    processes = []

    def run(address):
        arguments = [sys.executable, "-c", CALL, address[0], str(address[1])]
        process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        processes.append(process)
        assert process.stdout.readline() == "began\n"
        time.sleep(STOP_AFTER_S)
        process.send_signal(signal.SIGSTOP)
        time.sleep(STOP_S)
        process.send_signal(signal.SIGCONT)
        return process.communicate(timeout=MAX_WAIT_S)[0].strip()

    yield run
    for process in processes:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.fixture
def unanswering_address():
    """An address at which connecting neither succeeds nor fails."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        waiting = []
        while True:
            # The queue of the listener is full as soon as a connection isn't established.
            connection = socket.socket()
            waiting.append(connection)
            connection.setblocking(False)
            connection.connect_ex(server.getsockname())
            if not select.select([], [connection], [], 0.2)[1]:
                break
        yield server.getsockname()
        for connection in waiting:
            connection.close()


def test_connect_ends_in_time_after_a_stop_of_the_process(run_with_a_stop, unanswering_address):
    """After a stop, connecting had no limit but the kernel's, of about two minutes."""
    assert run_with_a_stop(unanswering_address) == "connect_failed"


@pytest.mark.parametrize("has_wait", [True, False])
def test_silence_limit_includes_the_time_of_a_stop(monkeypatch, has_wait):
    """After a stop, a receive waited for its whole limit again, because Python repeats it.

    The clock that advances stands for the stop.
    """
    stopped_s = [0.0]
    clock = SimpleNamespace(monotonic=lambda: time.monotonic() + stopped_s[0])
    monkeypatch.setattr(_sockets, "time", clock)
    near, far = socket.socketpair()
    with BackEndSocket(near.family, near.type, 0, near.detach()) as sock, far:
        set_timeout(sock, 10 * MAX_WAIT_S)
        if has_wait:
            sock.begin_wait(10 * MAX_WAIT_S, 1000)
        stop = threading.Timer(0.1, stopped_s.__setitem__, (0, 20.0 * MAX_WAIT_S))
        ends_endless_wait = threading.Timer(MAX_WAIT_S, far.shutdown, (socket.SHUT_WR,))
        stop.start()
        ends_endless_wait.start()
        with pytest.raises(TimeoutError):
            sock.makefile("rb").readline()
        ends_endless_wait.cancel()
        sock.close_with_reader()


def test_silence_limit_may_exceed_one_receive(monkeypatch):
    """Guards against a limit that is cut to the one of a single receive."""
    monkeypatch.setattr(_sockets, "MAX_RECEIVE_S", 0.02)
    near, far = socket.socketpair()
    with BackEndSocket(near.family, near.type, 0, near.detach()) as sock, far:
        set_timeout(sock, MAX_WAIT_S)
        answer = threading.Timer(0.3, far.sendall, (b"late\n",))
        answer.start()
        assert sock.makefile("rb").readline() == b"late\n"
        answer.join()
        sock.close_with_reader()
