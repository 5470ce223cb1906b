"""Tests of what all answers of a relay hold together."""

import itertools
import re
import socket
import threading
import tracemalloc
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from memory_load import CLIENTS, LOADS, configure, keep_slow, play, send_large
from platform_world import wait_until
from relay_caller import Caller

from laburnumreel.core import ANSWER_SHARE, SMALL_ANSWER_BYTES, AnswerMemory
from laburnumreel.relay._attempt import Attempt
from laburnumreel.relay._engine import EngineRun
from laburnumreel.relay._send_failures import SendFailedError
from laburnumreel.relay._settings import DEFAULT_HOST_MB

MB = 1024 * 1024
# The default number of requests that a relay serves at once.
THREADS = 48
# What a request's thread uses besides the answer: its stack, a piece that was just read, the head,
# and output that the connection's buffers hold.
THREAD_BYTES = MB // 2
LONG = {"Deadline_Ms": "15000"}
ANSWER_BYTES = ANSWER_SHARE * DEFAULT_HOST_MB * MB


def held_bytes(relay):
    """Return the bytes that answers hold by the relay's metric."""
    text = relay.get(relay.admin_port, "/metrics")[1].decode()
    found = re.search(r"^laburnumreel_relay_answer_bytes (\S+)$", text, re.MULTILINE)
    return float(found[1]) if found else 0.0


class TestMemory:
    def test_small_answers_of_all_requests_fit_beside_large_ones(self):
        memory = AnswerMemory.from_host(160, THREADS)
        larges = [memory.open(lambda: None) for _ in range(THREADS)]
        for turn in range(1, 200):
            for large in larges:
                if not large.is_ended:
                    large.hold(turn * 64 * 1024, wait_s=0.0)
        assert memory.held_bytes > 0.8 * memory.max_bytes - MB
        smalls = [memory.open(lambda: None) for _ in range(2 * THREADS)]
        assert all(small.hold(SMALL_ANSWER_BYTES, wait_s=0.0) for small in smalls)

    def test_largest_answer_is_ended_before_a_smaller_one(self):
        memory, ended = AnswerMemory(100), []
        sizes = {"a": 20, "b": 50, "c": 30}
        answers = {name: memory.open(lambda name=name: ended.append(name)) for name in sizes}
        for name, size in sizes.items():
            assert answers[name].hold(size)
        assert not answers["a"].hold(25, wait_s=0.0) and ended == ["b"]
        assert not answers["c"].hold(35, wait_s=0.0) and ended == ["b"]
        answers["b"].release()
        assert answers["a"].hold(25) and answers["c"].hold(35)

    def test_largest_answer_is_refused_itself(self):
        memory, ended = AnswerMemory(100), []
        small, large = (memory.open(lambda: ended.append(True)) for _ in range(2))
        assert small.hold(30) and large.hold(70)
        assert not large.hold(80) and not ended

    def test_waiting_answer_goes_on_once_the_largest_is_released(self):
        memory = AnswerMemory(100)
        large = memory.open(lambda: threading.Thread(target=large.release).start())
        small = memory.open(lambda: None)
        assert large.hold(80) and small.hold(30, wait_s=30.0)
        assert large.is_ended and not large.hold(1)

    def test_answer_that_was_read_is_not_ended(self):
        memory, ended = AnswerMemory(100), []
        whole, other = memory.open(lambda: ended.append(True)), memory.open(lambda: None)
        assert whole.hold(90)
        whole.finish()
        assert not other.hold(20, wait_s=0.0) and not ended

    @given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from("hhhfr"), st.integers(0, 90_000))))
    def test_bytes_are_released_once_in_any_order(self, steps):
        memory = AnswerMemory(200_000, reserved_bytes=40_000)
        answers = [memory.open(lambda: None) for _ in range(5)]
        for number, step, size in steps:
            answer = answers[number]
            if step == "h":
                answer.hold(size, wait_s=0.0)
            elif step == "f":
                answer.finish()
            else:
                answer.release()
            assert memory.held_bytes == sum(each.size for each in answers) <= 200_000
        for answer in answers:
            answer.release()
            answer.release()
        assert memory.held_bytes == 0


class TestBrokenAnswers:
    """An error's traceback refers to the objects that were used, until the next collection."""

    def test_body_that_is_too_long_is_freed_at_once(self):
        pieces = [64 * 1024 * b"x"] * 200
        attempt = make_attempt(pieces)
        tracemalloc.start()
        try:
            with pytest.raises(SendFailedError) as failed:
                attempt.read_all(8 * MB)
            assert failed.value.cause == "too_long" and failed.tb is not None
            assert tracemalloc.get_traced_memory()[0] < MB
        finally:
            tracemalloc.stop()
        attempt.close()
        assert attempt.memory.held_bytes == 0

    def test_beginning_of_an_event_is_freed_with_its_run(self):
        run = EngineRun(SimpleNamespace(request=SimpleNamespace(resume_after=None)))
        run._splitter.feed(900_000 * b"x")
        splitter = run._splitter
        run.close()
        assert splitter.incomplete_event == b""


