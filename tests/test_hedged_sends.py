"""Tests of hedged requests: a second backend server is asked while the first one is silent."""

import threading
import time

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    close_unanswered,
    echo,
    event,
    send_refusal,
    send_truncated,
    send_whole,
    stream,
)
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

EVENTS = b"".join(event(number) for number in range(1, 6))
# How long the first server stays silent after the second one was asked, and the same if the second
# one does not respond at all.
RESUME_DELAY_S, SHORT_RESUME_DELAY_S = 0.2, 0.05
# How long the second server is silent before it answers or fails.
LATE_S = 0.6
# Calls that the host makes on its own use other paths.
PATHS = ("/talk/", "/safe/")


class SilentFirstServers:
    """Servers of which the first one asked falls silent, and the others answer with `following`.

    The first one resumes shortly after a second one was asked. It falls silent before its head if
    `after` is None, and otherwise after that many events.
    """

    def __init__(self, world, service, following, after=None, count=2):
        self.sends = []
        self._following, self._after = following, after
        self._lock, self._second_asked = threading.Lock(), threading.Event()
        self._is_stream = service == "quotes"
        for number in range(count):
            world.worker(f"b{number}", service, default_answer=self._answer, Stage="decode")

    def _answer(self, handler):
        if not handler.path.startswith(PATHS):
            handler.respond(404)
            return
        with self._lock:
            self.sends.append(time.monotonic())
            is_first = len(self.sends) == 1
        if is_first:
            self._answer_first(handler)
            return
        self._second_asked.set()
        self._following(handler)

    def _answer_first(self, handler):
        if self._after is None:
            self._hang()
        if not self._is_stream:
            send_whole(handler)
            return
        begin_stream(handler)
        for number in range(1, 6):
            if number - 1 == self._after:
                self._hang()
            chunk(handler, event(number))
        handler.wfile.write(b"0\r\n\r\n")

    def _hang(self):
        assert self._second_asked.wait(8.0)
        time.sleep(SHORT_RESUME_DELAY_S if self._following is never_answer else RESUME_DELAY_S)


def never_answer(handler):
    """Send nothing until the caller disconnects."""
    handler.connection.settimeout(10.0)
    handler.rfile.read(1)
    handler.close_connection = True


def answer_late(handler):
    time.sleep(0.8)
    send_whole(handler)


def answer_failure(handler):
    send_whole(handler, 500, b"no")


def answer_without_http(handler):
    handler.wfile.write(b"220 mail.example ESMTP\r\n")
    handler.close_connection = True


def answer_other_type(handler):
    """Answer with a success that does not continue the stream."""
    handler.respond(
        200, b"{}", [*echo(handler), ("Response-Signature", "s"), ("Content-Type", "text/plain")]
    )


USELESS_ANSWERS = [
    never_answer,
    send_refusal,
    answer_failure,
    close_unanswered,
    answer_without_http,
]


def ask(relay, path):
    status, _, body = Caller(relay).ask(path, Deadline_Ms="5000", **PROMPT_HEADERS)
    return status, body


def parameter_id(value):
    return getattr(value, "__name__", str(value))


class TestHealthyServer:
    """The answer of a healthy server that pauses is not lost, whatever the second one does."""

    @pytest.mark.parametrize(
        ("after", "following"),
        [(after, answer) for after in (None, 0, 2) for answer in USELESS_ANSWERS]
        + [(2, send_truncated), (2, answer_other_type)],
        ids=parameter_id,
    )
    def test_stream_survives_a_useless_second_server(self, world, after, following):
        servers = SilentFirstServers(world, "quotes", following, after)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)
        assert len(servers.sends) == 2

    @pytest.mark.parametrize("following", USELESS_ANSWERS, ids=parameter_id)
    def test_whole_answer_survives_a_useless_second_server(self, world, following):
        servers = SilentFirstServers(world, "orders", following)
        assert ask(world.start_relay(), "/safe/x") == (200, b"done")
        assert len(servers.sends) == 2


