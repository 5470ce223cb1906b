"""Tests of the bounds on the work of one stream: bytes searched and copied, events and comments."""

import contextlib
import http.client

import pytest
from counting_buffer import CountingBuffer
from platform_answers import begin_stream, chunk, event, stream
from platform_world import wait_until
from relay_caller import PROMPT_HEADERS, Caller

from laburnumreel.core import ManualClock
from laburnumreel.relay import _event_stream
from laburnumreel.relay._event_stream import EventSplitter
from laburnumreel.relay._stream_position import StreamPosition
from laburnumreel.transport import CostlyAnswerError, EventAllowance
from laburnumreel.transport._answer_work import (
    EVENTS_PER_TOKEN,
    LINES_PER_EVENT,
    MAX_COMMENTS,
    MAX_EVENTS,
)

EVENT = b"id: 1\ndata: a\n\n"


@pytest.fixture
def splitter():
    CountingBuffer.count = 0
    splitter = EventSplitter()
    splitter._buffer = CountingBuffer()
    return splitter


class TestBytes:
    """Guards against work that grows with the square of the bytes received."""

    # Two marks are searched for, each event is copied once, and a mark may begin in each piece.
    MAX_WORK_PER_BYTE = 4

    @pytest.mark.parametrize("size", [10, 100, 1000])
    def test_beginning_of_an_event_is_not_searched_with_every_piece(self, splitter, size):
        event = b"data: " + 30_000 * b"x" + b"\n\n"
        pieces = [event[at : at + size] for at in range(0, len(event), size)]
        assert [part for piece in pieces for part in splitter.feed(piece)][0].raw == event
        assert CountingBuffer.count < self.MAX_WORK_PER_BYTE * len(event)

    @pytest.mark.parametrize("event", [EVENT, EVENT.replace(b"\n", b"\r\n"), b": a\n\n"])
    def test_rest_of_a_read_is_not_searched_with_every_event(self, splitter, event):
        count = 2000 if b"data" in event else MAX_COMMENTS
        assert len(splitter.feed(count * event)) == count
        assert CountingBuffer.count < self.MAX_WORK_PER_BYTE * count * len(event)

    @pytest.mark.parametrize("cut", range(1, 2 * len(EVENT) + 8))
    @pytest.mark.parametrize("ends", [(b"\n", b"\r\n"), (b"\r\n", b"\n")])
    def test_events_with_both_line_ends_are_split_wherever_they_are_cut(self, cut, ends):
        first, second = (EVENT.replace(b"\n", end) for end in ends)
        splitter, stream = EventSplitter(), first + second + first
        events = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert [event.raw for event in events] == [first, second, first]


@pytest.fixture
def parsed(monkeypatch):
    """A list of the events and comments that are parsed."""
    parsed, parse = [], _event_stream._parse_event
    monkeypatch.setattr(
        _event_stream, "_parse_event", lambda raw: (parsed.append(raw), parse(raw))[1]
    )
    return parsed


