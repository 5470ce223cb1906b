"""Tests of healthy backend servers that fall silent and resume, and of dead ones."""

import threading
import time

import pytest
from platform_answers import (
    begin_stream,
    chunk,
    close_unanswered,
    event,
    send_refusal,
    send_whole,
    stream,
)
from platform_config import config
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes

# Longer than the relay waits before it looks for another backend server.
SILENCE_S = 1.7
NO_RETRIES = "[retry]\nratio = 0\nslack = 0\n"
EVENTS = b"".join(event(number) for number in range(1, 6))


def make_pausing_stream(after, pause_s=SILENCE_S):
    """Return a handler that sends five events with one pause after `after` of them.

    The pause is before the head if `after` is None.
    """

    def answer(handler):
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        if after is None:
            time.sleep(pause_s)
        begin_stream(handler)
        for number in range(first, 6):
            if number - first == after:
                time.sleep(pause_s)
            chunk(handler, event(number))
        handler.wfile.write(b"0\r\n\r\n")

    return answer


def make_hanging_streams(after, pause_s=SILENCE_S):
    """Return a handler whose streams all hang at the same time.

    The hang begins when the first stream has sent `after` events, and lasts `pause_s`.
    """
    lock, until = threading.Lock(), []

    def answer(handler):
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        begin_stream(handler)
        for number in range(first, 6):
            if number - first == after:
                with lock:
                    until[:] = until or [time.monotonic() + pause_s]
                time.sleep(max(0.0, until[0] - time.monotonic()))
            chunk(handler, event(number))
        handler.wfile.write(b"0\r\n\r\n")

    return answer


def answer_late(handler):
    time.sleep(1.2)
    send_whole(handler)


def never_answer(handler):
    """Send nothing until the caller disconnects."""
    handler.connection.settimeout(10.0)
    handler.rfile.read(1)
    handler.close_connection = True


def ask_stream(relay, path="/talk/x"):
    return Caller(relay).ask(path, Deadline_Ms="5000", **PROMPT_HEADERS)


class TestSilentServers:
    """A request stays with a silent backend server until a replacement is reserved."""

    @pytest.mark.parametrize("after", [None, 0, 2], ids=["head", "first", "middle"])
    def test_stream_without_another_slot_is_not_cut(self, world, after):
        worker = world.worker(
            "d1", "quotes", default_answer=make_pausing_stream(after), Stage="decode"
        )
        status, _, body = ask_stream(world.start_relay())
        assert (status, body) == (200, EVENTS)
        assert len(worker.seen) == 1

    @pytest.mark.parametrize("after", [None, 0, 2], ids=["head", "first", "middle"])
    def test_stream_without_a_permit_is_not_cut(self, world, after):
        world.extra_settings = NO_RETRIES
        workers = [
            world.worker(name, "quotes", default_answer=make_pausing_stream(after), Stage="decode")
            for name in ("d1", "d2")
        ]
        status, _, body = ask_stream(world.start_relay())
        assert (status, body) == (200, EVENTS)
        assert sum(len(worker.seen) for worker in workers) == 1

    def test_streams_at_full_servers_are_not_cut(self, world):
        """All engines hang while all their slots are taken."""
        usual = make_hanging_streams(2)
        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=usual, Stage="decode", Slots=2)
        relay = world.start_relay()
        answers = []
        threads = [
            threading.Thread(target=lambda: answers.append(ask_stream(relay))) for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert [(status, body) for status, _, body in answers] == [(200, EVENTS)] * 4

    def test_whole_answer_without_another_slot_is_awaited(self, world):
        worker = world.worker("w1", default_answer=answer_late)
        status, _, body = Caller(world.start_relay()).ask("/safe/x", "GET")
        assert (status, body) == (200, b"done")
        assert len(worker.seen) == 1

    def test_whole_answer_without_a_permit_is_awaited(self, world):
        world.extra_settings = NO_RETRIES
        workers = [world.worker(name, default_answer=answer_late) for name in ("w1", "w2")]
        status, _, body = Caller(world.start_relay()).ask("/safe/x", "GET")
        assert (status, body) == (200, b"done")
        assert sum(len(worker.seen) for worker in workers) == 1

    @pytest.mark.parametrize(
        ("path", "service", "usual", "wanted"),
        [
            ("/talk/x", "quotes", make_pausing_stream(2), EVENTS),
            ("/safe/x", "orders", answer_late, b"done"),
        ],
        ids=["stream", "whole"],
    )
    def test_answer_is_not_lost_if_the_next_server_refuses(
        self, world, path, service, usual, wanted
    ):
        """Guards against leaving a silent server for one that refuses, with no send left then."""
        sends = []

        def refuse_all_but_the_first(handler):
            sends.append(time.monotonic())
            (usual if len(sends) == 1 else send_refusal)(handler)

        for name in ("b1", "b2"):
            world.worker(name, service, default_answer=refuse_all_but_the_first, Stage="decode")
        status, _, body = Caller(world.start_relay()).ask(
            path, Deadline_Ms="5000", **PROMPT_HEADERS
        )
        assert (status, body) == (200, wanted)

    def test_body_that_pauses_is_awaited(self, world):
        def answer_with_pause(handler):
            handler.send_response_only(200)
            handler.send_header("Request-Id", handler.headers["Request-Id"])
            handler.send_header("Response-Signature", "s")
            handler.send_header("Content-Length", "4")
            handler.end_headers()
            handler.wfile.write(b"do")
            handler.wfile.flush()
            time.sleep(1.2)
            handler.wfile.write(b"ne")

        world.worker("w1", default_answer=answer_with_pause)
        assert Caller(world.start_relay()).ask("/safe/x", "GET")[2] == b"done"


class TestChangedConfiguration:
    """Running requests keep the configuration that they started with."""

    @pytest.mark.parametrize("failure", ["breaks", "silent"])
    def test_stream_of_a_removed_service_resumes_elsewhere(self, world, failure):
        changed = threading.Event()
        sends = []
        before = config()
        for route in before["Routes"]:
            route["MaxAttempts"] = 3
        world.store.put("op", "config", before)

        def fail_first(handler):
            sends.append(handler.headers["Request-Id"])
            if len(sends) > 1:
                stream()(handler)
                return
            begin_stream(handler)
            chunk(handler, event(1))
            changed.wait(5.0)
            (close_unanswered if failure == "breaks" else never_answer)(handler)

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=fail_first, Stage="decode")
        relay = world.start_relay()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(ask_stream(relay)))
        caller.start()
        wait_until(lambda: sends, "the stream has begun")
        without = config(2)
        without["Routes"] = [route for route in without["Routes"] if route["Service"] != "quotes"]
        without["Services"] = without["Services"][:1]
        world.store.put("op", "config", without)
        wait_until(
            lambda: any(line["version"] == 2 for line in relay.find_log_lines("relay_configured")),
            "the configuration is in force",
        )
        changed.set()
        caller.join()
        assert [(status, body) for status, _, body in answers] == [(200, EVENTS)]


