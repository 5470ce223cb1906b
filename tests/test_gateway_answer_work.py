"""Tests of the bounds on the work of one stream at the gateway: events, comments and bytes."""

import pytest
from counting_buffer import CountingBuffer

from laburnumreel.core import ManualClock
from laburnumreel.protocol import SseParser
from laburnumreel.serving._repeat_detector import RepeatDetector
from laburnumreel.serving._stream_segment import StreamSegment
from laburnumreel.transport import CostlyAnswerError, EventAllowance

TOKEN = b'data: {"id":"r","choices":[{"index":0,"text":"a"}]}\n\n'


@pytest.fixture
def make_segment():
    def make(tokens):
        allowance = EventAllowance(tokens, ManualClock().now)
        return StreamSegment("r", RepeatDetector(), False, allowance)

    return make


@pytest.mark.parametrize("part", [b": a\n\n", b"\n\n", b'data: {"id":"r"}\n\n', TOKEN])
def test_events_and_comments_are_bounded_by_number(make_segment, part):
    """Guards against a server that keeps a core of the gateway busy with small parts."""
    segment = make_segment(50)
    with pytest.raises(CostlyAnswerError):
        for _ in range(100):
            segment.feed(100 * part)


def test_any_rate_of_the_tokens_that_the_request_allows_is_accepted(make_segment):
    """All events come at one moment, with a comment before each."""
    segment = make_segment(20_000)
    for _ in range(200):
        assert not segment.feed(100 * (b": still here\n\n" + TOKEN))
    assert segment.take_ready()[1] == 20_000


@pytest.mark.parametrize("size", [10, 100, 1000])
def test_beginning_of_an_event_is_not_searched_with_every_piece(size):
    CountingBuffer.count = 0
    parser, event = SseParser(), b"data: " + 30_000 * b"x" + b"\n\n"
    parser._buffer = CountingBuffer()
    pieces = [event[at : at + size] for at in range(0, len(event), size)]
    assert [part for piece in pieces for part in parser.feed(piece)] == [event[6:-2]]
    assert CountingBuffer.count < 4 * len(event)
