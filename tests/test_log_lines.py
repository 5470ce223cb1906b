"""Tests of reading the log of a process that is still writing it."""

import json
from types import SimpleNamespace

import pytest
from platform_world import RelayProcess
from silence_report import _log_lines

LINE = b'{"name": "request_served", "request": "req-1", "bytes": 4}\n'


@pytest.fixture
def relay(tmp_path):
    """A relay that is not run, with one log line."""
    relay = RelayProcess.__new__(RelayProcess)
    relay.name, relay.log_path = "relay-1", tmp_path / "relay-1.log"
    relay.log_path.write_bytes(LINE)
    return relay


def test_partly_written_line_is_left_for_the_next_read(relay):
    """A test failed by a line that it read during the write, up to the end of a page."""
    soak = SimpleNamespace(world=SimpleNamespace(relays=[relay]))
    with relay.log_path.open("ab", buffering=0) as log:
        for part in (LINE[:40], LINE[40:-1]):
            log.write(part)
            assert len(relay.find_log_lines("request_served")) == 1
            assert len(list(_log_lines(soak, "req-1"))) == 1
        log.write(LINE[-1:])
    assert len(relay.find_log_lines("request_served")) == 2
    assert len(list(_log_lines(soak, "req-1"))) == 2


def test_broken_complete_line_raises(relay):
    relay.log_path.write_bytes(LINE[:40] + b"\n" + LINE)
    with pytest.raises(json.JSONDecodeError):
        relay.find_log_lines("request_served")
