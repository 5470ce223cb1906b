"""Tests of the parsing of heads and chunked bodies: what it accepts, keeps, and costs."""

import pytest
import waitress.parser
from counting_buffer import CountingBuffer, CountingBytes
from hypothesis import given
from hypothesis import strategies as st
from waitress.adjustments import Adjustments

from laburnumreel.transport._chunked_body import (
    MAX_PARTS_PER_TURN,
    MAX_SIZE_LINE_BYTES,
    MAX_TRAILER_BYTES,
)
from laburnumreel.transport._parsing import RequestParser

HEAD = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 8192
# How often a byte may be searched or copied.
MAX_WORK_PER_BYTE = 6
SMALL_CHUNKS = HEAD + 3000 * b"1\r\nx\r\n" + b"0\r\n\r\n"
# Cuts of a body into chunks, and of the wire into reads.
cuts = st.lists(st.integers(1, 40), min_size=1, max_size=30)


def feed(wire, sizes, limit=1 << 20):
    """Let a parser receive the wire in reads of these sizes, by turns, until it is complete."""
    parser, position, turn = RequestParser(Adjustments(max_request_body_size=limit)), 0, 0
    while position < len(wire) and not parser.completed:
        read = CountingBytes(wire[position : position + sizes[turn % len(sizes)]])
        consumed = parser.received(read)
        assert consumed > 0
        position += min(consumed, len(read))
        turn += 1
    return parser, position


def encode(body, sizes, extension=b"", trailers=b""):
    wire, position, turn = b"", 0, 0
    while position < len(body):
        part = body[position : position + sizes[turn % len(sizes)]]
        wire += b"%X%b\r\n%b\r\n" % (len(part), extension, part)
        position += len(part)
        turn += 1
    return HEAD + wire + b"0\r\n" + trailers + b"\r\n"


class TestChunkedBody:
    @given(st.binary(max_size=600), cuts, cuts, st.sampled_from([b"", b";n=v", b';n="a b"']))
    def test_body_is_the_same_however_it_is_cut(self, body, chunks, reads, extension):
        wire = encode(body, chunks, extension, b"X-Sum: 1\r\nX-Two: 2\r\n")
        parser, used = feed(wire + b"GET", reads)
        assert parser.completed and parser.error is None
        assert used == len(wire)
        assert parser.get_body_stream().read() == body
        assert parser.headers["CONTENT_LENGTH"] == str(len(body))

    @pytest.mark.parametrize("size", [1, 2, 5, 100, READ_BYTES])
    def test_work_for_small_chunks_follows_their_bytes(self, size):
        """Each chunk copied and searched the rest of its read."""
        CountingBytes.count = 0
        parser, _ = feed(SMALL_CHUNKS, [size])
        assert parser.completed and len(parser.get_body_stream().read()) == 3000
        assert CountingBytes.count <= MAX_WORK_PER_BYTE * len(SMALL_CHUNKS)

    def test_parts_of_one_turn_are_bounded(self):
        """One read of small chunks is parsed in several turns, between which others have theirs."""
        parser = RequestParser(Adjustments())
        assert parser.received(HEAD) == len(HEAD)
        chunks = 2 * MAX_PARTS_PER_TURN * b"1\r\nx\r\n"
        assert parser.received(chunks) == len(chunks) // 2

    @pytest.mark.parametrize(
        ("wire", "status"),
        [
            (b"1;name=" + MAX_SIZE_LINE_BYTES * b"x", 400),
            (MAX_SIZE_LINE_BYTES * b"0" + b"1", 400),
            (b"0\r\n" + (MAX_TRAILER_BYTES + 1) * b"x", 431),
            (b"0\r\n" + (MAX_TRAILER_BYTES // 8 + 1) * b"X: 678\r\n", 431),
        ],
        ids=["extension", "zeros", "one trailer", "trailers"],
    )
    @pytest.mark.parametrize("size", [1000, READ_BYTES])
    def test_framing_without_end_is_refused_and_not_kept(self, wire, status, size):
        """Unfinished size lines and trailers were kept up to the limit of bodies."""
        parser, _ = feed(HEAD + wire, [size])
        assert parser.error is not None and parser.error.code == status
        assert parser.kept_bytes <= len(HEAD)

    @pytest.mark.parametrize(
        "wire",
        [b"x\r\n", b"-1\r\n", b"\r\n", b"1 \r\n", b"1\r\nxx\r\n", b"1\r\nx\n", b"1;\xff\r\n"],
    )
    def test_malformed_framing_is_refused(self, wire):
        parser, _ = feed(HEAD + wire + b"0\r\n\r\n", [READ_BYTES])
        assert parser.completed and parser.error.code == 400

    def test_body_over_the_limit_is_refused(self):
        parser, _ = feed(encode(5000 * b"x", [100]), [READ_BYTES, 50], limit=4000)
        assert parser.completed and parser.error.code == 413


class TestHead:
    @pytest.mark.parametrize("size", [1, 10, READ_BYTES])
    def test_each_byte_is_searched_once(self, monkeypatch, size):
        """Each read of a head searched all that had come before it again."""
        searched = []
        find = waitress.parser.find_double_newline

        def count_and_find(data):
            searched.append(len(data))
            return find(data)

        monkeypatch.setattr(waitress.parser, "find_double_newline", count_and_find)
        head = HEAD[:-2] + b"X-Long: " + 16_000 * b"x" + b"\r\n\r\n"
        parser = RequestParser(Adjustments())
        if hasattr(parser, "_head"):
            parser._head = CountingBuffer()
        CountingBuffer.count = 0
        for position in range(0, len(head), size):
            parser.received(head[position : position + size])
        assert parser.headers_finished and parser.error is None
        assert sum(searched) + CountingBuffer.count <= MAX_WORK_PER_BYTE * len(head)

    def test_blanks_before_a_malformed_value_are_not_searched_again(self, monkeypatch):
        """waitress' pattern for a header took the square of the blanks before its value."""
        lines = []
        pattern = waitress.parser.HEADER_FIELD_RE

        class Pattern:
            def match(self, line):
                lines.append(line)
                return pattern.match(line[:200])

        monkeypatch.setattr(waitress.parser, "HEADER_FIELD_RE", Pattern())
        for blanks in (16_000 * b" ", 8_000 * b" \t", 4_000 * b"\r\n  "):
            parser = RequestParser(Adjustments())
            parser.received(HEAD[:-2] + b"X:" + blanks + b"\x00\r\n\r\n")
            assert parser.completed and parser.error.code == 400
        values = [line.partition(b":")[2] for line in lines]
        assert max(len(value) - len(value.lstrip()) for value in values) <= 8

    def test_folded_values_and_blanks_keep_their_meaning(self):
        parser = RequestParser(Adjustments())
        parser.received(HEAD[:-2] + b"X-A:  \t one\r\n  two\r\nX-B:three  : four\r\n\r\n")
        assert parser.headers["X_A"].split() == ["one", "two"]
        assert parser.headers["X_B"] == "three  : four"

    def test_blank_lines_before_a_request_are_dropped_at_once(self):
        """Each four bytes of them were parsed as a request of their own."""
        parser = RequestParser(Adjustments())
        assert parser.received(READ_BYTES * b"\r\n") == 2 * READ_BYTES
        assert parser.completed and parser.empty
