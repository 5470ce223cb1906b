"""Tests of races between the answers of the silent server and of the hedged send."""

import time

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    close_unanswered,
    echo,
    event,
    send_refusal,
    send_whole,
    stream,
)
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller
from test_hedged_sends import (
    EVENTS,
    RESUME_DELAY_S,
    ScriptedServers,
    SilentFirstServers,
    answer_failure,
    never_answer,
)

pytestmark = pytest.mark.processes

LAST_CHUNK = b"0\r\n\r\n"
# A pause of a healthy server in the middle of its answer.
ANSWER_PAUSE_S = 0.4
# The longest usual pause of a healthy server in a stream, and the time after which a second server
# that also pauses refuses or closes: later than a stream may be at two servers.
HEALTHY_PAUSE_S, LATE_ANSWER_S = 1.4, 0.6


def ask(relay, path, **headers):
    status, _, body = Caller(relay).ask(
        path, **{"Deadline_Ms": "5000", **PROMPT_HEADERS, **headers}
    )
    return status, body


def begin_chunked(handler):
    handler.send_response_only(200)
    for name, value in echo(handler):
        handler.send_header(name, value)
    handler.send_header("Response-Signature", f"s.{handler.headers.get('Request-Id')}")
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()


def answer_in_pieces(handler):
    """Answer in two chunks with a pause between them."""
    begin_chunked(handler)
    chunk(handler, b"do")
    time.sleep(ANSWER_PAUSE_S)
    chunk(handler, b"ne")
    handler.wfile.write(LAST_CHUNK)


def make_interim_first(answer):
    """Return a handler that sends an interim answer, pauses, and then answers."""

    def answers(handler):
        handler.wfile.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        handler.wfile.flush()
        time.sleep(ANSWER_PAUSE_S)
        answer(handler)

    return answers


def send_comment_only(handler):
    begin_stream(handler)
    chunk(handler, b": wait\n\n")
    time.sleep(RESUME_DELAY_S / 2)
    close_unanswered(handler)


def send_partial_event(handler):
    begin_stream(handler)
    chunk(handler, event(1)[:7])
    time.sleep(RESUME_DELAY_S / 2)
    close_unanswered(handler)


def restart_stream(handler):
    """Start the stream from the beginning instead of resuming it."""
    begin_stream(handler)
    for number in range(1, 6):
        chunk(handler, event(number))
    handler.wfile.write(LAST_CHUNK)


class TestHedgedAnswerInPieces:
    """A healthy second server may answer in any number of pieces."""

    def test_chunked_answer_with_pauses_is_used(self, world):
        ScriptedServers(world, "orders", never_answer, answer_in_pieces)
        assert ask(world.start_relay(), "/safe/x") == (200, b"done")

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_answer_after_an_interim_one_is_used(self, world, path):
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", send_whole)
        ScriptedServers(world, service, never_answer, make_interim_first(usual))
        assert ask(world.start_relay(), path) in [(200, EVENTS), (200, b"done")]


class TestFirstServer:
    """Only an answer of the second server ends the first send, and the other way round."""

    @pytest.mark.parametrize("following", [send_comment_only, send_partial_event, restart_stream])
    def test_stream_is_not_left_for_an_answer_that_does_not_continue_it(self, world, following):
        SilentFirstServers(world, "quotes", following, 2)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)

    @pytest.mark.parametrize("following", [send_comment_only, send_partial_event])
    def test_stream_that_has_not_begun_is_not_left_for_a_partial_event(self, world, following):
        SilentFirstServers(world, "quotes", following, 0)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)

    def test_head_of_a_stream_does_not_end_the_hedge(self, world):
        servers = ScriptedServers(world, "quotes", None, None)

        def head_only(handler):
            assert servers.asked[1].wait(8.0)
            begin_stream(handler)
            handler.wfile.flush()
            never_answer(handler)

        def stream_later(handler):
            time.sleep(ANSWER_PAUSE_S)
            stream()(handler)

        servers._answers = (head_only, stream_later)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)

    @pytest.mark.parametrize("body", [b"", b"do"])
    def test_beginning_of_a_whole_answer_does_not_end_the_hedge(self, world, body):
        servers = ScriptedServers(world, "orders", None, None)

        def send_part(handler):
            assert servers.asked[1].wait(8.0)
            begin_chunked(handler)
            if body:
                chunk(handler, body)
            handler.wfile.flush()
            never_answer(handler)

        def answer_later(handler):
            time.sleep(ANSWER_PAUSE_S)
            send_whole(handler)

        servers._answers = (send_part, answer_later)
        assert ask(world.start_relay(), "/safe/x") == (200, b"done")


