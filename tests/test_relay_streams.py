"""Tests of a deployed relay's streams against a stand-in of the users' platform."""

import http.client
import itertools
import threading
import time

import pytest
from platform_answers import drip_stream, send_refusal, stream
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

pytestmark = pytest.mark.processes


class TestStreams:
    def test_prompt_is_read_by_a_separate_engine_and_its_copy_used(self, world):
        reader = world.worker("p1", "quotes", Stage="prefill")
        generator = world.worker("d1", "quotes", Stage="decode")
        status, headers, body = Caller(world.start_relay()).ask("/ask/x", **PROMPT_HEADERS)
        assert status == 200 and body.count(b"data:") == 5
        read, ran = reader.seen[0][2], generator.seen[0][2]
        assert read["Serving-Stage"] == "prefill" and "Kv-Source" not in read
        assert ran["Kv-Source"] == f"{reader.address}/h1" and "Serving-Stage" not in ran

    def test_unused_copy_is_released(self, world):
        reader = world.worker("p1", "quotes", Stage="prefill")
        world.worker("d1", "quotes", default_answer=send_refusal, Stage="decode")
        status, _, _ = Caller(world.start_relay()).ask("/ask/x", **PROMPT_HEADERS)
        assert status == 503
        wait_until(lambda: reader.requests("DELETE"), "the copy is released")
        assert reader.requests("DELETE")[0][1] == "/v1/kv-handle/h1"

    def test_events_are_passed_on_at_once(self, world):
        world.worker("d1", "quotes", default_answer=stream(gap_s=1.0), Stage="decode")
        caller = Caller(world.start_relay())
        caller.send("/ask/x", **PROMPT_HEADERS)
        answer = caller.connection.getresponse()
        started = time.monotonic()
        assert answer.read1(1000) == b"id: 1\ndata: token1\n\n"
        assert time.monotonic() - started < 0.8

    @pytest.mark.parametrize("torn", [False, True])
    def test_stream_resumes_elsewhere_within_one_answer(self, world, torn):
        sends = itertools.count()

        def break_once(handler):
            stream(break_after=2 if next(sends) == 0 else None, torn=torn)(handler)

        workers = [
            world.worker(name, "quotes", default_answer=break_once, Stage="decode")
            for name in ("d1", "d2")
        ]
        status, headers, body = Caller(world.start_relay()).ask(
            "/talk/x", Request_Id="one", **PROMPT_HEADERS
        )
        assert status == 200 and headers["response-signature"] == "s.one"
        assert body == b"".join(f"id: {n}\ndata: token{n}\n\n".encode() for n in range(1, 6))
        seen = sorted((seen[2] for worker in workers for seen in worker.seen), key=len)
        assert [len(worker.seen) for worker in workers] == [1, 1]
        assert "2" in {headers.get("last-event-id") for headers in seen}

    def test_lost_stream_does_not_look_complete(self, world):
        world.worker("d1", "quotes", default_answer=stream(break_after=2), Stage="decode")
        caller = Caller(world.start_relay())
        caller.send("/ask/x", **PROMPT_HEADERS)
        answer = caller.connection.getresponse()
        with pytest.raises(http.client.IncompleteRead):
            answer.read()

    def test_stream_is_aborted_at_its_engine_when_the_caller_disconnects(self, world):
        disconnected = threading.Event()

        def stream_endlessly(handler):
            try:
                stream(count=1000, gap_s=0.02)(handler)
            except OSError:
                disconnected.set()
                raise

        world.worker("d1", "quotes", default_answer=stream_endlessly, Stage="decode")
        caller = Caller(world.start_relay())
        caller.send("/ask/x", **PROMPT_HEADERS)
        answer = caller.connection.getresponse()
        answer.read1(100)
        answer.close()
        caller.connection.close()
        assert disconnected.wait(3.0)

    def test_stream_that_drips_parts_of_an_event_resumes_elsewhere(self, world):
        """Single bytes of an incomplete event must not count as progress of a stalled stream."""
        sends = itertools.count()

        def drip_once(handler):
            (drip_stream if next(sends) == 0 else stream())(handler)

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=drip_once, Stage="decode")
        relay = world.start_relay()
        started = time.monotonic()
        status, _, body = Caller(relay).ask("/talk/x", Request_Id="one", **PROMPT_HEADERS)
        assert status == 200
        assert body == b"".join(f"id: {n}\ndata: token{n}\n\n".encode() for n in range(1, 6))
        assert time.monotonic() - started < 4.0

    def test_slow_healthy_stream_is_not_cut(self, world):
        workers = [
            world.worker(name, "quotes", default_answer=stream(gap_s=0.5), Stage="decode")
            for name in ("d1", "d2")
        ]
        status, _, body = Caller(world.start_relay()).ask("/talk/x", **PROMPT_HEADERS)
        assert status == 200 and body.count(b"data:") == 5
        assert sum(len(worker.seen) for worker in workers) == 1
