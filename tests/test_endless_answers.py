"""Tests of the transport's limits on the bytes and the time of answers that never end."""

import resource
import threading
import time

import pytest
from endless_server import ENDLESS, EndlessServer, make_endless_answer

from laburnumreel.coordination import AuthorityRegistry, AuthorizedSender
from laburnumreel.core import SystemClock
from laburnumreel.state import Authority
from laburnumreel.transport import (
    BackEndFailureError,
    BackEndPool,
    HttpOrderLink,
    JsonCalls,
)

TIMEOUT_S = 0.5
# A call may use its timeout for the head and again for each read of the body.
MAX_CALL_S = 8 * TIMEOUT_S
MAX_BYTES = 1024 * 1024

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def serve():
    running = []

    def start(*answers):
        running.append(EndlessServer(*answers))
        return running[-1]

    yield start
    for server in running:
        server.end()


def ask(pool, server, is_ours=None, timeout_s=TIMEOUT_S):
    exchange = pool.open(server.address)
    try:
        exchange.send("GET", "/", {}, None, timeout_s, is_ours)
        return exchange.read_whole(MAX_BYTES, 4 * timeout_s)
    finally:
        exchange.close()


@pytest.mark.parametrize("form", ENDLESS)
class TestEndlessAnswers:
    def test_exchange_ends_and_its_connection_is_not_reused(self, serve, form):
        server, pool = serve(ENDLESS[form]), BackEndPool()
        started = time.monotonic()
        with pytest.raises(BackEndFailureError) as failed:
            ask(pool, server)
        assert time.monotonic() - started < MAX_CALL_S and failed.value.sent
        with pytest.raises(BackEndFailureError):
            ask(pool, server)
        assert server.connections == 2

    def test_call_to_the_store_ends_without_an_answer(self, serve, form):
        calls = JsonCalls(serve(ENDLESS[form]).address, TIMEOUT_S)
        started = time.monotonic()
        assert calls.read("/rows").error.kind == "lost"
        assert calls.change("/rows", {}).error.kind == "lost"
        assert time.monotonic() - started < 2 * MAX_CALL_S

    def test_order_ends_without_an_answer(self, serve, form):
        authorities = AuthorityRegistry(SystemClock())
        authority = Authority("duties", 1, 1, SystemClock().now() + 100)
        authorities.publish(authority)
        sender = AuthorizedSender(authorities, HttpOrderLink(TIMEOUT_S, 1.0))
        started = time.monotonic()
        sent = sender.post(authority, serve(ENDLESS[form]).address, "/order", {}, {})
        assert sent.is_error() and time.monotonic() - started < MAX_CALL_S


class TestBounds:
    def test_answer_after_interim_ones_is_used(self, serve):
        interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        server, pool = serve(lambda sock: sock.sendall(interim + OK)), BackEndPool()
        assert [ask(pool, server), ask(pool, server)] == [b"ok", b"ok"]
        assert server.connections == 1

    def test_extra_bytes_after_an_answer_close_the_connection(self, serve):
        """Guards against reading the rest of one answer as the head of the next."""
        server, pool = serve(lambda sock: sock.sendall(OK + b"more")), BackEndPool()
        assert [ask(pool, server), ask(pool, server)] == [b"ok", b"ok"]
        assert server.connections == 2

    def test_second_copy_of_an_answer_is_not_used_for_the_next_request(self, serve):
        server, pool = serve(lambda sock: sock.sendall(OK + OK)), BackEndPool()
        assert [ask(pool, server), ask(pool, server)] == [b"ok", b"ok"]
        assert server.connections == 2

    def test_only_a_short_answer_to_another_request_is_skipped(self, serve):
        foreign = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n"
        server, pool = serve(make_endless_answer(foreign, b"x")), BackEndPool()
        with pytest.raises(BackEndFailureError):
            ask(pool, server, is_ours=lambda status, headers: False)

    def test_only_the_rest_of_a_short_and_fast_refusal_is_read(self, serve):
        for form in ("a body", "chunks", "trailers, bit by bit"):
            exchange = BackEndPool().open(serve(ENDLESS[form]).address)
            exchange.send("GET", "/", {}, None, TIMEOUT_S)
            started = time.monotonic()
            with pytest.raises(BackEndFailureError):
                exchange.read_whole(64 * 1024, TIMEOUT_S)
            assert time.monotonic() - started < 4 * TIMEOUT_S
            exchange.close()

    def test_slow_but_healthy_body_is_read_completely(self, serve):
        """Guards against a time limit on a whole body, which would cut slow but healthy answers."""

        def answer_slowly(sock):
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(6):
                time.sleep(0.5 * timeout_s)
                sock.sendall(b"2\r\nok\r\n")
            sock.sendall(b"0\r\nX-Sum: 1\r\n\r\n")

        timeout_s = 3 * TIMEOUT_S
        assert ask(BackEndPool(), serve(answer_slowly), timeout_s=timeout_s) == 6 * b"ok"

    def test_memory_use_is_limited_with_many_endless_answers(self, serve):
        """Fifty answers at once use less than fifty times the memory that one may use."""
        pool, failures = BackEndPool(), []

        def call():
            try:
                ask(pool, server)
            except BackEndFailureError as error:
                failures.append(error)

        server = serve(ENDLESS["a body"], ENDLESS["chunks"], ENDLESS["trailers"])
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        threads = [threading.Thread(target=call) for _ in range(50)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        assert len(failures) == 50
        # Two copies of each answer's limit while its pieces are joined, and the same for threads.
        assert grown_kb < 3 * 50 * MAX_BYTES / 1024