def make_late_end(servers):
    def answer(handler):
        begin_chunked(handler)
        chunk(handler, b"done")
        assert servers.asked[1].wait(8.0)
        time.sleep(RESUME_DELAY_S)
        handler.wfile.write(LAST_CHUNK)

    return answer


class TestSlots:
    def test_hedge_ends_when_the_first_answer_completes(self, world):
        servers = ScriptedServers(world, "orders", None, None)
        servers._answers = (make_late_end(servers), servers.make_silent_handler(1))
        assert ask(world.start_relay(), "/safe/x") == (200, b"done")
        wait_until(lambda: servers.disconnected_at, "the second server is disconnected", 3.0)


class TestAttempts:
    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_third_server_is_asked_if_the_first_one_breaks_off(self, world, path):
        """Only the silent hedged send remains in flight, and the route allows a third send."""
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", send_whole)
        servers = ScriptedServers(world, service, None, None, None, attempts=3)

        def break_off(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(RESUME_DELAY_S)
            close_unanswered(handler)

        servers._answers = (break_off, never_answer, usual)
        assert ask(world.start_relay(), path) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 3

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_failure_of_the_second_server_is_returned_if_a_third_one_breaks_off(self, world, path):
        service = "quotes" if path == "/talk/x" else "orders"
        servers = ScriptedServers(world, service, None, answer_failure, None, attempts=3)

        def break_off(handler):
            assert servers.asked[2].wait(8.0)
            time.sleep(RESUME_DELAY_S)
            close_unanswered(handler)

        def lose_later(handler):
            time.sleep(2 * RESUME_DELAY_S)
            close_unanswered(handler)

        servers._answers = (break_off, answer_failure, lose_later)
        assert ask(world.start_relay(), path) == (500, b"no")

    def test_healthy_first_server_is_not_left_for_a_silent_third_one(self, world):
        """The second server fails, the third is silent, and the first answers 2 s later.

        This is longer than the pauses of most healthy servers.
        """
        servers = ScriptedServers(world, "orders", None, answer_failure, never_answer, attempts=3)

        def answer_after_pause(handler):
            assert servers.asked[2].wait(8.0)
            time.sleep(2.0)
            send_whole(handler)

        servers._answers = (answer_after_pause, answer_failure, never_answer)
        assert ask(world.start_relay(), "/safe/x") == (200, b"done")


class TestSmallGap:
    """The maximum gap of a route does not make a pause of a healthy server a reason to leave it."""

    @pytest.mark.parametrize("gap_ms", [50, 100, 200])
    @pytest.mark.parametrize("useless", [send_refusal, close_unanswered], ids=["refused", "lost"])
    def test_stream_is_not_left_during_a_healthy_pause(self, world, useless, gap_ms):
        """The second server also pauses, and is then of no use."""

        def pause_in_stream(handler):
            begin_chunked(handler)
            for number in range(1, 6):
                chunk(handler, event(number))
                time.sleep(HEALTHY_PAUSE_S if number == 2 else 0.0)
            handler.wfile.write(LAST_CHUNK)

        def be_useless_late(handler):
            time.sleep(LATE_ANSWER_S)
            useless(handler)

        ScriptedServers(world, "quotes", pause_in_stream, be_useless_late)
        settings = config(2)
        for route in settings["Routes"]:
            route["GapAimMs"] = gap_ms
        world.store.put("op", "config", settings)
        assert ask(world.start_relay(), "/talk/x") == (200, EVENTS)
