"""Tests of requests that wait for a silent backend server and for a second one at the same time."""

import threading
import time

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    echo,
    event,
    lost,
    refused,
    stream,
    truncated,
    whole,
)
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT, Caller

pytestmark = pytest.mark.processes

EVENTS = b"".join(event(number) for number in range(1, 6))
# How long the first server stays silent once the second one has shown what it does, and where that
# one shows nothing.
LINGER_S, SHORT_LINGER_S = 0.2, 0.05
# What the host itself asks servers has other paths.
PATHS = ("/talk/", "/safe/")


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
        if not handler.path.startswith(PATHS):
            handler.respond(404)
            return
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
        time.sleep(SHORT_LINGER_S if self._following is dead else LINGER_S)


def dead(handler):
    """Say nothing until the caller has left."""
    handler.connection.settimeout(10.0)
    handler.rfile.read(1)
    handler.close_connection = True


def slow_whole(handler):
    time.sleep(0.8)
    whole(handler)


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


class Scripted:
    """Servers whose answers are given by the order in which they are asked, whichever is asked."""

    def __init__(self, world, service, *answers, attempts=2):
        self.sends, self.left_at = [], {}
        self._answers, self._lock = answers, threading.Lock()
        self.asked = [threading.Event() for _ in answers]
        settings = config()
        for route in settings["Routes"]:
            route["MaxAttempts"] = attempts
        world.store.put("op", "config", settings)
        for number in range(len(answers)):
            world.worker(f"b{number}", service, usual=self._answer, Stage="decode")

    def _answer(self, handler):
        if not handler.path.startswith(PATHS):
            handler.respond(404)
            return
        with self._lock:
            number = len(self.sends)
            self.sends.append(time.monotonic())
        self.asked[number].set()
        self._answers[number](handler)

    def stays_silent(self, number):
        """Return an answer that never comes, and note when its caller leaves."""

        def answer(handler):
            dead(handler)
            self.left_at[number] = time.monotonic()

        return answer


def begins_late(handler):
    time.sleep(0.8)
    stream()(handler)


def lost_once_asked_again(servers):
    def answer(handler):
        assert servers.asked[1].wait(8.0)
        lost(handler)

    return answer


