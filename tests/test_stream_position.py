"""Tests of where a stream stands over a break, apart from sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.relay._event_stream import StreamEvent
from laburnumreel.relay._stream_position import NotContinuedError, StreamPosition, continues_head


def event(event_id):
    text = "" if event_id is None else str(event_id)
    return StreamEvent(f"id: {text}\ndata: {text}\n\n".encode(), text or None)


def events(*ids):
    return [event(each) for each in ids]


COMMENT = StreamEvent(b": still here\n\n", None, is_progress=False)
HEAD = (200, [("Content-Type", "text/event-stream")])


def resumed(*ids, after=None):
    position = StreamPosition(after)
    position.take(events(*ids))
    position.resume()
    return position


class TestPosition:
    @given(st.integers(1, 12), st.data())
    def test_each_event_comes_once_and_in_order_over_any_breaks(self, count, data):
        """Engines that obey, repeat, skip or begin anew, in any order, over any reads."""
        position, passed = StreamPosition(), []
        for _ in range(data.draw(st.integers(1, 6))):
            done = len(passed)
            ahead = 0 if not passed else data.draw(st.integers(-done, 3))
            ids = list(range(done + 1 + ahead, count + 1))
            while ids:
                size = data.draw(st.integers(1, len(ids)))
                read, ids = ids[:size], ids[size:]
                try:
                    passed += position.take(events(*read))
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
    def test_what_does_not_go_on_is_not_taken(self, before, then):
        position = resumed(*before)
        with pytest.raises(NotContinuedError):
            position.take(events(*then))
        assert position.last_id == str(before[-1]) and position.awaits_event

    @pytest.mark.parametrize(
        ("before", "then"), [((1, 2), (3, 4)), ((0,), (1,)), ((3, 7), (8, 20)), ((12,), (15,))]
    )
    def test_what_goes_on_is_taken(self, before, then):
        position = resumed(*before)
        assert position.take(events(*then)) == events(*then)
        assert position.last_id == str(then[-1]) and not position.awaits_event

    def test_event_without_id_is_taken_where_there_were_such_before(self):
        position = resumed(1, None, 2)
        assert len(position.take(events(3, None, 4))) == 3

    @pytest.mark.parametrize("text", [b"out of memory", b"HTTP/1.1 500 Oops\r\nDate: x", b"\xff"])
    def test_text_after_an_event_is_not_taken(self, text):
        odd = StreamEvent(text + b"\n\n", None, is_progress=False)
        assert StreamPosition().take([event(1), odd]) == [event(1), odd]
        with pytest.raises(NotContinuedError):
            resumed(1, 2).take([odd, event(3), odd])

    def test_stream_that_the_caller_resumed_has_no_gap_either(self):
        position = resumed(13, after="12")
        with pytest.raises(NotContinuedError):
            position.take(events(15))

    def test_first_engines_events_are_its_own_matter(self):
        """Guards against cutting streams of servers that name their events as they like."""
        position = StreamPosition("7")
        assert len(position.take(events(3, 3, "x", None, 9, 1))) == 6

    def test_event_without_id_cannot_be_resumed_after(self):
        """The next engine would send it again."""
        position = StreamPosition()
        position.take(events(1, None))
        assert position.last_id == "1" and not position.can_resume
        position.take(events(2))
        assert position.can_resume

    def test_what_comes_before_the_next_event_is_dropped(self):
        position = resumed(1, 2)
        assert position.take([COMMENT]) == [] and position.awaits_event
        assert position.take([COMMENT, event(3), COMMENT]) == [event(3), COMMENT]


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
    def test_head_of_another_kind_does_not_continue(self, status, headers):
        assert not continues_head(HEAD, (status, headers))

    def test_head_of_the_same_kind_continues(self):
        assert continues_head(HEAD, (200, [("content-type", "Text/Event-Stream; charset=utf-8")]))
        assert continues_head((200, []), (200, []))