class TestDeadServers:
    """The time that a dead backend server costs callers is bounded."""

    @pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
    def test_dead_server_is_left_for_another_one(self, world, path):
        service, usual = ("quotes", stream()) if path == "/talk/x" else ("orders", send_whole)
        sends = []

        def hang_first(handler):
            sends.append(time.monotonic())
            (never_answer if len(sends) == 1 else usual)(handler)

        for name in ("b1", "b2"):
            world.worker(name, service, default_answer=hang_first, Stage="decode")
        started = time.monotonic()
        status, _, body = Caller(world.start_relay()).ask(
            path, Deadline_Ms="5000", **PROMPT_HEADERS
        )
        assert status == 200 and body in (EVENTS, b"done")
        assert len(sends) == 2
        assert sends[1] - sends[0] < 1.2 and sends[1] > started

    def test_stream_of_a_dead_server_resumes_elsewhere(self, world):
        sends = []

        def stop_first(handler):
            sends.append(time.monotonic())
            if len(sends) > 1:
                stream()(handler)
                return
            begin_stream(handler)
            chunk(handler, event(1))
            never_answer(handler)

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=stop_first, Stage="decode")
        status, _, body = ask_stream(world.start_relay())
        assert (status, body) == (200, EVENTS)
        assert sends[1] - sends[0] < 1.7

    def test_broken_stream_waits_for_a_slot(self, world):
        """A stream that broke off gets a slot before new requests, and waits until its deadline."""
        sends = []

        def break_once(handler):
            sends.append(handler.headers["Request-Id"])
            if handler.headers["Request-Id"] == "busy":
                make_pausing_stream(1, 1.0)(handler)
            elif sends.count("one") == 1:
                begin_stream(handler)
                chunk(handler, event(1))
                close_unanswered(handler)
            else:
                stream()(handler)

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=break_once, Stage="decode", Slots=1)
        relay = world.start_relay()
        busy = threading.Thread(
            target=lambda: Caller(relay).ask("/talk/x", Request_Id="busy", **PROMPT_HEADERS)
        )
        busy.start()
        wait_until(lambda: sends, "one engine is busy")
        status, _, body = Caller(relay).ask("/talk/x", Request_Id="one", **PROMPT_HEADERS)
        busy.join()
        assert (status, body) == (200, EVENTS)
