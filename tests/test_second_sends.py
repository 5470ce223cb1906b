"""Tests of requests that wait for a silent backend server and for a second one at the same time."""

import threading
import time

import pytest
from platform_answers import begin_stream, chunk, echo, event, lost, refused, truncated, whole
from relay_caller import PROMPT, Caller

pytestmark = pytest.mark.processes

EVENTS = b"".join(event(number) for number in range(1, 6))
# How long the first server stays silent once the second one has shown what it does.
LINGER_S = 0.2


class Servers:
    """Servers of which the first that is asked falls silent, and the others do what a test says.

    The first one goes on a moment after a second one was asked. It is silent before its head where
    `after` is None, and else after so many events.
    """

    def __init__(self, world, service, following, after=None, count=2):
        self.sends = []
        self._following, self._after = following, after
        self._lock, self._asked_again = threading.Lock(), threading.Event()
        self._is_stream = service == "quotes"
        for number in range(count):
            world.worker(f"b{number}", service, usual=self._answer, Stage="decode")

    def _answer(self, handler):
        with self._lock:
            self.sends.append(time.monotonic())
            is_first = len(self.sends) == 1
        if is_first:
            self._first(handler)
            return
        self._asked_again.set()
        self._following(handler)

    def _first(self, handler):
        if self._after is None:
            self._stand_still()
        if not self._is_stream:
            whole(handler)
            return
        begin_stream(handler)
        for number in range(1, 6):
            if number - 1 == self._after:
                self._stand_still()
            chunk(handler, event(number))
        handler.wfile.write(b"0\r\n\r\n")

    def _stand_still(self):
        assert self._asked_again.wait(8.0)
        time.sleep(LINGER_S)


def dead(handler):
    """Say nothing until the caller has left."""
    handler.connection.settimeout(10.0)
    handler.rfile.read(1)
    handler.close_connection = True


def fails(handler):
    whole(handler, 500, b"no")


def not_an_answer(handler):
    handler.wfile.write(b"220 mail.example ESMTP\r\n")
    handler.close_connection = True


def other_kind(handler):
    """A success that does not go on with a stream."""
    handler.respond(
        200, b"{}", [*echo(handler), ("Response-Signature", "s"), ("Content-Type", "text/plain")]
    )


OF_NO_USE = [dead, refused, fails, lost, not_an_answer]


def ask(relay, path):
    status, _, body = Caller(relay).ask(path, Deadline_Ms="5000", **PROMPT)
    return status, body


def name_of(value):
    return getattr(value, "__name__", str(value))


class TestSoundServer:
    """A sound server that is silent is not lost for what a second one does."""

    @pytest.mark.parametrize(
        ("after", "following"),
        [(after, answer) for after in (None, 0, 2) for answer in OF_NO_USE]
        + [(2, truncated), (2, other_kind)],
        ids=name_of,
    )
    def test_stream_outlasts_a_second_server_that_is_of_no_use(self, world, after, following):
        servers = Servers(world, "quotes", following, after)
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)
        assert len(servers.sends) == 2

    @pytest.mark.parametrize("following", OF_NO_USE, ids=name_of)
    def test_whole_answer_outlasts_a_second_server_that_is_of_no_use(self, world, following):
        servers = Servers(world, "orders", following)
        assert ask(world.relay(), "/safe/x") == (200, b"done")
        assert len(servers.sends) == 2
