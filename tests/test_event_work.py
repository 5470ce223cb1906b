"""Tests of the bounds on the work of one stream: bytes searched and copied, events and comments."""

import pytest

from laburnumreel.relay._event_stream import EventSplitter

EVENT = b"id: 1\ndata: a\n\n"


class CountingBuffer(bytearray):
    """A buffer that counts the bytes that are searched and copied in it."""

    count = 0

    def find(self, mark, start=0):
        found = super().find(mark, start)
        CountingBuffer.count += (len(self) if found < 0 else found + len(mark)) - start
        return found

    def __getitem__(self, index):
        part = super().__getitem__(index)
        CountingBuffer.count += len(part)
        return CountingBuffer(part)


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
        assert len(splitter.feed(2000 * event)) == 2000
        assert CountingBuffer.count < self.MAX_WORK_PER_BYTE * 2000 * len(event)

    @pytest.mark.parametrize("cut", range(1, 2 * len(EVENT) + 8))
    @pytest.mark.parametrize("ends", [(b"\n", b"\r\n"), (b"\r\n", b"\n")])
    def test_events_with_both_line_ends_are_split_wherever_they_are_cut(self, cut, ends):
        first, second = (EVENT.replace(b"\n", end) for end in ends)
        splitter, stream = EventSplitter(), first + second + first
        events = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert [event.raw for event in events] == [first, second, first]