class TestSecondServer:
    """The second server's answer is taken where it is the first to come."""

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_second_server_may_take_its_time(self, world, path):
        service, usual = ("quotes", begins_late) if path == "/talk/x" else ("orders", slow_whole)
        servers = Scripted(world, service, dead, usual)
        status, body = ask(world.relay(), path)
        assert (status, body) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 2

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_third_server_is_asked_where_the_second_one_is_silent_too(self, world, path):
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", whole)
        servers = Scripted(world, service, dead, dead, usual, attempts=3)
        status, body = ask(world.relay(), path)
        assert (status, body) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 3

    @pytest.mark.parametrize("begun", [False, True])
    def test_second_send_goes_on_where_the_first_server_breaks_off(self, world, begun):
        servers = Scripted(world, "quotes", None, begins_late)

        def breaks_off(handler):
            if begun:
                begin_stream(handler)
                chunk(handler, event(1))
            assert servers.asked[1].wait(8.0)
            time.sleep(LINGER_S)
            lost(handler)

        servers._answers = (breaks_off, begins_late)
        relay = world.relay()
        assert ask(relay, "/talk/x") == (200, EVENTS)
        assert len(servers.sends) == 2
        resumed = relay.logged("request_resumed")
        assert len(resumed) == (1 if begun else 0)

    def test_refusal_of_the_first_server_does_not_hide_what_the_second_may_have_run(self, world):
        """The first server refuses, not run, after a second send; the second one breaks off."""
        servers = Scripted(world, "orders", None, None)

        def refuses_late(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(LINGER_S)
            refused(handler)

        def lost_late(handler):
            time.sleep(3 * LINGER_S)
            lost(handler)

        servers._answers = (refuses_late, lost_late)
        assert ask(world.relay(), "/safe/x")[0] == 502
        assert len(servers.sends) == 2

    def test_both_servers_are_left_as_soon_as_one_answers(self, world):
        """No more than half a second passes in which a server works for nobody."""
        servers = Scripted(world, "quotes", None, None)
        servers._answers = (servers.stays_silent(0), stream())
        relay = world.relay()
        answered = time.monotonic()
        assert ask(relay, "/talk/x") == (200, EVENTS)
        wait_until(lambda: servers.left_at, "the silent server is left")
        assert servers.left_at[0] - servers.sends[1] < 0.5 and servers.sends[1] > answered

    def test_second_server_is_left_as_soon_as_the_first_one_goes_on(self, world):
        servers = Scripted(world, "quotes", None, None)
        went_on = []

        def goes_on(handler):
            begin_stream(handler)
            chunk(handler, event(1))
            assert servers.asked[1].wait(8.0)
            time.sleep(SHORT_LINGER_S)
            went_on.append(time.monotonic())
            for number in range(2, 6):
                chunk(handler, event(number))
            handler.wfile.write(b"0\r\n\r\n")

        servers._answers = (goes_on, servers.stays_silent(1))
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)
        wait_until(lambda: servers.left_at, "the second server is left")
        assert servers.left_at[1] - went_on[0] < 0.5

    def test_place_of_a_second_send_that_was_not_needed_is_free_again(self, world):
        """Each server has one place; both can be used after a request that was sent to both."""
        servers = Scripted(world, "orders", None, refused, whole, whole)
        for name in ("b2", "b3"):
            world.store.put("servers", name, None)
        for name in ("b0", "b1"):
            entry = world.store.value("servers", name)
            world.store.put("servers", name, {**entry, "Slots": 1})

        def late(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(LINGER_S)
            whole(handler)

        servers._answers = (late, servers.stays_silent(1), *[whole] * 6)
        servers.asked += [threading.Event() for _ in range(6)]
        relay = world.relay()
        assert [ask(relay, "/safe/x") for _ in range(4)] == [(200, b"done")] * 4

    def test_stream_that_goes_on_is_not_at_two_servers_for_long(self, world):
        """The second server, which takes its time, begins only once the first one was left."""
        servers = Scripted(world, "quotes", None, None)
        dies = servers.stays_silent(0)

        def stops(handler):
            begin_stream(handler)
            chunk(handler, event(1))
            dies(handler)

        def begins_once_alone(handler):
            wait_until(lambda: servers.left_at, "the first server is left")
            stream()(handler)

        servers._answers = (stops, begins_once_alone)
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)
        assert servers.left_at[0] - servers.sends[1] < 0.4

    def test_caller_that_leaves_ends_a_second_send_that_was_taken_over(self, world):
        servers = Scripted(world, "quotes", None, None)
        servers._answers = (lost_once_asked_again(servers), servers.stays_silent(1))
        relay = world.relay()
        caller = Caller(relay)
        caller.send("/talk/x", Deadline_Ms="5000", **PROMPT)
        assert servers.asked[1].wait(8.0)
        wait_until(lambda: relay.logged("attempt_failed"), "the first server has broken off")
        caller.connection.close()
        left_by = time.monotonic() + 0.5
        wait_until(lambda: servers.left_at, "the second server is left")
        assert servers.left_at[1] < left_by

    def test_second_answer_to_a_head_request_is_taken(self, world):
        """Its head is all that comes, although it tells of chunks."""

        def head_only(handler):
            handler.send_response_only(200)
            for name, value in [*echo(handler), ("Response-Signature", "s")]:
                handler.send_header(name, value)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()

        servers = Scripted(world, "orders", dead, head_only)
        relay = world.relay()
        assert Caller(relay).ask("/safe/x", "HEAD", Deadline_Ms="5000")[0] == 200
        assert len(servers.sends) == 2
        assert relay.logged("silent_server_left")