class ScriptedServers:
    """Servers that give the scripted answers in order, whichever server is asked."""

    def __init__(self, world, service, *answers, attempts=2):
        self.sends, self.disconnected_at = [], {}
        self._answers, self._lock = answers, threading.Lock()
        self.asked = [threading.Event() for _ in answers]
        settings = config()
        for route in settings["Routes"]:
            route["MaxAttempts"] = attempts
        world.store.put("op", "config", settings)
        for number in range(len(answers)):
            world.worker(f"b{number}", service, default_answer=self._answer, Stage="decode")

    def _answer(self, handler):
        if not handler.path.startswith(PATHS):
            handler.respond(404)
            return
        with self._lock:
            number = len(self.sends)
            self.sends.append(time.monotonic())
        self.asked[number].set()
        self._answers[number](handler)

    def make_silent_handler(self, number):
        """Return a handler that never answers and records when its caller disconnects."""

        def answer(handler):
            never_answer(handler)
            self.disconnected_at[number] = time.monotonic()

        return answer


def stream_late(handler):
    time.sleep(0.8)
    stream()(handler)


def make_lost_after_second_send(servers):
    def answer(handler):
        assert servers.asked[1].wait(8.0)
        close_unanswered(handler)

    return answer


class TestSecondServer:
    """The second server's answer is used if it arrives first."""

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_slow_second_server_is_awaited(self, world, path):
        service, usual = ("quotes", stream_late) if path == "/talk/x" else ("orders", answer_late)
        servers = ScriptedServers(world, service, never_answer, usual)
        status, body = ask(world.start_relay(), path)
        assert (status, body) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 2

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_third_server_is_asked_if_the_second_one_is_silent_too(self, world, path):
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", send_whole)
        servers = ScriptedServers(world, service, never_answer, never_answer, usual, attempts=3)
        status, body = ask(world.start_relay(), path)
        assert (status, body) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 3

    @pytest.mark.parametrize("begun", [False, True])
    def test_hedge_continues_if_the_first_server_breaks_off(self, world, begun):
        servers = ScriptedServers(world, "quotes", None, stream_late)

        def break_off(handler):
            if begun:
                begin_stream(handler)
                chunk(handler, event(1))
            assert servers.asked[1].wait(8.0)
            time.sleep(RESUME_DELAY_S)
            close_unanswered(handler)

        servers._answers = (break_off, stream_late)
        relay = world.start_relay()
        assert ask(relay, "/talk/x") == (200, EVENTS)
        assert len(servers.sends) == 2
        resumed = relay.find_log_lines("request_resumed")
        assert len(resumed) == (1 if begun else 0)

    def test_refusal_of_the_first_server_does_not_hide_a_possible_run_at_the_second(self, world):
        """The first server refuses after the hedged send was made, and the second breaks off."""
        servers = ScriptedServers(world, "orders", None, None)

        def refuse_late(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(RESUME_DELAY_S)
            send_refusal(handler)

        def lost_late(handler):
            time.sleep(3 * RESUME_DELAY_S)
            close_unanswered(handler)

        servers._answers = (refuse_late, lost_late)
        assert ask(world.start_relay(), "/safe/x")[0] == 502
        assert len(servers.sends) == 2

    def test_silent_server_is_disconnected_when_the_second_one_answers(self, world):
        """A server whose answer is not needed works for at most half a second."""
        servers = ScriptedServers(world, "quotes", None, None)
        servers._answers = (servers.make_silent_handler(0), stream())
        relay = world.start_relay()
        answered = time.monotonic()
        assert ask(relay, "/talk/x") == (200, EVENTS)
        wait_until(lambda: servers.disconnected_at, "the silent server is disconnected")
        assert servers.disconnected_at[0] - servers.sends[1] < 0.5 and servers.sends[1] > answered

    def test_second_server_is_disconnected_when_the_first_one_resumes(self, world):
        servers = ScriptedServers(world, "quotes", None, None)
        resumed_at = []

        def resume(handler):
            begin_stream(handler)
            chunk(handler, event(1))
            assert servers.asked[1].wait(8.0)
            time.sleep(SHORT_RESUME_DELAY_S)
            resumed_at.append(time.monotonic())
            for number in range(2, 6):
                chunk(handler, event(number))
            handler.wfile.write(b"0\r\n\r\n")

        servers._answers = (resume, servers.make_silent_handler(1))
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)
        wait_until(lambda: servers.disconnected_at, "the second server is left")
        assert servers.disconnected_at[1] - resumed_at[0] < 0.5

    def test_slot_of_an_unneeded_hedge_is_released(self, world):
        """Each server has one slot; both can be used after a request that was sent to both."""
        servers = ScriptedServers(world, "orders", None, send_refusal, send_whole, send_whole)
        for name in ("b2", "b3"):
            world.store.put("servers", name, None)
        for name in ("b0", "b1"):
            entry = world.store.value("servers", name)
            world.store.put("servers", name, {**entry, "Slots": 1})

        def answer_after_hedge(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(RESUME_DELAY_S)
            send_whole(handler)

        servers._answers = (answer_after_hedge, servers.make_silent_handler(1), *[send_whole] * 6)
        servers.asked += [threading.Event() for _ in range(6)]
        relay = world.start_relay()
        assert [ask(relay, "/safe/x") for _ in range(4)] == [(200, b"done")] * 4

    def test_resumed_stream_runs_at_two_servers_only_briefly(self, world):
        """The first server is left once the second one, after a while, has sent an event."""
        servers = ScriptedServers(world, "quotes", None, None)
        hang = servers.make_silent_handler(0)
        resumed_at = []

        def stop_streaming(handler):
            begin_stream(handler)
            chunk(handler, event(1))
            hang(handler)

        def stream_late(handler):
            time.sleep(LATE_S)
            resumed_at.append(time.monotonic())
            stream(gap_s=0.2)(handler)

        servers._answers = (stop_streaming, stream_late)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)
        assert -0.1 < servers.disconnected_at[0] - resumed_at[0] < 0.4

    @pytest.mark.parametrize(
        "following", [never_answer, send_refusal, answer_failure, close_unanswered]
    )
    def test_stream_survives_a_second_server_that_fails_late(self, world, following):
        servers = ScriptedServers(world, "quotes", None, None)

        def resume_late(handler):
            begin_stream(handler)
            chunk(handler, event(1))
            assert servers.asked[1].wait(8.0)
            time.sleep(LATE_S + RESUME_DELAY_S)
            for number in range(2, 6):
                chunk(handler, event(number))
            handler.wfile.write(b"0\r\n\r\n")

        def fail_late(handler):
            time.sleep(LATE_S)
            following(handler)

        servers._answers = (resume_late, fail_late)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)

    def test_caller_disconnect_ends_a_hedge_that_was_taken_over(self, world):
        servers = ScriptedServers(world, "quotes", None, None)
        servers._answers = (make_lost_after_second_send(servers), servers.make_silent_handler(1))
        relay = world.start_relay()
        caller = Caller(relay)
        caller.send("/talk/x", Deadline_Ms="5000", **PROMPT_HEADERS)
        assert servers.asked[1].wait(8.0)
        wait_until(
            lambda: relay.find_log_lines("attempt_failed"), "the first server has broken off"
        )
        caller.connection.close()
        deadline = time.monotonic() + 0.5
        wait_until(lambda: servers.disconnected_at, "the second server is left")
        assert servers.disconnected_at[1] < deadline

    def test_hedged_answer_to_a_head_request_is_used(self, world):
        """The answer consists of its head only, although the head announces chunks."""

        def head_only(handler):
            handler.send_response_only(200)
            for name, value in [*echo(handler), ("Response-Signature", "s")]:
                handler.send_header(name, value)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()

        servers = ScriptedServers(world, "orders", never_answer, head_only)
        relay = world.start_relay()
        assert Caller(relay).ask("/safe/x", "HEAD", Deadline_Ms="5000")[0] == 200
        assert len(servers.sends) == 2
        assert relay.find_log_lines("silent_server_left")