class TestFaultyServers:
    """Guards against servers that keep a core busy with comments or small events without end."""

    @pytest.mark.parametrize("comment", [b": a\n\n", b":\r\n\r\n", b"\n\n", b"event: a\n\n"])
    def test_comments_are_bounded_by_number(self, parsed, comment):
        splitter = EventSplitter(EventAllowance(50, ManualClock().now))
        with pytest.raises(CostlyAnswerError):
            splitter.feed(comment * 5000)
        assert len(parsed) <= MAX_COMMENTS + 1

    def test_events_are_bounded_by_the_tokens_of_the_request(self, parsed):
        splitter = EventSplitter(EventAllowance(50, ManualClock().now))
        with pytest.raises(CostlyAnswerError):
            splitter.feed(b"data: a\n\n" * 10_000)
        assert len(parsed) <= MAX_EVENTS + 50 * EVENTS_PER_TOKEN + 1

    def test_lines_of_events_are_bounded(self, parsed):
        splitter = EventSplitter(EventAllowance(50, ManualClock().now))
        with pytest.raises(CostlyAnswerError):
            for _ in range(MAX_EVENTS):
                splitter.feed(b"data: a\n" * 10 * LINES_PER_EVENT + b"\n")
        assert len(parsed) <= (MAX_EVENTS + 50 * EVENTS_PER_TOKEN) // 10 + 1

    def test_beginning_of_a_hedged_answer_is_parsed_once(self, parsed):
        """Guards against parsing all that has come of a second answer with each of its pieces."""
        has_event = StreamPosition().make_event_finder(False)
        assert not any(has_event(b": a\n\n") for _ in range(100)) and len(parsed) == 100
        assert has_event(EVENT) and len(parsed) == 101
        with pytest.raises(CostlyAnswerError):
            has_event(5000 * b": a\n\n")

    @pytest.mark.processes
    @pytest.mark.parametrize("part", [b": a\n\n", b"data: a\n\n"])
    def test_server_is_closed_and_counted(self, world, part):
        sends = []

        def send_parts_first(handler):
            sends.append(handler)
            if len(sends) > 1:
                stream()(handler)
                return
            begin_stream(handler)
            chunk(handler, event(1))
            while True:
                chunk(handler, 1000 * part)

        for name in ("d1", "d2"):
            world.worker(name, "quotes", default_answer=send_parts_first, Stage="decode")
        relay = world.start_relay()
        if part.startswith(b":"):
            status, _, body = Caller(relay).ask("/talk/x", **PROMPT_HEADERS)
            events = [each for each in body.split(b"\n\n") if each.startswith(b"id:")]
            assert (status, events) == (200, [event(number).strip() for number in range(1, 6)])
        else:
            # Once an event without an id was passed on, the stream can't be resumed.
            with contextlib.suppress(http.client.IncompleteRead):
                Caller(relay).ask("/talk/x", **PROMPT_HEADERS)
        metrics = relay.get(relay.admin_port, "/metrics")[1]
        assert b'laburnumreel_relay_attempts_total{outcome="too_costly"} 1' in metrics
        unit = "comments" if part.startswith(b":") else "events"
        assert f'laburnumreel_costly_answers_total{{unit="{unit}"}} 1'.encode() in metrics
        # The log is written in batches.
        wait_until(lambda: relay.find_log_lines("answer_too_costly"), "the answer is logged")

    @pytest.mark.processes
    def test_server_with_an_event_that_never_ends_is_counted(self, world):
        """Guards against a server that is used again and again although no event of it ends."""

        def send_line(handler):
            begin_stream(handler)
            while True:
                chunk(handler, 1000 * b"data: a")

        world.worker("d1", "quotes", default_answer=send_line, Stage="decode")
        relay = world.start_relay()
        assert Caller(relay).ask("/ask/x", **PROMPT_HEADERS)[0] == 502
        metrics = relay.get(relay.admin_port, "/metrics")[1]
        assert b'laburnumreel_relay_attempts_total{outcome="too_long"} 1' in metrics
        wait_until(lambda: relay.find_log_lines("attempt_failed"), "the attempt is logged")


class TestSoundServers:
    def test_any_rate_of_the_tokens_that_the_request_allows_is_accepted(self):
        """All events come at one moment, each a small token, with a comment before each."""
        splitter, count = EventSplitter(EventAllowance(20_000, ManualClock().now)), 20_000
        assert len(splitter.feed(count * b": a\n\ndata: a\n\n")) == 2 * count

    def test_some_thousand_small_events_a_second_are_accepted_without_a_stated_maximum(self):
        clock = ManualClock()
        splitter = EventSplitter(EventAllowance(0, clock.now))
        for _ in range(100):
            assert len(splitter.feed(500 * b"data: a\n\n")) == 500
            clock.advance(0.1)

    def test_keep_alive_comments_are_accepted_for_hours(self):
        clock = ManualClock()
        splitter = EventSplitter(EventAllowance(50, clock.now))
        for _ in range(36_000):
            assert len(splitter.feed(b": still here\n\n")) == 1
            clock.advance(0.1)