def make_attempt(pieces):
    """Return an attempt whose answer consists of `pieces`."""
    memory = AnswerMemory(100 * MB)
    request = SimpleNamespace(request_id="r1")
    job = SimpleNamespace(
        deps=SimpleNamespace(
            answer_memory=memory, dispatcher=SimpleNamespace(record_outcome=lambda *a, **k: None)
        ),
        running=SimpleNamespace(abort_reason=None),
        elapsed_s=0.0,
        remaining_s=1.0,
    )
    dispatch = SimpleNamespace(
        request=request, back_end=SimpleNamespace(name="b1"), only_read=False
    )
    attempt = Attempt(job, dispatch, None)
    attempt.memory, waiting = memory, iter(pieces)
    attempt._on_answer_started = lambda: None
    attempt.read = lambda: next(waiting, b"")
    return attempt


@pytest.mark.processes
class TestRelay:
    @pytest.mark.parametrize("form", LOADS)
    def test_peak_memory_of_many_endless_answers(self, world, form):
        """Guards against a host that is killed for its memory, which was seen at 230 to 330 MB."""
        relay, before, peak, outcomes, sound = play(world, form)
        assert len(outcomes) == CLIENTS and set(outcomes) <= {502, 503, 504}, outcomes
        # A host without a free thread refuses; an answer is never broken.
        assert set(sound) <= {(200, True), (503, False)}
        assert peak - before < ANSWER_BYTES + THREADS * THREAD_BYTES
        wait_until(lambda: held_bytes(relay) == 0, "the memory of all answers is released")

    def test_small_answers_get_through_beside_endless_ones(self, world):
        _, _, _, _, sound = play(world, "not idempotent", clients=THREADS - 8)
        assert sound and set(sound) == {(200, True)}

    def test_unread_answers_count_as_held(self, world):
        """Guards against answers that pile up for callers that don't read them."""
        body = 2 * MB * b"b"
        worker = world.worker("w1", default_answer=send_large(body), Slots=64)
        configure(world)
        relay = world.start_relay()
        assert Caller(relay).ask("/long/x", **LONG)[2] == body
        callers = []
        for _ in range(30):
            caller = Caller(relay)
            caller.connection.connect()
            caller.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.send("/long/x", **LONG)
            callers.append(caller)
            # The stand-in accepts few connections at once.
            wait_until(lambda: len(worker.requests("POST")) > len(callers), "it was sent")
        expected = ANSWER_BYTES * 0.75 - 3 * MB
        wait_until(lambda: held_bytes(relay) > expected, "the answers that nobody reads are held")
        assert held_bytes(relay) <= ANSWER_BYTES
        for caller in callers:
            caller.connection.close()
        wait_until(lambda: held_bytes(relay) == 0, "the memory is released")
        assert Caller(relay).ask("/long/x", **LONG)[2] == body

    def test_memory_is_released_when_callers_leave(self, world):
        worker = world.worker("w1", default_answer=keep_slow, Slots=64)
        configure(world)
        relay = world.start_relay()
        callers = [Caller(relay) for _ in range(10)]
        for number, caller in enumerate(callers, start=1):
            caller.send("/long/x", **LONG)
            wait_until(lambda sent=number: len(worker.requests("POST")) == sent, "it was sent")
        wait_until(lambda: held_bytes(relay) > 10 * 90_000, "the answers are being read")
        for caller in callers:
            caller.connection.close()
        wait_until(lambda: held_bytes(relay) == 0, "the memory is released")

    def test_memory_of_a_canceled_hedge_is_released(self, world):
        """The first server answers after the second one has sent a part of its answer."""
        numbers, may_answer = itertools.count(), threading.Event()

        def answer(handler):
            if next(numbers) == 0:
                may_answer.wait(10)
                send_large(b"first")(handler)
            else:
                keep_slow(handler)

        for name in ("w1", "w2"):
            world.worker(name, default_answer=answer)
        configure(world)
        relay, answers = world.start_relay(), []
        thread = threading.Thread(
            target=lambda: answers.append(Caller(relay).ask("/twice/x", **LONG)[::2])
        )
        thread.start()
        wait_until(lambda: held_bytes(relay) > 0, "the second answer is read")
        may_answer.set()
        thread.join()
        assert answers == [(200, b"first")]
        wait_until(lambda: held_bytes(relay) == 0, "the memory is released")
