"""Tests of what a second send may cost or lose, by the order in which two servers do their parts."""

import time

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    echo,
    event,
    lost,
    stream,
    whole,
)
from platform_world import wait_until
from relay_caller import PROMPT, Caller
from test_second_sends import EVENTS, LINGER_S, Scripted, Servers, dead, fails

pytestmark = pytest.mark.processes

END = b"0\r\n\r\n"
# A pause of a sound server in the middle of its answer.
PAUSE_S = 0.4


def ask(relay, path, **headers):
    status, _, body = Caller(relay).ask(path, **{"Deadline_Ms": "5000", **PROMPT, **headers})
    return status, body


def begin_chunked(handler):
    handler.send_response_only(200)
    for name, value in echo(handler):
        handler.send_header(name, value)
    handler.send_header("Response-Signature", f"s.{handler.headers.get('Request-Id')}")
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()


def in_pieces(handler):
    """A whole answer in two chunks with a pause between them."""
    begin_chunked(handler)
    chunk(handler, b"do")
    time.sleep(PAUSE_S)
    chunk(handler, b"ne")
    handler.wfile.write(END)


def after_interim(answer):
    """An interim answer, and the answer a while later."""

    def answers(handler):
        handler.wfile.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        handler.wfile.flush()
        time.sleep(PAUSE_S)
        answer(handler)

    return answers


def comment_only(handler):
    begin_stream(handler)
    chunk(handler, b": wait\n\n")
    time.sleep(LINGER_S / 2)
    lost(handler)


def torn_event(handler):
    begin_stream(handler)
    chunk(handler, event(1)[:7])
    time.sleep(LINGER_S / 2)
    lost(handler)


def from_the_start(handler):
    """A stream that begins again instead of going on."""
    begin_stream(handler)
    for number in range(1, 6):
        chunk(handler, event(number))
    handler.wfile.write(END)


class TestSecondAnswerInPieces:
    """A second server that is sound answers in as many pieces as it likes."""

    def test_chunked_answer_with_pauses_is_taken(self, world):
        Scripted(world, "orders", dead, in_pieces)
        assert ask(world.relay(), "/safe/x") == (200, b"done")

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_answer_after_an_interim_one_is_taken(self, world, path):
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", whole)
        Scripted(world, service, dead, after_interim(usual))
        assert ask(world.relay(), path) in [(200, EVENTS), (200, b"done")]


class TestFirstServer:
    """The first server is left for an answer only, and an answer only ends the second send."""

    @pytest.mark.parametrize("following", [comment_only, torn_event, from_the_start])
    def test_stream_is_not_left_for_what_is_no_event_of_it(self, world, following):
        Servers(world, "quotes", following, 2)
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)

    @pytest.mark.parametrize("following", [comment_only, torn_event])
    def test_stream_that_has_not_begun_is_not_left_for_less_than_an_event(self, world, following):
        Servers(world, "quotes", following, 0)
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)

    def test_head_of_a_stream_does_not_end_the_second_send(self, world):
        servers = Scripted(world, "quotes", None, None)

        def head_only(handler):
            assert servers.asked[1].wait(8.0)
            begin_stream(handler)
            handler.wfile.flush()
            dead(handler)

        def begins_later(handler):
            time.sleep(PAUSE_S)
            stream()(handler)

        servers._answers = (head_only, begins_later)
        assert ask(world.relay(), "/talk/x") == (200, EVENTS)

    @pytest.mark.parametrize("body", [b"", b"do"])
    def test_beginning_of_a_whole_answer_does_not_end_the_second_send(self, world, body):
        servers = Scripted(world, "orders", None, None)

        def part_only(handler):
            assert servers.asked[1].wait(8.0)
            begin_chunked(handler)
            if body:
                chunk(handler, body)
            handler.wfile.flush()
            dead(handler)

        def answers_later(handler):
            time.sleep(PAUSE_S)
            whole(handler)

        servers._answers = (part_only, answers_later)
        assert ask(world.relay(), "/safe/x") == (200, b"done")


def end_late(servers):
    def answer(handler):
        begin_chunked(handler)
        chunk(handler, b"done")
        assert servers.asked[1].wait(8.0)
        time.sleep(LINGER_S)
        handler.wfile.write(END)

    return answer


class TestPlaces:
    def test_second_send_ends_where_the_first_answer_lacked_only_its_end(self, world):
        servers = Scripted(world, "orders", None, None)
        servers._answers = (end_late(servers), servers.stays_silent(1))
        assert ask(world.relay(), "/safe/x") == (200, b"done")
        wait_until(lambda: servers.left_at, "the second server is left", 3.0)


class TestAttempts:
    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_third_server_is_asked_where_the_first_one_broke_off(self, world, path):
        """The second send is silent and the only one left; the route allows a third."""
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", whole)
        servers = Scripted(world, service, None, None, None, attempts=3)

        def breaks_off(handler):
            assert servers.asked[1].wait(8.0)
            time.sleep(LINGER_S)
            lost(handler)

        servers._answers = (breaks_off, dead, usual)
        assert ask(world.relay(), path) in [(200, EVENTS), (200, b"done")]
        assert len(servers.sends) == 3

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_failure_of_the_second_server_is_kept_where_a_third_one_breaks_off(self, world, path):
        service = "quotes" if path == "/talk/x" else "orders"
        servers = Scripted(world, service, None, fails, None, attempts=3)

        def breaks_off(handler):
            assert servers.asked[2].wait(8.0)
            time.sleep(LINGER_S)
            lost(handler)

        def lost_later(handler):
            time.sleep(2 * LINGER_S)
            lost(handler)

        servers._answers = (breaks_off, fails, lost_later)
        assert ask(world.relay(), path) == (500, b"no")

    def test_sound_first_server_is_not_left_for_a_third_one_after_a_failure(self, world):
        """The second server fails and the third is silent, for longer than sound ones mostly are."""
        servers = Scripted(world, "orders", None, fails, dead, attempts=3)

        def goes_on(handler):
            assert servers.asked[2].wait(8.0)
            time.sleep(2.0)
            whole(handler)

        servers._answers = (goes_on, fails, dead)
        assert ask(world.relay(), "/safe/x") == (200, b"done")
