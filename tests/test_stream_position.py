"""Tests of stream positions across breaks, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.relay._event_stream import EventSplitter, StreamEvent
from laburnumreel.relay._stream_position import NotContinuedError, StreamPosition, heads_match


def event(event_id):
    text = "" if event_id is None else str(event_id)
    return StreamEvent(f"id: {text}\ndata: {text}\n\n".encode(), text or None)


def events(*ids):
    return [event(each) for each in ids]


COMMENT = StreamEvent(b": still here\n\n", None, is_progress=False)
HEAD = (200, [("Content-Type", "text/event-stream")])


def make_resumed_position(*ids, after=None):
    position = StreamPosition(after)
    position.accept(events(*ids))
    position.resume()
    return position


class TestPosition:
    @given(st.integers(1, 12), st.data())
    def test_each_event_is_passed_once_and_in_order_across_breaks(self, count, data):
        """Engines resume correctly, repeat, skip or restart, in any order and split of reads."""
        position, passed = StreamPosition(), []
        for _ in range(data.draw(st.integers(1, 6))):
            passed_count = len(passed)
            ahead = 0 if not passed else data.draw(st.integers(-passed_count, 3))
            ids = list(range(passed_count + 1 + ahead, count + 1))
            while ids:
                size = data.draw(st.integers(1, len(ids)))
                read, ids = ids[:size], ids[size:]
                try:
                    passed += position.accept(events(*read))
                except NotContinuedError:
                    break
                if data.draw(st.booleans()):
                    break
            if passed:
                position.resume()
        assert [each.id for each in passed] == [str(number) for number in range(1, len(passed) + 1)]

    @pytest.mark.parametrize(
        ("before", "then"),
        [
            ((1, 2), (2,)),
            ((1, 2), (1,)),
            ((1, 2), (4,)),
            ((1,), (3,)),
            ((0, 1), (3,)),
            ((1, 2), (3, 3)),
            ((1, 2), (3, 5)),
            ((1, 2), ("x",)),
            ((1, 2), (None, 3)),
            ((1, 2), (3, None)),
            ((1, 2), ("٣",)),
            ((1, 2), ("9" * 5000,)),
            (("a", "b"), ("c",)),
            ((3, 7), (7,)),
        ],
    )
    def test_events_that_do_not_continue_are_rejected(self, before, then):
        position = make_resumed_position(*before)
        with pytest.raises(NotContinuedError):
            position.accept(events(*then))
        assert position.last_id == str(before[-1]) and position.awaits_event

    @pytest.mark.parametrize(
        ("before", "then"), [((1, 2), (3, 4)), ((0,), (1,)), ((3, 7), (8, 20)), ((12,), (15,))]
    )
    def test_continuing_events_are_accepted(self, before, then):
        position = make_resumed_position(*before)
        assert position.accept(events(*then)) == events(*then)
        assert position.last_id == str(then[-1]) and not position.awaits_event

    def test_event_without_id_is_accepted_if_earlier_ones_had_none(self):
        position = make_resumed_position(1, None, 2)
        assert len(position.accept(events(3, None, 4))) == 3

    @pytest.mark.parametrize("text", [b"out of memory", b"HTTP/1.1 500 Oops\r\nDate: x", b"\xff"])
    def test_text_after_an_event_is_rejected(self, text):
        text_event = StreamEvent(text + b"\n\n", None, is_progress=False)
        assert StreamPosition().accept([event(1), text_event]) == [event(1), text_event]
        with pytest.raises(NotContinuedError):
            make_resumed_position(1, 2).accept([text_event, event(3), text_event])

    def test_stream_resumed_by_the_caller_must_have_no_gap(self):
        position = make_resumed_position(13, after="12")
        with pytest.raises(NotContinuedError):
            position.accept(events(15))

    def test_events_of_the_first_engine_are_not_checked(self):
        """Guards against breaking streams of servers that use arbitrary event ids."""
        position = StreamPosition("7")
        assert len(position.accept(events(3, 3, "x", None, 9, 1))) == 6

    def test_stream_cannot_resume_after_an_event_without_id(self):
        """The next engine would send the event without id again."""
        position = StreamPosition()
        position.accept(events(1, None))
        assert position.last_id == "1" and not position.can_resume
        position.accept(events(2))
        assert position.can_resume

    def test_comments_before_the_next_event_are_dropped(self):
        position = make_resumed_position(1, 2)
        assert position.accept([COMMENT]) == [] and position.awaits_event
        assert position.accept([COMMENT, event(3), COMMENT]) == [event(3), COMMENT]


class TestHead:
    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (200, [("Content-Type", "application/json")]),
            (200, []),
            (206, HEAD[1]),
            (204, HEAD[1]),
            (200, [*HEAD[1], ("Content-Encoding", "br")]),
        ],
    )
    def test_incompatible_head_does_not_match(self, status, headers):
        assert not heads_match(HEAD, (status, headers))

    def test_compatible_head_matches(self):
        assert heads_match(HEAD, (200, [("content-type", "Text/Event-Stream; charset=utf-8")]))
        assert heads_match((200, []), (200, []))


def test_long_event_id_is_not_kept_for_resuming():
    """Guards against an id of up to 1 MiB that is kept, and sent in a header."""
    position = StreamPosition()
    position.accept(
        EventSplitter().feed(b"id: 1\ndata: a\n\nid: " + 5000 * b"9" + b"\ndata: b\n\n")
    )
    assert position.last_id == "1" and not position.can_resume
