"""Tests of what answers of the platform and stored answers hold in a gateway."""

import tracemalloc

import pytest
from endless_server import CHUNKED, LONG_BODY, EndlessServer, make_endless_answer

from laburnumreel.protocol import MAX_STORED_BYTES
from laburnumreel.serving._idempotent_run import IdempotentRun
from laburnumreel.state import HttpPlatform

# The bound of one answer, and twice it where it is converted.
MAX_PLATFORM_BYTES = 2 * 16 * 1024 * 1024
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


def test_stored_answer_in_short_pieces_holds_little_more_than_its_bytes(traced):
    """Guards against a list of short pieces, which takes many times their memory."""
    run = IdempotentRun(None, None)
    for _ in range(1024 * 1024):
        run.append(bytes(bytearray(b"xy")))
    assert traced()[0] < 4 * 1024 * 1024


def test_answer_that_is_too_long_to_store_is_freed(traced):
    run, piece = IdempotentRun(None, None), 64 * 1024 * b"x"
    for _ in range(MAX_STORED_BYTES // len(piece) + 1):
        run.append(bytes(bytearray(piece)))
    assert traced()[0] < 1024 * 1024
