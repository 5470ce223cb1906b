"""Tests of answers that are truncated at any byte: none may be treated as complete."""

import socket

import pytest
from endless_server import EndlessServer

from laburnumreel.state import HttpPlatform
from laburnumreel.transport import BackEndFailureError, BackEndPool

TIMEOUT_S = 2.0
MAX_BYTES = 1024 * 1024

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s.r1\r\n"
# Complete answers, by their form.
ANSWERS = {
    "with a length": HEAD + b"Content-Length: 4\r\n\r\nbody",
    "in chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n02\r\ndy\r\n0\r\n\r\n",
    "in chunks with extensions": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n002;a=b\r\nbo\r\n02;a\r\ndy\r\n0;b\r\n\r\n"
    ),
    "with trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"
    ),
    "after an interim one": b"HTTP/1.1 103 Early Hints\r\n\r\n"
    + HEAD
    + b"Content-Length: 0\r\n\r\n",
    "a refusal": b"HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}
INVALID_LENGTHS = [b"-1", b"0x4", b"+4", b" 4_0", b"0x0", b"-0", b"", b"x"]
# Answers in which the length of the body is lost, or in which it is ambiguous.
NEXT_ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 5\r\n\r\nother"
AMBIGUOUS_ANSWERS = {
    "cut in a name": HEAD + b"Content-Le" + NEXT_ANSWER,
    "cut after a line": HEAD + NEXT_ANSWER,
    "cut in a length": HEAD + b"Content-Length: 1" + NEXT_ANSWER,
    "cut in an encoding": HEAD + b"Transfer-Encoding: chun" + NEXT_ANSWER,
    "line without a name": HEAD + b"text\r\nContent-Length: 4\r\n\r\nbo",
    "space after a name": HEAD + b"Content-Length : 4\r\n\r\nbo",
    "bare CR": HEAD + b"X-More: 1\r\r\nContent-Length: 4\r\n\r\nbo",
    "folded status line": b"HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\nbo",
    "two lengths": HEAD + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
    "other encoding": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbo",
    "two encodings": HEAD + b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
    "wrong size of a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbody0\r\n\r\n",
    **{
        f"length {length}": HEAD + b"Content-Length: " + length + b"\r\n\r\nbody"
        for length in (b"", b"x", b"-4", b"+2", b"0_2", b"4, 4")
    },
}


@pytest.fixture
def serve():
    running = []

    def start(*answers):
        running.append(EndlessServer(*(answer_with(each) for each in answers)))
        return running[-1]

    yield start
    for server in running:
        server.end()


def answer_with(raw):
    def answer(sock):
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)

    return answer


def ask(server):
    exchange = BackEndPool().open(server.address)
    try:
        exchange.send("GET", "/", {}, None, TIMEOUT_S)
        return exchange.status, exchange.read_whole(MAX_BYTES, TIMEOUT_S)
    finally:
        exchange.discard()


class TestTruncatedAnswers:
    @pytest.mark.parametrize("form", ANSWERS)
    def test_truncated_answer_is_never_complete(self, serve, form):
        raw = ANSWERS[form]
        server = serve(*(raw[:end] for end in range(len(raw))))
        accepted = {}
        for end in range(len(raw)):
            try:
                accepted[raw[:end][-40:]] = ask(server)
            except BackEndFailureError as error:
                assert error.reason in ("lost", "short")
        assert not accepted

    @pytest.mark.parametrize("form", ANSWERS)
    def test_complete_answer_is_accepted(self, serve, form):
        assert ask(serve(ANSWERS[form]))[1] in (b"body", b"")

    @pytest.mark.parametrize("form", AMBIGUOUS_ANSWERS)
    def test_ambiguous_answer_is_never_complete(self, serve, form):
        with pytest.raises(BackEndFailureError):
            ask(serve(AMBIGUOUS_ANSWERS[form]))

    @pytest.mark.parametrize("length", INVALID_LENGTHS)
    def test_invalid_chunk_length_ends_the_answer(self, serve, length):
        chunk = length + b"\r\nbody\r\n0\r\n\r\n"
        with pytest.raises(BackEndFailureError):
            ask(serve(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk))


PLATFORM_ANSWERS = {
    "an object": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody",
    "an object in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    "an object after an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    "an object that is missing": b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
}


class TestTruncatedAnswersOfThePlatform:
    @pytest.mark.parametrize("form", PLATFORM_ANSWERS)
    def test_truncated_object_is_an_error(self, serve, form):
        """A part of a snapshot, or of a stored answer, was taken for the whole object."""
        raw = PLATFORM_ANSWERS[form]
        platform = HttpPlatform(serve(*(raw[:end] for end in range(len(raw))), raw).address)
        found = {raw[:end]: platform.get_object("o") for end in range(len(raw))}
        accepted = {cut[-40:]: result for cut, result in found.items() if result.is_ok()}
        assert not accepted and {result.error.kind for result in found.values()} == {"lost"}
        assert platform.get_object("o").ok in (b"body", None)

    def test_object_without_a_length_is_an_error(self, serve):
        platform = HttpPlatform(serve(b"HTTP/1.1 200 OK\r\n\r\nbo").address)
        assert platform.get_object("o").error.kind == "lost"
