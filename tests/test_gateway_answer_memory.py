"""Tests of what answers of the platform hold in a gateway."""

import tracemalloc

import pytest
from endless_server import CHUNKED, LONG_BODY, EndlessServer, make_endless_answer

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
