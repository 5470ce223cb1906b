"""A short seeded run of the soak with planned work, and tests that its checks detect violations."""

import json
import random

import pytest
from planned_failures import FailuresSoak
from planned_soak import PlannedSoak
from silence_soak import run_seed
from test_silence_soak import add_send, make_request

pytestmark = pytest.mark.processes


@pytest.fixture
def soak(tmp_path):
    made = PlannedSoak(1, 1.0, tmp_path)
    yield made
    made.world.end()


def add_request(soak, **fields):
    """Record a request that was sent at 100 s and one that was served."""
    soak.history.versions[0] = soak.history.versions[0]._replace(at=0.0)
    for record in (make_request(**fields), make_request("served")):
        soak.history.record_request(record)


def find_kinds(soak):
    return sorted({finding.kind for finding in soak._check()})


class FakeRelay:
    """A relay whose log holds one line."""

    name = "relay-1"

    def __init__(self, **line):
        self._line = line

    def find_log_lines(self, name):
        return [json.loads(json.dumps(self._line))] if self._line["name"] == name else []


def test_answer_after_the_callers_deadline_is_found(soak):
    add_request(soak, took_s=3.6, deadline_s=3.0)
    assert find_kinds(soak) == ["late"]


def test_cut_at_a_paused_relay_is_reported_apart(soak):
    add_request(soak, end="cut", body=b"")
    add_send(soak.history, end="left")
    assert find_kinds(soak) == ["cut"]
    soak.pauses.append(("relay-1", 99.5, 100.5))
    assert find_kinds(soak) == ["paused"]
    soak.pauses[0] = ("relay-2", 99.5, 100.5)
    assert find_kinds(soak) == ["cut"]


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ({"name": "task_failed"}, ["log"]),
        ({"name": "relay_request_failed"}, ["log"]),
        ({"name": "http_server_problem", "detail": "other"}, ["log"]),
        ({"name": "http_server_problem", "detail": "Exception while serving /talk/3"}, []),
        ({"name": "caller_cut", "requests": 1}, ["log"]),
        ({"name": "caller_cut", "requests": 0}, []),
    ],
)
def test_unexpected_log_lines_are_found(soak, line, expected):
    add_request(soak)
    soak.world.relays.append(FakeRelay(**line))
    try:
        assert [finding.kind for finding in soak._find_unexpected_events()] == expected
    finally:
        soak.world.relays.clear()


def test_relay_that_ignores_its_stop_is_found(soak):
    add_request(soak)
    soak.world.relays.append(FakeRelay(name="other"))
    soak.history.stop_times["relay-1"] = 100.0
    try:
        assert [finding.kind for finding in soak._find_ignored_stops()] == ["ignored"]
    finally:
        soak.world.relays.clear()


def test_planned_work_in_series_loses_no_request():
    parameters = PlannedSoak.draw_parameters(random.Random(7))
    parameters = parameters._replace(relays=3, servers=2, callers=12, attempts=2)
    soak, findings = run_seed(7, 12.0, parameters, soak_class=PlannedSoak)
    assert not [finding for finding in findings if finding.kind != "paused"], soak.evidence
    assert soak.faults["change_config"] and soak.faults["stop_relay"]


def test_changes_beside_failures_of_whole_services_lose_no_request():
    parameters = PlannedSoak.draw_parameters(random.Random(30))
    parameters = parameters._replace(relays=3, servers=2, callers=12, attempts=3)
    soak, findings = run_seed(30, 12.0, parameters, soak_class=FailuresSoak)
    assert not [finding for finding in findings if finding.kind != "paused"], soak.evidence
    assert soak.faults["service_crashes"] and soak.faults["service_is_dropped"]
