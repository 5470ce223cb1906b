"""A test that fails tells what the gateways answered and logged last."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from laburnumreel_standins.caller import Reply, Stream, bearer, call

TESTS = Path(__file__).resolve().parent

FAILING = """
import pytest


class Processes:
    def evidence(self):
        return {"log of node-1": "its last line"}


@pytest.fixture
def deployment():
    return Processes()


def test_it(deployment):
    assert not deployment


def test_sound(deployment):
    assert deployment
"""


def test_failed_test_shows_the_evidence_of_its_processes(tmp_path):
    """A stream that ended without an event failed a test once, with nothing to trace it by."""
    (tmp_path / "test_failing.py").write_text(FAILING)
    told = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "conftest", "--rootdir", tmp_path, tmp_path],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        check=False,
    ).stdout
    assert "1 failed, 1 passed" in told
    assert told.count("log of node-1") == told.count("its last line") == 1


def test_answers_name_their_kind_and_request_first():
    headers = {"x-padding": "x" * 500, "x-error-kind": "no_back_end", "x-request-id": "q7"}
    shown = repr(Reply(503, headers, b"why" * 500))
    assert shown.startswith("<503 kind no_back_end") and "request q7" in shown
    assert len(shown) < 500


@pytest.mark.processes
def test_evidence_has_the_answers_and_the_log_of_each_gateway(deployment):
    deployment.configure()
    gateway = deployment.start_gateway()
    stream = Stream(gateway.callers, {"prompt": "x", "max_tokens": 2})
    with pytest.raises(
        AssertionError, match=r"no event; status 503, kind no_back_end, request \S+"
    ):
        stream.next_text()
    unknown = call(gateway.callers, "GET", "/v1/models", None, bearer("lr-nobody"))
    evidence = deployment.evidence()
    answers = evidence["last answers"].splitlines()
    assert "status 503, kind no_back_end" in answers[0]
    assert "kind unknown_key" in answers[1] and unknown.headers["x-request-id"] in answers[1]
    assert "gateway_started" in evidence["log of node-1"]
