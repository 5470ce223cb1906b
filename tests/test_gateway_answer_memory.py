"""Tests of what answers of the platform and stored answers hold in a gateway."""

import http.client
import json
import threading
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from endless_server import CHUNKED, LONG_BODY, EndlessServer, make_endless_answer
from memory_load import peak_bytes

from laburnumreel.core import AnswerMemory
from laburnumreel.protocol import MAX_STORED_BYTES
from laburnumreel.serving._idempotent_run import IdempotentRun
from laburnumreel.serving._repeat_detector import RepeatDetector
from laburnumreel.serving._stream_segment import StreamSegment
from laburnumreel.state import ErrorKind, HttpPlatform, Refusal, RunState
from laburnumreel.transport import EventAllowance
from laburnumreel_standins.caller import MODEL, bearer_headers, call
from laburnumreel_standins.processes import wait_until

# The bound of one answer, and twice it where it is converted.
MB = 1024 * 1024
MAX_PLATFORM_BYTES = 2 * 16 * MB
# Less than is read of a plain answer before it is passed on.
BEGINNING = 250_000 * b"x"
# An eighth of 64 MB, and ten events of 1 MiB at once in each of 8 requests' threads.
MAX_KEPT_GROWTH_BYTES = (8 + 10 * 8) * MB
ENDLESS_BODIES = {
    "a body": make_endless_answer(LONG_BODY, b"x"),
    "a body without length": make_endless_answer(b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "chunks": make_endless_answer(CHUNKED, b"4000\r\n" + 0x4000 * b"x" + b"\r\n"),
}


@pytest.fixture
def traced():
    tracemalloc.start()
    yield tracemalloc.get_traced_memory
    tracemalloc.stop()


@pytest.mark.parametrize("form", ENDLESS_BODIES)
def test_answer_of_the_platform_without_end_is_an_error(traced, form):
    """Guards against bodies of the store that are read without a bound."""
    server = EndlessServer(ENDLESS_BODIES[form])
    try:
        assert HttpPlatform(server.address).get_object("o").error.kind == "lost"
        assert traced()[1] < MAX_PLATFORM_BYTES
    finally:
        server.end()


class Claims:
    """Claims whose writes fail until `is_reachable`; `outcomes` has what was recorded."""

    def __init__(self):
        self.is_reachable = True
        self.outcomes = []

    def finish(self, claim, answer):
        return self._record(len(answer.body))

    def record_unknown(self, claim):
        return self._record("unknown")

    def _record(self, outcome):
        if self.is_reachable:
            self.outcomes.append(outcome)
        return self.is_reachable


class Background:
    """An executor that runs its calls when the test says so."""

    def __init__(self):
        self.calls = []

    def submit(self, function, *arguments):
        self.calls.append(lambda: function(*arguments))


def make_run(max_bytes=64 * MB, deps=None):
    """Return a run, and what it shares with others."""
    deps = deps or SimpleNamespace(
        answer_memory=AnswerMemory(max_bytes), claims=Claims(), background=Background()
    )
    return IdempotentRun(deps, SimpleNamespace(claim_key="c1")), deps


def test_stored_answer_in_short_pieces_holds_little_more_than_its_bytes(traced):
    """Guards against a list of short pieces, which takes many times their memory."""
    run, _ = make_run()
    for _ in range(1024 * 1024):
        run.append(bytes(bytearray(b"xy")))
    assert traced()[0] < 4 * 1024 * 1024


def test_answer_that_is_too_long_to_store_is_freed(traced):
    (run, deps), piece = make_run(), 64 * 1024 * b"x"
    for _ in range(MAX_STORED_BYTES // len(piece) + 1):
        run.append(bytes(bytearray(piece)))
    assert traced()[0] < 1024 * 1024
    run.finish(200, [])
    assert deps.claims.outcomes == ["unknown"] and deps.answer_memory.held_bytes == 0


def test_answers_to_store_share_one_bound():
    """Guards against as many answers of 8 MiB as requests run, which are 1 GB."""
    first, deps = make_run(max_bytes=10 * MB)
    runs = [first, *(make_run(deps=deps)[0] for _ in range(127))]
    for _ in range(100):
        for run in runs:
            run.append(64 * 1024 * b"x")
    assert deps.answer_memory.peak_bytes <= 10 * MB
    for run in runs:
        run.finish(200, [])
        run.close()
    assert deps.answer_memory.held_bytes == 0
    assert len(deps.claims.outcomes) == 128 and 100 * 64 * 1024 in deps.claims.outcomes


def test_answer_is_held_until_its_retried_write_ends():
    run, deps = make_run()
    run.append(b"answer")
    deps.claims.is_reachable = False
    run.finish(200, [])
    run.fail(Refusal(ErrorKind.CALLER_GONE, run_state=RunState.RAN))
    assert deps.answer_memory.held_bytes == 6
    deps.claims.is_reachable = True
    deps.background.calls.pop()()
    run.close()
    assert deps.claims.outcomes == [6] and deps.answer_memory.held_bytes == 0


@pytest.mark.processes
def test_beginnings_of_plain_answers_share_one_bound(deployment, start_scripted_server):
    """Guards against 256 KiB for each thread, whatever the memory: what finds none is passed on."""
    may_end, begun = threading.Event(), []

    def answer(exchange):
        exchange.wfile.write(LONG_BODY + BEGINNING)
        may_end.wait(20)
        exchange.close_connection = True

    def call_gateway():
        connection = http.client.HTTPConnection(*gateway.caller_address, timeout=30)
        connection.request("GET", "/orders/1", headers=bearer_headers())
        if connection.getresponse().status == 200:
            begun.append(True)
        connection.close()

    deployment.configure(profile__orders={"silence_s": 20.0})
    for _ in range(3):
        start_scripted_server(answer).register_with(deployment, "orders", "plain")
    gateway = deployment.start_gateway(memory="host_mb = 64\n")
    callers = [threading.Thread(target=call_gateway) for _ in range(60)]
    for caller in callers:
        caller.start()
    try:
        # At most 33 beginnings fit into an eighth of the memory.
        wait_until(lambda: len(begun) >= 20, "answers to be passed on")
    finally:
        may_end.set()
        for caller in callers:
            caller.join()


@pytest.mark.processes
@pytest.mark.parametrize("begins_with_end", [False, True])
def test_events_that_a_gateway_keeps_share_one_bound(
    deployment, start_scripted_server, begins_with_end
):
    """Guards against 300 MB and more for whole answers, and for events behind a finish reason."""

    def answer(exchange):
        exchange.begin_stream()
        if begins_with_end:
            exchange.write_event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]})
        for _ in range(400):
            exchange.write_token(MB // 2 * "x")

    def call_gateway():
        body = {"model": MODEL, "prompt": "x", "max_tokens": 100}
        return call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())

    deployment.configure(profile__chat={"deadline_s": 8.0})
    start_scripted_server(answer).register_with(deployment)
    gateway = deployment.start_gateway(memory="host_mb = 64\n")
    before = peak_bytes(gateway)
    with ThreadPoolExecutor(8) as executor:
        kinds = {reply.kind for reply in executor.map(lambda _: call_gateway(), range(8))}
    assert kinds <= {"back_end_lost", "no_back_end"}
    assert peak_bytes(gateway) - before < MAX_KEPT_GROWTH_BYTES


def test_long_tokens_are_not_kept_for_comparison(traced):
    """Guards against 16 MiB for each stream, for the whole of it."""
    detector = RepeatDetector()
    segment = StreamSegment("r", detector, False, EventAllowance(100))
    for number in range(16):
        token = {"id": "r", "choices": [{"index": 0, "text": f"{number}" + 100_000 * "x"}]}
        segment.feed(b"data: " + json.dumps(token).encode() + b"\n\n")
        segment.take_ready()
    assert detector.is_distinctive and traced()[0] < 256 * 1024
